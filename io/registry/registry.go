package registry

import (
	"context"
	"io"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
	"papayarock/core/log"
	"papayarock/core/place"
	"papayarock/core/quarantine"
	"papayarock/core/quota"
	"papayarock/core/roles"
	"papayarock/core/roster"
	"papayarock/io/disk"
	"papayarock/io/identity"
	"papayarock/io/link"
	"papayarock/io/logstream"
	"papayarock/io/replica"
	"papayarock/io/wire"
)

const (
	// commitTimeout limits one commit. It is below the 1 s after which operators give
	// up a call.
	commitTimeout = 900 * time.Millisecond
	// storageRetryDelay is the delay before a restart after a failed write. Without
	// it, a full disk causes several failures within milliseconds, after which
	// the supervisor stops restarting the replica for 15 s.
	storageRetryDelay = 500 * time.Millisecond
	// identityWait limits the wait until the voters of a new log have reported the
	// identities of their data directories, which takes a few round trips and
	// syncs.
	identityWait = 300 * time.Millisecond
	// identityPollInterval is the interval of the checks during that wait.
	identityPollInterval = 10 * time.Millisecond
	// snapshotEntries is the number of log entries between snapshots.
	snapshotEntries = 200
	// snapshotBytes is the size of the log entries between snapshots, and retainBytes
	// that of the entries kept below a snapshot. A rewrite of the log needs space for the
	// old and the new one at once: with open proposals of 8 MiB and two snapshots of 1 MiB
	// that is at most 30 MiB, which must fit on the disk.
	snapshotBytes = 4 << 20
	retainBytes   = 4 << 20
	// targetRetention is how long the record of a target is kept after its last
	// announcement. The record is needed to ignore late announcements of runs that
	// have ended, which arrive within seconds.
	targetRetention = 2 * time.Minute
	// expirePeriod is the interval at which expired target records are removed.
	expirePeriod = 10 * time.Second
)

var (
	// ErrInvalid is catalog.ErrInvalid, the error of documents that must not be passed
	// to PutCatalog.
	ErrInvalid = catalog.ErrInvalid
	// ErrNoLeader is returned by PutCatalog on a replica that knows no leader.
	ErrNoLeader = errors.New("no replica is known to lead")
	// ErrCatalogUnconfirmed is returned by LatestCatalog if this replica cannot confirm
	// in time that it has applied all committed entries.
	ErrCatalogUnconfirmed = errors.New("the newest catalog is not known")
)

// NotLeaderError is returned for a call that only the leader can serve. Address is the
// leader's link address.
type NotLeaderError struct{ Address netip.AddrPort }

// Error returns a message with the leader's address.
func (e *NotLeaderError) Error() string { return "the leader is " + e.Address.String() }

// UsageSink receives the counts of final usage windows from the leader of the log.
// A replica that no longer leads may still try to report, so reports include the term
// in which the replica leads as a fencing token.
type UsageSink interface {
	// ReportUsage reports a window. holder is the name of the leader's host. It returns
	// nil once the sink has accepted the counts, and ErrSuperseded if the sink has seen
	// a higher term.
	ReportUsage(ctx context.Context, holder string, term uint64, w UsageWindow) error
}

// ErrSuperseded is returned by a UsageSink that has received a report with a higher
// term, that is, from a later leader.
var ErrSuperseded = errors.New("superseded by a higher term")

// Options configure a Registry.
type Options struct {
	Self     netip.AddrPort // link address; identifies the replica in the log
	HostName string         // name of the host, sent with usage reports
	// DataCentre is that of this replica. It sends new documents first to the gateways
	// there.
	DataCentre fleet.DataCentre
	Seeds      []netip.AddrPort // link addresses of replicas
	CreateLog  bool             // if the data directory is empty, create a log with the seeds as members
	Voters     int              // desired number of voters
	DataDir    string           // data directory
	FS         disk.FS          // nil means the host's file system
	Links      *link.Pool
	Log        hclog.Logger
	UsageSink  UsageSink        // nil disables usage reports
	Now        func() time.Time // time of day, for usage windows; nil means time.Now
	// Window is the length of a usage window. Windows are aligned to multiples of it
	// since the Unix epoch, and numbered by the multiple. ReportTimeout is the time
	// between the end of a window and the deadline for its report.
	Window        time.Duration
	ReportTimeout time.Duration
	Engines       EngineClient // nil disables role changes
	DecodeCatalog func(document []byte) (catalog.Document, error)
	Quota         quota.Bounds // within which the limits of customers are enforced
	Regions       map[fleet.DataCentre]fleet.Region
	// WatchTargets passes the target records of all replicas to onTargets until ctx
	// ends. Each replica knows only the targets that announce themselves to it.
	WatchTargets func(ctx context.Context, onTargets func([]roster.Record))
}

