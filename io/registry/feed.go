package registry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/place"
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
	// minBacklogInterval is the minimum interval between reports of backlogs by one
	// gateway, and between updates with them, for every gatewaysPerInterval gateways. The
	// traffic at the leader then grows in proportion to the gateways.
	minBacklogInterval  = 100 * time.Millisecond
	gatewaysPerInterval = 10
	// regionDocumentDelay and remoteDocumentDelay are how long a replica waits before it
	// sends a new document to a gateway in another data centre of its region, and in
	// another region. A replica nearer to the gateway has usually sent it by then. Large
	// documents would otherwise cross regions once per replica and gateway, and all at once
	// after a restart, when no gateway has a document. A gateway with a link of 10 Mbit/s
	// needs half a second to receive, apply and report one of 1,000 routes.
	regionDocumentDelay = 400 * time.Millisecond
	remoteDocumentDelay = time.Second
	// slowDocument is the time from which sending a document is logged.
	slowDocument = 500 * time.Millisecond
)

// BacklogInterval returns the interval at which the given number of gateways report
// backlogs and receive those of the others. It is at most FeedHeartbeat.
func BacklogInterval(gateways int) time.Duration {
	return min(max(minBacklogInterval, minBacklogInterval*time.Duration(gateways)/gatewaysPerInterval), FeedHeartbeat)
}

// serveFeed handles one feed: it sends the catalog and the targets to a gateway and
// receives the gateway's usage reports on the same stream.
func (r *Registry) serveFeed(ctx context.Context, s *link.Stream, request *wire.FeedOpen) error {
	if !request.GetObserver() {
		r.addFeeds(request.GetHost(), 1)
		defer r.addFeeds(request.GetHost(), -1)
	}
	ctx, cancel := context.WithCancel(ctx)
	s.SetContext(ctx)
	// The caller closes the stream when this function returns. Wait for the
	// receiver, since the stream must not be closed during a receive.
	var receiving sync.WaitGroup
	defer receiving.Wait()
	defer cancel()
	from := gatewayRun{request.GetHost(), request.GetRun()}
	quotaWanted := make(chan struct{}, 1) // signals that the gateway waits for a grant
	receiving.Go(func() {
		defer cancel()
		if err := r.receiveReports(s, from, request.GetObserver(), quotaWanted); err != nil {
			r.log.Debug("feed ended", "gateway", from.host, "error", err)
		}
	})
	s.Timeout = time.Second
	state := feedState{
		gateway: from, observer: request.GetObserver(), version: request.GetVersion(),
		documentDelay: r.documentDelay(fleet.DataCentre(request.GetDataCentre()), fleet.Region(request.GetRegion())),
	}
	var catalogChanged, rosterChanged <-chan struct{}
	for {
		now := time.Now()
		var update *wire.FeedUpdate
		if state.quotaOnly && now.Before(state.due) {
			update = r.nextQuotaUpdate(now, &state)
		} else {
			state.quotaOnly = false
			// A change during an update with limits only must not be missed, so that the
			// signals are replaced by complete updates only.
			catalogChanged, rosterChanged = r.changeSignals()
			update = r.nextUpdate(now, &state)
		}
		if err := r.sendUpdate(s, now, from, update); err != nil {
			return err
		}
		if !state.quotaOnly {
			state.due = time.Now().Add(state.interval(now))
		}
		minInterval := time.After(minFeedInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-catalogChanged:
			state.quotaOnly = false
		case <-rosterChanged:
			state.quotaOnly = false
		case <-quotaWanted:
			state.quotaOnly = true
		case <-time.After(state.wait(time.Now())):
			state.quotaOnly = true // unless the next complete update is due
		}
		<-minInterval
	}
}

// sendUpdate sends an update, if there is one, and logs a document that was slow to send.
func (r *Registry) sendUpdate(s *link.Stream, start time.Time, to gatewayRun, update *wire.FeedUpdate) error {
	if update == nil {
		return nil
	}
	err := s.Send(update)
	if took := time.Since(start); len(update.GetDocument()) > 0 && (err != nil || took > slowDocument) {
		r.log.Warn("sending document was slow or failed", "gateway", to.host, "version", update.GetVersion(), "bytes", len(update.GetDocument()), "took", took, "error", err)
	}
	return err
}

