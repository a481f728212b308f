// Package feed connects a gateway to the registry replicas. A feed is one stream per
// replica: the replica sends the catalog and target announcements, and the gateway
// sends usage counts.
//
// A gateway connects to all replicas because each one forwards only the
// announcements that it received itself. While replicas are unreachable, the gateway
// keeps using the data already received.
package feed

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"papayarock/core/fleet"
	"papayarock/core/place"
	"papayarock/core/quarantine"
	"papayarock/core/quota"
	"papayarock/core/roles"
	"papayarock/core/roster"
	"papayarock/io/link"
	"papayarock/io/registry"
	"papayarock/io/wire"
)

const (
	// idleTimeout is how long the client waits for the next update before it replaces
	// the stream, and how long opening a stream may take. Three heartbeat periods
	// tolerate two late heartbeats.
	idleTimeout = 3 * registry.FeedHeartbeat
	// reportPeriod is the interval between usage reports.
	reportPeriod = 500 * time.Millisecond
	// minQuotaInterval is the least time between two reports on the limits of customers. It
	// batches requests that begin to wait at about the same time.
	minQuotaInterval = 20 * time.Millisecond
)

// Options configures a Client. The functions are called concurrently.
type Options struct {
	// Observer is set if a registry replica follows the others. It receives target
	// records and sends no reports; only the functions for targets are called.
	Observer    bool
	Host        string            // host of the gateway
	DataCentre  fleet.DataCentre  // of the gateway
	Region      fleet.Region      // of the gateway
	Run         uint64            // identifies the gateway process; usage counts restart at zero with each run
	Seeds       []netip.AddrPort  // replicas to connect to first; each update names all members
	NewLinkPool func() *link.Pool // returns a new pool, which the client closes; called for each stream
	Log         hclog.Logger

	CatalogVersion func() uint64                               // returns the version of the gateway's active catalog
	OnCatalog      func(version uint64, document []byte)       // receives each catalog document
	OnTargets      func(records []roster.Record, gateways int) // receives target records and the number of gateways
	UsageCounts    func() []*wire.FeedCount                    // returns cumulative counts of the open usage windows
	Loads          func() map[string]roles.Counters            // returns the load on engines by pool; may be nil
	// Engines exchanges the state of engines with the other gateways; may be nil.
	Engines EngineExchange
	// Quotas exchanges the limits of customers with the leader; may be nil.
	Quotas        QuotaExchange
	OnReplicaTime func(replica netip.AddrPort, t time.Time) // receives the wall-clock time of a replica; may be nil
}

// EngineExchange is the part of a gateway that exchanges the state of engines with the
// other gateways.
type EngineExchange interface {
	// Backlogs returns the backlogs of this gateway at prefill engines.
	Backlogs() map[fleet.TargetName]place.Backlog
	// UpdateEngines receives the backlogs of the other gateways together, and the role
	// changes in progress.
	UpdateEngines(others map[fleet.TargetName]place.Backlog, changes []place.RoleChange)
	// TakeSightings returns the prefixes that this gateway has seen at engines since the
	// last call.
	TakeSightings() []place.Sighting
	// AddSightings receives prefixes that other gateways have seen.
	AddSightings(list []place.Sighting)
	// Evidence returns what this gateway knows of prompt segments that crash targets, and
	// its version, which changes with it and is zero if there is nothing to report.
	Evidence() (r quarantine.Report, version uint64)
	// ApplyVerdict receives the result of the evidence of all gateways.
	ApplyVerdict(v quarantine.Verdict)
}

// QuotaExchange is the part of a gateway that enforces the limits of customers.
type QuotaExchange interface {
	// QuotaReport returns the next report for the leader, which is sent at once. If urgent is
	// set, it has only the customers whose requests wait. It returns false if there is nothing
	// to report.
	QuotaReport(urgent bool) (quota.Report, bool)
	// ApplyQuota applies an update of the leader.
	ApplyQuota(u quota.Update)
	// QuotaUrgent returns a channel that signals that requests have begun to wait for a
	// grant.
	QuotaUrgent() <-chan struct{}
}

// Client maintains a feed to each registry replica. Create it with New.
type Client struct {
	options Options
	wg      sync.WaitGroup

	mu           sync.Mutex
	seeds        []netip.AddrPort
	seedsChanged chan struct{}                   // signals that seeds was replaced
	feeds        map[netip.AddrPort]*replicaFeed // by replica; each has a maintainFeed goroutine
	newCatalog   chan struct{}                   // closed and replaced after OnCatalog was called
}

// New returns a client. Call Serve to run it.
func New(o Options) *Client {
	return &Client{
		options: o, seeds: o.Seeds, seedsChanged: make(chan struct{}, 1),
		feeds: make(map[netip.AddrPort]*replicaFeed), newCatalog: make(chan struct{}),
	}
}

