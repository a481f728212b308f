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
	// FeedHeartbeat is the interval between updates on a feed without changes. A
	// gateway replaces a feed on which no update has arrived for three intervals.
	FeedHeartbeat = 500 * time.Millisecond
	// minFeedInterval is the minimum time between two updates on a feed. It
	// batches a burst of announcements into one update per gateway.
	minFeedInterval = 20 * time.Millisecond
)

// serveFeed handles one feed: it sends the catalog and the targets to a gateway and
// receives the gateway's usage reports on the same stream.
func (r *Registry) serveFeed(ctx context.Context, s *link.Stream, request *wire.FeedOpen) error {
	r.addFeeds(request.GetHost(), 1)
	defer r.addFeeds(request.GetHost(), -1)
	ctx, cancel := context.WithCancel(ctx)
	s.SetContext(ctx)
	// The caller closes the stream when this function returns. Wait for the
	// receiver, since the stream must not be closed during a receive.
	var receiving sync.WaitGroup
	defer receiving.Wait()
	defer cancel()
	from := gatewayRun{request.GetHost(), request.GetRun()}
	receiving.Go(func() {
		defer cancel()
		if err := r.receiveReports(s, from); err != nil {
			r.log.Debug("feed ended", "gateway", from.host, "error", err)
		}
	})
	s.Timeout = time.Second
	version, rosterVersion := request.GetVersion(), uint64(0)
	var lastHeartbeat time.Time
	for {
		newest, document, catalogChanged := r.machine.catalog()
		update := &wire.FeedUpdate{Version: newest, TimeMs: r.options.Now().UnixMilli()}
		if newest > version {
			update.Document, version = document, newest
		}
		now := time.Now()
		r.mu.Lock()
		rosterChanged := r.rosterChanged
		records := r.roster.ChangedSince(rosterVersion)
		if now.Sub(lastHeartbeat) >= FeedHeartbeat {
			// Announcements that change nothing are sent with the heartbeats only, to
			// update the ages of the records.
			records = append(records, r.roster.HeardSince(lastHeartbeat)...)
			lastHeartbeat = now
		}
		rosterVersion = r.roster.Version()
		update.Gateways = uint32(len(r.openFeeds))
		r.mu.Unlock()
		for _, record := range records {
			update.Targets = append(update.Targets, wire.EncodeFeedTarget(now, record))
		}
		for _, m := range r.member.Members() {
			update.Members = append(update.Members, string(m.Host))
		}
		if err := s.Send(update); err != nil {
			return err
		}
		minInterval := time.After(minFeedInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-catalogChanged:
		case <-rosterChanged:
		case <-time.After(FeedHeartbeat):
		}
		<-minInterval
	}
}

// addFeeds adds change to the number of open feeds of the gateway on a host.
func (r *Registry) addFeeds(host string, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openFeeds[host] += change
	if r.openFeeds[host] <= 0 {
		delete(r.openFeeds, host)
	}
}

func (r *Registry) receiveReports(s *link.Stream, from gatewayRun) error {
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

// recordReport records that a gateway sent a report, or that its feed was closed
// if feedOpen is false.
func (r *Registry) recordReport(from gatewayRun, feedOpen bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.reportStatuses[from]
	if last.feedOpen = feedOpen; feedOpen {
		last.received = r.options.Now()
	}
	r.reportStatuses[from] = last
}

// recordCount stores a gateway's count for a customer. Counts are cumulative
// within a window, so the highest one is kept. The caller holds mu.
func (r *Registry) recordCount(from gatewayRun, window int64, c fleet.Customer, n uint64) {
	if r.reportedCounts[window] == nil {
		r.reportedCounts[window] = make(map[countKey]uint64)
	}
	key := countKey{from, c}
	r.reportedCounts[window][key] = max(n, r.reportedCounts[window][key])
}