// Registry is one replica of the registry. Use New to create one.
type Registry struct {
	options   Options
	self      fleet.Host
	log       hclog.Logger
	machine   *stateMachine
	member    *replica.Member
	transport *logstream.Transport
	quota     quotaLeader
	// shuttingDown is set by Leave. From then on this replica does not join the log again.
	shuttingDown atomic.Bool

	mu              sync.Mutex
	seeds           []netip.AddrPort
	roster          roster.Roster
	rosterChanged   chan struct{}                 // closed and replaced when the roster changes
	reportedCounts  map[int64]map[countKey]uint64 // by window, as reported to this replica by gateways
	openFeeds       map[string]int                // number of open feeds by host of the gateway
	reportStatuses  map[gatewayRun]reportStatus
	knownPeers      map[netip.AddrPort]time.Time        // replicas that were named as the leader, and when
	openJoins       map[netip.AddrPort]bool             // join requests without an answer, by peer
	leaving         map[fleet.Host]time.Time            // replicas that shut down, as reported to this leader, with the expiry
	supersededTerm  uint64                              // highest term that the usage sink or an engine has rejected as superseded
	meters          map[string]*roles.Meter[gatewayRun] // by pool
	backlogs        map[gatewayRun]reportedBacklog
	sightings       place.SightingLog[gatewayRun]
	judge           quarantine.Judge[gatewayRun]          // of prompt segments that crash targets
	gatewayVersions map[gatewayRun]uint64                 // catalog version of each gateway, as reported
	roleChanges     map[fleet.TargetName]place.RoleChange // ordered by this replica and not announced yet
	watched         roster.Roster                         // targets of all replicas, while this replica leads
}

// gatewayRun identifies the process of a gateway. A gateway that restarts counts from
// zero as another run.
type gatewayRun struct {
	host string
	run  uint64
}

// countKey identifies a count of a window: the run of a gateway that made it, and the
// customer whose requests it counts.
type countKey struct {
	gateway  gatewayRun
	customer fleet.Customer
}

// reportStatus records when a run of a gateway last reported its counts, and whether
// its feed to this replica is open.
type reportStatus struct {
	received time.Time
	feedOpen bool
}

// New creates a replica and opens its data directory. Serve runs it.
func New(o Options) (*Registry, error) {
	r := &Registry{
		options: o, seeds: o.Seeds, self: fleet.Host(o.Self.String()), log: o.Log, machine: newStateMachine(),
		rosterChanged: make(chan struct{}), reportedCounts: make(map[int64]map[countKey]uint64), openFeeds: make(map[string]int), reportStatuses: make(map[gatewayRun]reportStatus),
		knownPeers: make(map[netip.AddrPort]time.Time), openJoins: make(map[netip.AddrPort]bool), leaving: make(map[fleet.Host]time.Time),
		meters: make(map[string]*roles.Meter[gatewayRun]), backlogs: make(map[gatewayRun]reportedBacklog), gatewayVersions: make(map[gatewayRun]uint64), roleChanges: make(map[fleet.TargetName]place.RoleChange),
	}
	r.transport = &logstream.Transport{Self: r.self, Pool: o.Links, Address: linkAddress, Log: o.Log}
	r.quota.bounds, r.quota.decode, r.quota.log = o.Quota, o.DecodeCatalog, o.Log
	if r.options.Now == nil {
		r.options.Now = time.Now
	}
	r.machine.onSignOff = r.applySignOff
	var members []fleet.Host
	if o.CreateLog {
		for _, s := range o.Seeds {
			members = append(members, fleet.Host(s.String()))
		}
	}
	var err error
	r.member, err = replica.New(replica.Options{
		Self: r.self, InitialVoters: members, FS: o.FS, DataDir: o.DataDir, StateMachine: r.machine, Transport: r.transport,
		Log: o.Log.Named("log"), SnapshotEntries: snapshotEntries, SnapshotBytes: snapshotBytes, RetainBytes: retainBytes, LongestAction: usageTimeout,
	})
	return r, err
}