// SetSeeds replaces the seed addresses. Feeds to replicas that are already known
// continue.
func (c *Client) SetSeeds(seeds []netip.AddrPort) {
	c.mu.Lock()
	c.seeds = seeds
	c.mu.Unlock()
	select {
	case c.seedsChanged <- struct{}{}:
	default:
	}
}

// Serve maintains the feeds until ctx is cancelled.
func (c *Client) Serve(ctx context.Context) error {
	defer c.wg.Wait()
	for {
		c.mu.Lock()
		seeds := c.seeds
		c.mu.Unlock()
		c.startFeeds(ctx, seeds)
		select {
		case <-ctx.Done():
			return nil
		case <-c.seedsChanged:
		}
	}
}

// Connected returns the number of replicas whose current stream has delivered an
// update.
func (c *Client) Connected() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.countConnected()
}

// runStream opens a stream to a replica, handles its updates and sends usage reports
// until the stream fails.
func (c *Client) runStream(serveCtx, feedCtx context.Context, f *replicaFeed) error {
	ctx, cancel := context.WithCancel(feedCtx)
	defer cancel()
	pool := c.options.NewLinkPool()
	defer pool.Close()
	openCtx, cancelOpen := context.WithTimeout(ctx, idleTimeout)
	defer cancelOpen()
	stream, err := pool.Open(openCtx, link.Address{AddrPort: f.address}, &wire.FeedOpen{
		Host: c.options.Host, Run: c.options.Run, Version: c.options.CatalogVersion(), Observer: c.options.Observer,
		DataCentre: string(c.options.DataCentre), Region: string(c.options.Region),
	})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	stream.SetContext(ctx)
	stream.ReceiveTimeout = idleTimeout
	var reporting sync.WaitGroup
	defer reporting.Wait()
	defer cancel() // runs before Wait, so that sendReports returns
	status := &streamStatus{startsLeading: make(chan struct{}, 1)}
	if !c.options.Observer {
		reporting.Go(func() {
			defer cancel()
			c.sendReports(ctx, stream, status)
		})
	}
	for {
		var m wire.FeedUpdate
		if err := stream.Receive(&m); err != nil {
			return err
		}
		c.handleUpdate(serveCtx, f, &m)
		status.set(&m)
	}
}

// handleUpdate passes one update to the callbacks and starts feeds to the members
// that it names. These feeds use serveCtx, so that they outlive the stream on which
// they were named. Members with an invalid address are ignored.
func (c *Client) handleUpdate(serveCtx context.Context, f *replicaFeed, m *wire.FeedUpdate) {
	c.mu.Lock()
	if !f.connected {
		f.connected = true
		c.options.Log.Info("feed connected", "replica", f.address, "version", m.GetVersion(), "open", c.countConnected())
	}
	c.mu.Unlock()
	if c.options.OnReplicaTime != nil && m.GetTimeMs() > 0 {
		c.options.OnReplicaTime(f.address, time.UnixMilli(m.GetTimeMs()))
	}
	if len(m.GetDocument()) > 0 && !c.options.Observer {
		c.options.OnCatalog(m.GetVersion(), m.GetDocument())
		c.mu.Lock()
		close(c.newCatalog)
		c.newCatalog = make(chan struct{})
		c.mu.Unlock()
	}
	if m.GetQuota() != nil && c.options.Quotas != nil {
		c.options.Quotas.ApplyQuota(wire.DecodeFeedQuotaUpdate(m.GetQuota()))
	}
	if m.GetQuotaOnly() {
		return
	}
	now := time.Now()
	records := make([]roster.Record, 0, len(m.GetTargets()))
	for _, t := range m.GetTargets() {
		r, err := wire.DecodeFeedTarget(now, t)
		if err != nil {
			c.options.Log.Warn("ignoring invalid target in feed update", "replica", f.address, "error", err)
			continue
		}
		records = append(records, r)
	}
	c.options.OnTargets(records, int(m.GetGateways()))
	if m.GetBacklogsComplete() && c.options.Engines != nil {
		c.options.Engines.UpdateEngines(wire.DecodeFeedBacklogs(m.GetBacklogs()), wire.DecodeFeedRoleChanges(now, m.GetRoleChanges()))
		c.options.Engines.AddSightings(wire.DecodeFeedPrefixes(m.GetPrefixes()))
	}
	if m.GetVerdict() != nil && c.options.Engines != nil {
		c.options.Engines.ApplyVerdict(wire.DecodeFeedVerdict(now, m.GetVerdict()))
	}
	var members []netip.AddrPort
	for _, text := range m.GetMembers() {
		if member, err := netip.ParseAddrPort(text); err == nil {
			members = append(members, member)
		}
	}
	c.startFeeds(serveCtx, members)
}

