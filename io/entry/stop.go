package entry

import (
	"context"
	"sync"
	"time"

	"papayarock/core/state"
)

const (
	// readyDelay is how long requests are still accepted after the entry reports
	// that it is not ready, so that load balancers notice before any is refused.
	readyDelay       = 2 * time.Second
	stopPollInterval = 20 * time.Millisecond
	reportInterval   = time.Second
	reportTimeout    = 5 * time.Second
	maxUsageBatch    = 500 // records in one report
	// maxPendingUsage bounds the records waiting to be reported. Agents report the same
	// records, so those at the head of the queue can be dropped.
	maxPendingUsage = 50_000
)

// Serve reports usage to the control plane until ctx ends.
func (e *Entry) Serve(ctx context.Context) error {
	e.once.Do(e.init)
	if e.Control == nil {
		<-ctx.Done()
		return nil
	}
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			e.reportUsage(ctx)
		case <-ctx.Done():
			e.reportUsage(context.WithoutCancel(ctx))
			return nil
		}
	}
}

// Stop shuts the entry down gracefully. The entry reports that it is not ready, but
// accepts requests for another readyDelay before it refuses new ones with not-run
// true. Stop returns when the running requests have ended and their claims are
// settled, or when ctx ends.
func (e *Entry) Stop(ctx context.Context) {
	e.once.Do(e.init)
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	select {
	case <-time.After(readyDelay):
	case <-ctx.Done():
	}
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	for ctx.Err() == nil {
		e.mu.Lock()
		n := len(e.running)
		e.mu.Unlock()
		if n == 0 && e.pendingSettles.Load() == 0 {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// CancelKey cancels the running requests of an API key.
func (e *Entry) CancelKey(keyID string) {
	e.once.Do(e.init)
	e.mu.Lock()
	defer e.mu.Unlock()
	for r := range e.running {
		if r.keyID == keyID && keyID != "" {
			r.cancel(errKeyWithdrawn)
		}
	}
}

// usageReporter queues usage records until the control plane has accepted them.
type usageReporter struct {
	mu      sync.Mutex
	pending []state.UsageRecord
	dropped uint64
}

func (r *usageReporter) add(records []state.UsageRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, records...)
	if excess := len(r.pending) - maxPendingUsage; excess > 0 {
		r.pending = append(r.pending[:0], r.pending[excess:]...)
		r.dropped += uint64(excess)
	}
}

// take removes the next batch of records from the queue.
func (r *usageReporter) take() []state.UsageRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(r.pending), maxUsageBatch)
	batch := append([]state.UsageRecord(nil), r.pending[:n]...)
	r.pending = append(r.pending[:0], r.pending[n:]...)
	return batch
}

func (e *Entry) reportUsage(ctx context.Context) {
	for {
		batch := e.usage.take()
		if len(batch) == 0 {
			return
		}
		reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		err := e.Control.ReportUsage(reportCtx, batch)
		cancel()
		if err != nil {
			e.usage.add(batch)
			e.Log.Warn("usage report failed", "records", len(batch), "error", err)
			return
		}
	}
}

// Dump is a snapshot of the state of an entry.
type Dump struct {
	Ready         bool
	Running       int
	BodyBytes     int64
	UsageWaiting  int
	UsageDropped  uint64
	Served        uint64
	Refused       uint64
	Aborted       uint64
	Resumed       uint64
	Retried       uint64
	StrayFrames   uint64
	Revision      uint64
	FreshUntil    time.Time
	RunningByKeys map[string]int     // by key ID, at most maxDumpedKeys
	Latencies     map[string]Latency // by class
}

const maxDumpedKeys = 100

// Dump returns a snapshot of the state of e, without secrets or request content.
func (e *Entry) Dump() any {
	e.once.Do(e.init)
	e.mu.Lock()
	defer e.mu.Unlock()
	d := Dump{
		Ready: !e.draining, Running: len(e.running), BodyBytes: e.bodyBytes,
		Served: e.counts.served.Load(), Refused: e.counts.refused.Load(), Aborted: e.counts.aborted.Load(),
		Resumed: e.counts.resumed.Load(), Retried: e.counts.retried.Load(), StrayFrames: e.counts.strayFrames.Load(),
		RunningByKeys: make(map[string]int), Latencies: e.latencies.summaries(),
	}
	for r := range e.running {
		if _, ok := d.RunningByKeys[r.keyID]; ok || len(d.RunningByKeys) < maxDumpedKeys {
			d.RunningByKeys[r.keyID]++
		}
	}
	if index := e.Config.Load(); index != nil {
		d.Revision = index.Revision
	}
	if e.FreshUntil != nil {
		d.FreshUntil = time.Unix(0, e.FreshUntil.Load())
	}
	e.usage.mu.Lock()
	defer e.usage.mu.Unlock()
	d.UsageWaiting, d.UsageDropped = len(e.usage.pending), e.usage.dropped
	return d
}