// SetSeeds replaces the configured link addresses that are asked to add this replica
// to the log, beside those of known members.
func (r *Registry) SetSeeds(list []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = list
}

// linkAddress parses the link address that identifies a replica in the log.
func linkAddress(h fleet.Host) (link.Address, bool) {
	a, err := netip.ParseAddrPort(string(h))
	return link.Address{AddrPort: a}, err == nil
}

// Serve runs the replica until ctx ends or its data directory is unusable.
func (r *Registry) Serve(ctx context.Context) error {
	// Deferred calls run in reverse order: cancel is deferred again after each call
	// that waits for work to end.
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	r.transport.Start(running)
	defer r.transport.Stop()
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { r.memberLoop(running) })
	wg.Go(func() { r.usageLoop(running) })
	wg.Go(func() { r.rolesLoop(running) })
	wg.Go(func() { r.expireLoop(running) })
	return r.serveLog(running)
}

// serveLog runs the replica of the log until ctx ends or its data directory is
// unusable. It restarts the replica after failed writes, since these may be
// temporary, as on a full disk.
func (r *Registry) serveLog(ctx context.Context) error {
	for {
		err := r.member.Serve(ctx)
		if ctx.Err() != nil || !errors.Is(err, disk.ErrWrite) {
			return err
		}
		r.log.Error("storage failed, replica restarts", "data", r.options.DataDir, "pause", storageRetryDelay, "error", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(storageRetryDelay):
		}
	}
}

// expireLoop periodically forgets targets and gateways that are gone, until ctx ends.
func (r *Registry) expireLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(expirePeriod):
		}
		r.expire(time.Now())
	}
}

// expire forgets targets and gateways that are gone. What only the leader uses expires here as
// well: gateways report to all replicas.
func (r *Registry) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster.Expire(now.Add(-targetRetention))
	r.expireReportStatuses(r.options.Now())
	r.expireBacklogs(now)
	for _, m := range r.meters {
		m.Expire(now)
	}
}

// recordSuperseded records that a term was rejected as superseded. Only the highest one can
// become that of this replica again. The caller holds mu.
func (r *Registry) recordSuperseded(term uint64) {
	r.supersededTerm = max(r.supersededTerm, term)
}

// Register registers the handlers of this replica with a link server.
func (r *Registry) Register(s *link.Server) {
	link.Handle(s, func(_ context.Context, st *link.Stream, m *wire.ControlLogStream) {
		r.logCallEnd(st, logstream.Receive(st, fleet.Host(m.GetFrom()), r.member.Deliver))
	}, identity.Control)
	link.Handle(s, func(ctx context.Context, st *link.Stream, m *wire.RegistryJoin) {
		r.logCallEnd(st, st.Send(r.admit(ctx, m)))
	}, identity.Control)
	link.Handle(s, func(_ context.Context, st *link.Stream, m *wire.RegistryLeave) {
		r.logCallEnd(st, st.Send(r.release(m)))
	}, identity.Control)
	link.Handle(s, func(ctx context.Context, st *link.Stream, m *wire.RegistrySignOff) {
		answer, err := r.receiveSignOff(ctx, m)
		if err == nil {
			err = st.Send(answer)
		}
		r.logCallEnd(st, err)
	}, identity.Control)
	link.Handle(s, func(ctx context.Context, st *link.Stream, m *wire.FeedOpen) {
		r.logCallEnd(st, r.serveFeed(ctx, st, m))
	}, identity.Entry)
}

// logCallEnd logs the error with which a call ended. io.EOF means that the peer has
// closed the stream as intended.
func (r *Registry) logCallEnd(s *link.Stream, err error) {
	if err != nil && !errors.Is(err, io.EOF) {
		r.log.Debug("call ended", "peer", s.Peer.Address, "error", err)
	}
}

// Announce adds an announcement of a target to the roster.
func (r *Registry) Announce(a roster.Announcement) roster.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Condition == roster.Left && a.Started.IsZero() {
		known, ok := r.roster.Get(a.Target)
		r.log.Info("target signed off without a run", "target", a.Target, "known", ok, "known-started", known.Started.UnixMilli(), "known-condition", known.Condition)
		r.roster.SignOff(time.Now(), r.options.Now(), a.Target)
		r.signalRosterChange()
		return roster.Changed
	}
	outcome := r.roster.Announce(time.Now(), a)
	switch outcome {
	case roster.Refreshed:
	case roster.Stale:
		held, _ := r.roster.Get(a.Target)
		r.log.Info("announcement outdated, ignored", "target", a.Target, "started", a.Started.UnixMilli(), "sequence", a.Sequence,
			"address", a.Address, "held-started", held.Started.UnixMilli(), "held-sequence", held.Sequence, "held-condition", held.Condition)
	case roster.Changed:
		r.log.Info("target changed", "target", a.Target, "started", a.Started.UnixMilli(), "sequence", a.Sequence,
			"pool", a.Pool, "address", a.Address, "condition", a.Condition, "role", a.Role)
		r.signalRosterChange()
	}
	return outcome
}