// sendReports periodically sends usage counts and loads on stream until ctx is cancelled
// or a send fails. While the replica leads, it sends backlogs more often.
func (c *Client) sendReports(ctx context.Context, stream *link.Stream, status *streamStatus) {
	nextReport := time.Now().Add(reportPeriod)
	var lastQuota time.Time
	sent := make(map[countKey]uint64)
	var sentEvidence uint64 // version
	for {
		leads, interval, verdict := status.get()
		c.mu.Lock()
		newCatalog := c.newCatalog
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-newCatalog: // the other replicas need not send it
		case <-status.startsLeading: // a new leader only knows the leases that are reported
			if !c.sendQuota(ctx, stream, false, time.Now()) {
				return
			}
			continue
		case <-c.quotaUrgent(leads):
			if !c.sendQuota(ctx, stream, true, lastQuota.Add(minQuotaInterval)) {
				return
			}
			lastQuota = time.Now()
			continue
		case <-time.After(min(interval, time.Until(nextReport))):
		}
		report := &wire.FeedReport{BacklogsOnly: true}
		if !time.Now().Before(nextReport) {
			nextReport = time.Now().Add(reportPeriod)
			report = &wire.FeedReport{Counts: changedCounts(c.options.UsageCounts(), sent)}
			if c.options.Loads != nil {
				report.Loads = wire.EncodeFeedLoads(c.options.Loads())
			}
			if leads && c.options.Engines != nil {
				if evidence, version := c.options.Engines.Evidence(); version != sentEvidence {
					report.Evidence, sentEvidence = wire.EncodeFeedEvidence(time.Now(), verdict, evidence), version
				}
			}
		}
		report.Version = c.options.CatalogVersion()
		if leads && c.options.Engines != nil {
			report.Backlogs = wire.EncodeFeedBacklogs(c.options.Engines.Backlogs())
			report.Prefixes = wire.EncodeFeedPrefixes(c.options.Engines.TakeSightings())
		}
		if leads {
			report.Quota, lastQuota = c.quotaReport(false), time.Now()
		}
		if err := stream.Send(report); err != nil {
			c.options.Log.Debug("sending report failed", "error", err)
			return
		}
	}
}

// quotaUrgent returns the channel on which the gateway asks for a report to the leader at
// once, or nil on the feed of another replica.
func (c *Client) quotaUrgent(leads bool) <-chan struct{} {
	if !leads || c.options.Quotas == nil {
		return nil
	}
	return c.options.Quotas.QuotaUrgent()
}

// quotaReport returns the report on the limits of customers, or nil if there is nothing to
// report.
func (c *Client) quotaReport(urgent bool) *wire.FeedQuotaReport {
	if c.options.Quotas == nil {
		return nil
	}
	r, ok := c.options.Quotas.QuotaReport(urgent)
	if !ok {
		return nil
	}
	return wire.EncodeFeedQuotaReport(r)
}

// sendQuota sends a report that contains nothing but the limits of customers, not before the
// given time. It sends nothing if there is nothing to report. It returns false if that has failed.
func (c *Client) sendQuota(ctx context.Context, stream *link.Stream, urgent bool, earliest time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(earliest)):
	}
	report := c.quotaReport(urgent)
	if report == nil {
		return true
	}
	if err := stream.Send(&wire.FeedReport{Quota: report, QuotaOnly: true, BacklogsOnly: true}); err != nil {
		c.options.Log.Debug("sending report on customer limits failed", "error", err)
		return false
	}
	return true
}

// countKey identifies a usage count of this gateway.
type countKey struct {
	window   int64
	customer string
}

// changedCounts returns the counts that differ from those sent before on the same
// stream, and records them in sent. Counts of windows that are not counted any more are
// dropped from sent.
func changedCounts(counts []*wire.FeedCount, sent map[countKey]uint64) []*wire.FeedCount {
	var out []*wire.FeedCount
	current := make(map[countKey]uint64, len(counts))
	for _, m := range counts {
		key := countKey{m.GetWindow(), m.GetCustomer()}
		current[key] = m.GetCount()
		if sent[key] != m.GetCount() {
			out = append(out, m)
		}
	}
	clear(sent)
	maps.Copy(sent, current)
	return out
}

// streamStatus is what the last update on a stream says of the replica.
type streamStatus struct {
	mu       sync.Mutex
	leads    bool
	gateways int
	verdict  uint64 // sequence of the last verdict
	// startsLeading signals that the replica has begun to lead.
	startsLeading chan struct{}
}

// set records an update that has been handled.
func (s *streamStatus) set(m *wire.FeedUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.GetLeads() && !s.leads {
		select {
		case s.startsLeading <- struct{}{}:
		default:
		}
	}
	s.leads, s.gateways = m.GetLeads(), int(m.GetGateways())
	if m.GetVerdict() != nil {
		s.verdict = m.GetVerdict().GetSequence()
	}
}

// get returns whether the replica leads, the interval of reports to it, and the sequence
// of its last verdict that the gateway has applied.
func (s *streamStatus) get() (leads bool, interval time.Duration, verdict uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leads {
		return false, reportPeriod, s.verdict
	}
	return true, registry.BacklogInterval(s.gateways), s.verdict
}