// interval returns the time to the next complete update.
func (s *feedState) interval(now time.Time) time.Duration {
	interval := FeedHeartbeat
	if s.leads && !s.observer {
		interval = BacklogInterval(s.gateways)
	}
	if !s.documentDue.IsZero() {
		interval = min(interval, max(0, s.documentDue.Sub(now)))
	}
	return interval
}

// wait returns the time to the next update of any kind.
func (s *feedState) wait(now time.Time) time.Duration {
	wait := s.due.Sub(now)
	if s.quotaRetry {
		wait = min(wait, quotaRetryInterval)
	}
	return max(0, wait)
}

// documentDelay returns how long this replica leaves sending a new document to others
// that are nearer to a gateway.
func (r *Registry) documentDelay(dc fleet.DataCentre, region fleet.Region) time.Duration {
	switch {
	case dc == "" || dc == r.options.DataCentre:
		return 0
	case region == r.options.Regions[r.options.DataCentre]:
		return regionDocumentDelay
	}
	return remoteDocumentDelay
}

// feedState is what a feed has sent.
type feedState struct {
	gateway       gatewayRun
	observer      bool   // the peer is a registry replica
	version       uint64 // of the catalog
	documentDelay time.Duration
	documentDue   time.Time // when a new document will be sent; zero if there is none
	rosterVersion uint64    // of the targets
	lastHeartbeat time.Time // when the ages of all targets were sent
	leads         bool      // as last sent
	gateways      int       // as last sent
	sightings     uint64    // position in the log of sightings
	verdict       uint64    // sequence of the verdict as last sent
	newest        uint64    // version of the catalog as last sent
	due           time.Time // when the next complete update is sent without any change
	quotaOnly     bool      // the next update contains limits of customers only
	quotaRetry    bool      // requests of the gateway wait for a grant that was not possible yet
}

// changeSignals returns channels that are closed when the catalog or the roster changes.
func (r *Registry) changeSignals() (catalogChanged, rosterChanged <-chan struct{}) {
	_, _, catalogChanged = r.machine.catalog()
	r.mu.Lock()
	defer r.mu.Unlock()
	return catalogChanged, r.rosterChanged
}

// nextUpdate returns the next update of a feed. Figures that change only slowly are sent
// once per heartbeat.
func (r *Registry) nextUpdate(now time.Time, state *feedState) *wire.FeedUpdate {
	newest, document, _ := r.machine.catalog()
	update := &wire.FeedUpdate{Version: newest}
	state.newest = newest
	r.mu.Lock()
	state.version = max(state.version, r.gatewayVersions[state.gateway])
	r.mu.Unlock()
	switch {
	case newest <= state.version:
		state.documentDue = time.Time{}
	case state.documentDue.IsZero():
		state.documentDue = now.Add(state.documentDelay)
	}
	if newest > state.version && !now.Before(state.documentDue) {
		update.Document, state.version, state.documentDue = document, newest, time.Time{}
	}
	_, _, state.leads = r.member.Lease()
	update.Leads = state.leads
	heartbeat := now.Sub(state.lastHeartbeat) >= FeedHeartbeat
	r.mu.Lock()
	records := r.roster.ChangedSince(state.rosterVersion)
	if heartbeat {
		// Announcements that change nothing are sent with the heartbeats only, to
		// update the ages of the records.
		records = append(records, r.roster.HeardSince(state.lastHeartbeat)...)
	}
	state.rosterVersion = r.roster.Version()
	state.gateways = len(r.openFeeds)
	if state.leads && !state.observer {
		update.Backlogs = wire.EncodeFeedBacklogs(r.backlogsWithout(now, state.gateway))
		update.BacklogsComplete = true
		var sightings []place.Sighting
		sightings, state.sightings = r.sightings.Since(state.sightings, state.gateway)
		update.Prefixes = wire.EncodeFeedPrefixes(sightings)
		if verdict, changed := r.judge.VerdictSince(state.verdict); changed {
			update.Verdict, state.verdict = wire.EncodeFeedVerdict(now, verdict), verdict.Sequence
		}
		update.RoleChanges = wire.EncodeFeedRoleChanges(now, slices.Collect(maps.Values(r.roleChanges)))
	}
	r.mu.Unlock()
	for _, record := range records {
		update.Targets = append(update.Targets, wire.EncodeFeedTarget(now, record))
	}
	update.Gateways = uint32(state.gateways)
	if state.leads {
		r.addQuota(now, state, update)
	}
	if heartbeat {
		state.lastHeartbeat = now
		update.TimeMs = r.options.Now().UnixMilli()
		for _, m := range r.member.Members() {
			update.Members = append(update.Members, string(m.Host))
		}
	}
	return update
}