// signalRosterChange wakes the feeds after a change of the roster. The caller holds mu.
func (r *Registry) signalRosterChange() {
	close(r.rosterChanged)
	r.rosterChanged = make(chan struct{})
}

// PutCatalog commits a validated document, unmodified, as the catalog of the given
// version. It returns nil once a catalog of this version or a higher one is committed.
// On a replica that does not lead it returns a *NotLeaderError or ErrNoLeader. After any
// other error the catalog may have been committed unless the error is
// replica.ErrNotCommitted.
func (r *Registry) PutCatalog(ctx context.Context, version uint64, document []byte) error {
	if current, _, _ := r.machine.catalog(); version <= current {
		r.log.Info("catalog not newer, ignored", "version", version, "held", current)
		return nil
	}
	err := r.commit(ctx, &wire.RegistryCommand{Command: &wire.RegistryCommand_Catalog{
		Catalog: &wire.CatalogPut{Version: version, Document: document},
	}})
	if err == nil {
		r.awaitIdentities(ctx)
	}
	r.log.Info("catalog submitted", "version", version, "bytes", len(document), "error", err)
	return err
}

// awaitIdentities waits until the membership records the identities of the data
// directories of all voters, for at most identityWait. A new log that loses its
// leader before that cannot elect another one until the leader is back, since a
// voter without entries and without a recorded identity does not vote for a
// candidate with entries.
func (r *Registry) awaitIdentities(ctx context.Context) {
	for end := time.Now().Add(identityWait); time.Now().Before(end); {
		unknown := func(m log.Member) bool { return !m.Learner && m.Identity == 0 }
		if !slices.ContainsFunc(r.member.Members(), unknown) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(identityPollInterval):
		}
	}
}

// commit appends a command to the log and waits until it is applied. It returns a
// NotLeaderError or ErrNoLeader on a replica that does not lead.
func (r *Registry) commit(ctx context.Context, c *wire.RegistryCommand) error {
	b, err := proto.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode command")
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result, err := r.member.Propose(ctx, b)
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		return r.notLeaderError(notLeader.Leader)
	}
	if err != nil {
		return errors.Wrap(err, "commit")
	}
	if err, ok := result.(error); ok {
		return err
	}
	return nil
}

func (r *Registry) notLeaderError(h fleet.Host) error {
	a, ok := linkAddress(h)
	if !ok || h == r.self {
		return ErrNoLeader
	}
	return &NotLeaderError{Address: a.AddrPort}
}

// LatestCatalog returns the newest committed catalog, or ErrCatalogUnconfirmed.
func (r *Registry) LatestCatalog(ctx context.Context) (version uint64, document []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := r.member.ReadBarrier(ctx); err != nil {
		return 0, nil, errors.Wrap(ErrCatalogUnconfirmed, err.Error())
	}
	version, document, _ = r.machine.catalog()
	r.log.Info("catalog read", "version", version, "leads", r.member.Leader() == r.self)
	return version, document, nil
}

// Dump is the state of a Registry as shown to operators.
type Dump struct {
	Version  uint64
	Targets  []roster.Record
	Gateways int
	Closed   int64 // number of the newest final usage window
	Unsent   int   // number of final windows that are not recorded as reported
	Counting int   // number of open windows with committed counts
	Log      any
}

// Dump returns a copy of the state as a value of type Dump.
func (r *Registry) Dump() any {
	version, _, _ := r.machine.catalog()
	unsent, newestFinal := r.machine.unsent()
	d := Dump{Version: version, Closed: newestFinal, Unsent: len(unsent), Counting: r.machine.openWindows(), Log: r.member.Dump()}
	r.mu.Lock()
	defer r.mu.Unlock()
	d.Targets, d.Gateways = r.roster.ChangedSince(0), len(r.openFeeds)
	return d
}
