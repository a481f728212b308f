package registry

import (
	"context"
	"sync"
	"time"

	"papayarock/core/fleet"
	"papayarock/io/link"
	"papayarock/io/wire"
)

const (
	// FeedHeartbeat is the interval between updates on a feed without changes.
	// A gateway considers a feed lost after a few missed heartbeats.
	FeedHeartbeat = 500 * time.Millisecond
	// minFeedInterval is the minimum time between two updates on a feed. It
	// batches a burst of announcements into one update per gateway.
	minFeedInterval = 20 * time.Millisecond
)

// feed sends the catalog and the targets to a gateway and receives its usage
// reports.
func (r *Registry) feed(ctx context.Context, s *link.Stream, open *wire.FeedOpen) error {
	r.addFeeds(open.GetHost(), 1)
	defer r.addFeeds(open.GetHost(), -1)
	ctx, cancel := context.WithCancel(ctx)
	s.SetContext(ctx)
	// The caller closes the stream when this function returns. Wait for the
	// receiver, since the stream must not be closed during a receive.
	var receiving sync.WaitGroup
	defer receiving.Wait()
	defer cancel()
	from := gateway{open.GetHost(), open.GetRun()}
	receiving.Go(func() {
		defer cancel()
		if err := r.receiveReports(s, from); err != nil {
			r.log.Debug("feed ended", "gateway", from.host, "error", err)
		}
	})
	s.Timeout = time.Second
	version, seen := open.GetVersion(), uint64(0)
	var full time.Time // time of the last update with all targets
	for {
		newest, document, changed := r.machine.catalog()
		update := &wire.FeedUpdate{Version: newest, TimeMs: r.options.Now().UnixMilli()}
		if newest > version {
			update.Document, version = document, newest
		}
		now := time.Now()
		r.mu.Lock()
		rosterChanged := r.rosterChanged
		records := r.roster.Since(seen)
		if now.Sub(full) >= FeedHeartbeat {
			// Each heartbeat includes the ages of all targets.
			records = append(records, r.roster.HeardSince(full)...)
			full = now
		}
		seen = r.roster.Version()
		update.Gateways = uint32(len(r.feeds))
		r.mu.Unlock()
		for _, record := range records {
			update.Targets = append(update.Targets, wire.EncodeFeedTarget(now, record))
		}
		for _, m := range r.group.Members() {
			update.Members = append(update.Members, string(m.Host))
		}
		if err := s.Send(update); err != nil {
			return err
		}
		pause := time.After(minFeedInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-rosterChanged:
		case <-time.After(FeedHeartbeat):
		}
		<-pause
	}
}

// addFeeds changes the number of open feeds of a gateway.
func (r *Registry) addFeeds(gateway string, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feeds[gateway] += change
	if r.feeds[gateway] <= 0 {
		delete(r.feeds, gateway)
	}
}

func (r *Registry) receiveReports(s *link.Stream, from gateway) error {
	s.ReceiveTimeout = -1 // no timeout: session heartbeats detect a dead peer
	defer r.recordReport(from, false)
	for {
		var m wire.FeedReport
		if err := s.Receive(&m); err != nil {
			return err
		}
		r.mu.Lock()
		for _, c := range m.GetCounts() {
			r.recordCount(from, c.GetWindow(), fleet.Customer(c.GetCustomer()), c.GetCount())
		}
		r.mu.Unlock()
		r.recordReport(from, true)
	}
}

// recordReport records that a run of a gateway sent a report (open is true) or
// closed its feed.
func (r *Registry) recordReport(from gateway, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.reports[from]
	if last.following = open; open {
		last.received = r.options.Now()
	}
	r.reports[from] = last
}

// recordCount stores a gateway's count for a customer. Counts are cumulative
// within a window, so the highest one is kept.
func (r *Registry) recordCount(from gateway, window int64, c fleet.Customer, n uint64) {
	if r.counts[window] == nil {
		r.counts[window] = make(map[source]uint64)
	}
	at := source{from, c}
	r.counts[window][at] = max(n, r.counts[window][at])
}