// reportedBacklog is the backlog of one gateway at all prefill engines.
type reportedBacklog struct {
	received time.Time
	targets  map[fleet.TargetName]place.Backlog
}

// backlogTimeout is the age from which the backlog of a gateway is ignored. A gateway
// that runs reports at least every FeedHeartbeat.
const backlogTimeout = 3 * FeedHeartbeat

// backlogsWithout returns the sums of the backlogs of all gateways but one. The caller
// holds mu.
func (r *Registry) backlogsWithout(now time.Time, gateway gatewayRun) map[fleet.TargetName]place.Backlog {
	out := make(map[fleet.TargetName]place.Backlog)
	r.expireBacklogs(now)
	for from, reported := range r.backlogs {
		if from == gateway {
			continue
		}
		for target, b := range reported.targets {
			sum := out[target]
			out[target] = place.Backlog{Prompts: sum.Prompts + b.Prompts, Tokens: sum.Tokens + b.Tokens}
		}
	}
	return out
}

// expireBacklogs forgets the backlogs of gateways that have stopped reporting. The caller
// holds mu.
func (r *Registry) expireBacklogs(now time.Time) {
	maps.DeleteFunc(r.backlogs, func(_ gatewayRun, reported reportedBacklog) bool { return now.Sub(reported.received) > backlogTimeout })
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

// receiveReports receives the reports of a gateway until the feed ends. An observer
// sends none.
func (r *Registry) receiveReports(s *link.Stream, from gatewayRun, observer bool, quotaWanted chan<- struct{}) error {
	s.ReceiveTimeout = -1 // no timeout: session heartbeats detect a dead peer
	if !observer {
		defer r.recordReport(from, false)
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.gatewayVersions, from)
	}()
	for {
		var m wire.FeedReport
		if err := s.Receive(&m); err != nil {
			return err
		}
		if q := m.GetQuota(); q != nil && r.quota.report(time.Now(), from, q) {
			select {
			case quotaWanted <- struct{}{}:
			default:
			}
		}
		if m.GetQuotaOnly() {
			continue
		}
		r.mu.Lock()
		r.gatewayVersions[from] = max(r.gatewayVersions[from], m.GetVersion())
		r.backlogs[from] = reportedBacklog{time.Now(), wire.DecodeFeedBacklogs(m.GetBacklogs())}
		r.sightings.Add(time.Now(), from, wire.DecodeFeedPrefixes(m.GetPrefixes()))
		if e := m.GetEvidence(); e != nil {
			r.recordEvidence(time.Now(), from, e)
		}
		for _, c := range m.GetCounts() {
			r.recordCount(from, c.GetWindow(), fleet.Customer(c.GetCustomer()), c.GetCount())
		}
		for _, l := range m.GetLoads() {
			r.recordLoad(from, l)
		}
		r.mu.Unlock()
		if !m.GetBacklogsOnly() {
			r.recordReport(from, true)
		}
	}
}

// recordEvidence passes the evidence of a gateway to the judge. The caller holds mu.
func (r *Registry) recordEvidence(now time.Time, from gatewayRun, m *wire.FeedEvidence) {
	sequence, report := wire.DecodeFeedEvidence(now, m)
	for _, s := range r.judge.Add(now, from, len(r.openFeeds), sequence, report) {
		r.log.Warn("prompt segment quarantined, targets crashed under it", "segment", s, "reported-by", from.host)
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
