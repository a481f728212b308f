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
	// FeedHeartbeat is how often a feed sends an update when nothing changes. A
	// gateway takes a feed for lost after a few of them.
	FeedHeartbeat = 500 * time.Millisecond
	// feedPause is the least time between two updates of a feed, so that a
	// burst of announcements costs each gateway one update.
	feedPause = 20 * time.Millisecond
)

// feed sends a gateway the catalog and the targets, and takes its reports.
func (r *Registry) feed(ctx context.Context, s *link.Stream, open *wire.FeedOpen) error {
	r.follow(open.GetHost(), 1)
	defer r.follow(open.GetHost(), -1)
	ctx, cancel := context.WithCancel(ctx)
	s.SetContext(ctx)
	// The stream is closed after this function, which must not happen while it
	// receives.
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
	var full time.Time // of the last update with all targets
	for {
		newest, document, changed := r.machine.catalog()
		update := &wire.FeedUpdate{Version: newest, TimeMs: r.o.Now().UnixMilli()}
		if newest > version {
			update.Document, version = document, newest
		}
		now := time.Now()
		r.mu.Lock()
		touched := r.touched
		records := r.roster.Since(seen)
		if now.Sub(full) >= FeedHeartbeat {
			// The ages of all targets go with each heartbeat.
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
		pause := time.After(feedPause)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-touched:
		case <-time.After(FeedHeartbeat):
		}
		<-pause
	}
}

// follow counts the streams of a gateway.
func (r *Registry) follow(gateway string, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feeds[gateway] += change
	if r.feeds[gateway] <= 0 {
		delete(r.feeds, gateway)
	}
}

func (r *Registry) receiveReports(s *link.Stream, from gateway) error {
	s.ReceiveTimeout = -1 // the heartbeats of the session end a silent stream
	defer r.reported(from, false)
	for {
		var m wire.FeedReport
		if err := s.Receive(&m); err != nil {
			return err
		}
		r.mu.Lock()
		for _, c := range m.GetCounts() {
			r.count(from, c.GetWindow(), fleet.Customer(c.GetCustomer()), c.GetCount())
		}
		r.mu.Unlock()
		r.reported(from, true)
	}
}

// reported notes that a run of a gateway has reported, or stopped following.
func (r *Registry) reported(from gateway, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.reports[from]
	if last.open = open; open {
		last.at = r.o.Now()
	}
	r.reports[from] = last
}

func (r *Registry) count(from gateway, window int64, c fleet.Customer, n uint64) {
	if r.counts[window] == nil {
		r.counts[window] = make(map[source]uint64)
	}
	at := source{from, c}
	r.counts[window][at] = max(n, r.counts[window][at])
}
