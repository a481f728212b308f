package registry

import (
	"context"
	"io"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
	"papayarock/core/log"
	"papayarock/core/roster"
	"papayarock/io/disk"
	"papayarock/io/identity"
	"papayarock/io/link"
	"papayarock/io/logstream"
	"papayarock/io/replica"
	"papayarock/io/wire"
)

const (
	// commitTimeout limits one commit. It is below the callers' timeout of 1 s.
	commitTimeout = 900 * time.Millisecond
	// storageRetryDelay is the delay before a restart after a failed write. Without
	// it, a full disk causes several failures within milliseconds, after which
	// the supervisor stops restarting the replica for 15 s.
	storageRetryDelay = 500 * time.Millisecond
	// identityWait limits the wait until the voters of a new log have reported the
	// identities of their data directories, which takes a few round trips and
	// syncs.
	identityWait   = 300 * time.Millisecond
	identityPeriod = 10 * time.Millisecond
	// snapshotEntries is the number of log entries between snapshots. It keeps
	// the log within a few MB when documents of 100 KB arrive in quick succession.
	snapshotEntries = 200
	// targetRetention is how long the record of a target is kept after its last
	// announcement. Late announcements of ended runs arrive within seconds.
	targetRetention = 2 * time.Minute
	// expirePeriod is the interval at which expired target records are removed.
	expirePeriod = 10 * time.Second
)

// Errors of Put and LatestCatalog.
var (
	ErrInvalid            = catalog.ErrInvalid
	ErrNoLeader           = errors.New("no replica is known to lead")
	ErrCatalogUnconfirmed = errors.New("the newest catalog is not known")
)

// LeaderError is returned for a call that only the leader can serve. Host is the
// leader's link address.
type LeaderError struct{ Host netip.AddrPort }

// Error returns a message with the leader's address.
func (e *LeaderError) Error() string { return "the leader is " + e.Host.String() }

// UsageSink receives the counts of usage windows. The reporter's term is a fencing
// token.
type UsageSink interface {
	// ReportUsage returns nil once the sink has accepted the counts, and
	// ErrSuperseded if it has seen a higher term.
	ReportUsage(ctx context.Context, holder string, term uint64, w Window) error
}

// ErrSuperseded is returned by a UsageSink that has seen a higher term, used by
// another leader.
var ErrSuperseded = errors.New("superseded by a higher term")

// Options configure a Registry.
type Options struct {
	Self      netip.AddrPort   // link address; identifies the replica in the log
	Name      string           // name of the host, sent with usage reports
	Seeds     []netip.AddrPort // link addresses of replicas
	CreateLog bool             // create a new log of the seeds if the data directory is empty
	Voters    int              // desired number of voters
	Data      string           // data directory
	FS        disk.FS          // nil means the host's file system
	Links     *link.Pool
	Log       hclog.Logger
	Usage     UsageSink        // nil disables usage reports
	Now       func() time.Time // time of day, for usage windows; nil means time.Now
	// Window is the length of a usage window. Windows are aligned to multiples of
	// it since the Unix epoch. ReportTimeout is the time limit for reporting a window, counted
	// from its end.
	Window        time.Duration
	ReportTimeout time.Duration
}

// Registry is one replica of the registry. Use New to create one.
type Registry struct {
	options   Options
	self      fleet.Host
	log       hclog.Logger
	machine   *stateMachine
	group     *replica.Group
	transport *logstream.Transport

	mu            sync.Mutex
	seeds         []netip.AddrPort
	roster        roster.Roster
	rosterChanged chan struct{} // closed and replaced when the roster changes
	counts        map[int64]map[source]uint64
	feeds         map[string]int     // open feeds by gateway
	reports       map[gateway]report // by run of a gateway
	knownPeers    map[netip.AddrPort]bool
	superseded    map[uint64]bool // terms that the usage sink has rejected as superseded
}

// gateway is one run of a gateway.
type gateway struct {
	host string
	run  uint64
}

// source identifies a count: one run of a gateway, and a customer.
type source struct {
	gateway  gateway
	customer fleet.Customer
}

// report records when a run of a gateway last reported its counts, and whether
// its feed is open.
type report struct {
	received  time.Time
	following bool
}

// New creates a replica and opens its data directory. Serve runs it.
func New(o Options) (*Registry, error) {
	r := &Registry{
		options: o, seeds: o.Seeds, self: fleet.Host(o.Self.String()), log: o.Log, machine: newStateMachine(),
		rosterChanged: make(chan struct{}), counts: make(map[int64]map[source]uint64), feeds: make(map[string]int), reports: make(map[gateway]report),
		knownPeers: make(map[netip.AddrPort]bool), superseded: make(map[uint64]bool),
	}
	r.transport = &logstream.Transport{Self: r.self, Links: o.Links, Address: address, Log: o.Log}
	if r.options.Now == nil {
		r.options.Now = time.Now
	}
	var members []fleet.Host
	if o.CreateLog {
		for _, s := range o.Seeds {
			members = append(members, fleet.Host(s.String()))
		}
	}
	var err error
	r.group, err = replica.New(replica.Options{
		Self: r.self, Members: members, FS: o.FS, Dir: o.Data, Machine: r.machine, Transport: r.transport,
		Log: o.Log.Named("log"), SnapshotEntries: snapshotEntries,
	})
	return r, err
}

// SetSeeds replaces the link addresses at which this replica contacts others.
func (r *Registry) SetSeeds(list []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = list
}

// address parses the link address that identifies a host in the log.
func address(h fleet.Host) (link.Address, bool) {
	a, err := netip.ParseAddrPort(string(h))
	return link.Address{AddrPort: a}, err == nil
}

// Serve runs the replica until ctx ends or its data directory is unusable.
func (r *Registry) Serve(ctx context.Context) error {
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
	wg.Go(func() { r.expireLoop(running) })
	return r.serveLog(running)
}

// serveLog runs the replica of the log until ctx ends or its data directory is
// unusable. It restarts the replica after failed writes, since these may be
// temporary, as on a full disk.
func (r *Registry) serveLog(ctx context.Context) error {
	for {
		err := r.group.Serve(ctx)
		if ctx.Err() != nil || !errors.Is(err, disk.ErrWrite) {
			return err
		}
		r.log.Error("storage failed, replica restarts", "data", r.options.Data, "pause", storageRetryDelay, "error", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(storageRetryDelay):
		}
	}
}

func (r *Registry) expireLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(expirePeriod):
		}
		r.mu.Lock()
		r.roster.Expire(time.Now().Add(-targetRetention))
		r.mu.Unlock()
	}
}

// Register registers the handlers of this replica with a link server.
func (r *Registry) Register(s *link.Server) {
	link.Handle(s, func(_ context.Context, st *link.Stream, m *wire.ControlLogStream) {
		r.logCallEnd(st, logstream.Receive(st, fleet.Host(m.GetFrom()), r.group.Deliver))
	}, identity.Control)
	link.Handle(s, func(ctx context.Context, st *link.Stream, m *wire.RegistryJoin) {
		r.logCallEnd(st, st.Send(r.admit(ctx, m)))
	}, identity.Control)
	link.Handle(s, func(ctx context.Context, st *link.Stream, m *wire.FeedOpen) {
		r.logCallEnd(st, r.feed(ctx, st, m))
	}, identity.Entry)
}

func (r *Registry) logCallEnd(s *link.Stream, err error) {
	if err != nil && !errors.Is(err, io.EOF) {
		r.log.Debug("call ended", "peer", s.Peer.Address, "error", err)
	}
}

// Announce adds an announcement of a target to the roster.
func (r *Registry) Announce(a roster.Announcement) roster.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome := r.roster.Announce(time.Now(), a)
	if outcome == roster.Changed {
		r.log.Info("target changed", "target", a.Target, "started", a.Started.UnixMilli(), "sequence", a.Sequence,
			"pool", a.Pool, "address", a.Address, "condition", a.Condition, "role", a.Role)
		close(r.rosterChanged)
		r.rosterChanged = make(chan struct{})
	}
	return outcome
}

// Put commits a validated document, unmodified, under its version. It returns nil
// once a catalog of this version or a higher one is committed.
func (r *Registry) Put(ctx context.Context, version uint64, document []byte) error {
	if held, _, _ := r.machine.catalog(); version <= held {
		r.log.Info("catalog not newer, ignored", "version", version, "held", held)
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
		if !slices.ContainsFunc(r.group.Members(), unknown) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(identityPeriod):
		}
	}
}

func (r *Registry) commit(ctx context.Context, c *wire.RegistryCommand) error {
	b, err := proto.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode command")
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result, err := r.group.Propose(ctx, b)
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		return r.leaderError(notLeader.Leader)
	}
	if err != nil {
		return errors.Wrap(err, "commit")
	}
	if err, ok := result.(error); ok {
		return err
	}
	return nil
}

func (r *Registry) leaderError(h fleet.Host) error {
	a, ok := address(h)
	if !ok || h == r.self {
		return ErrNoLeader
	}
	return &LeaderError{Host: a.AddrPort}
}

// LatestCatalog returns the newest committed catalog, or ErrCatalogUnconfirmed.
func (r *Registry) LatestCatalog(ctx context.Context) (version uint64, document []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := r.group.Read(ctx); err != nil {
		return 0, nil, errors.Wrap(ErrCatalogUnconfirmed, err.Error())
	}
	version, document, _ = r.machine.catalog()
	return version, document, nil
}

// Dump is the state of a Registry as shown to operators.
type Dump struct {
	Version  uint64
	Targets  []roster.Record
	Gateways int
	Closed   int64 // newest final usage window
	Unsent   int   // final windows whose delivery is not recorded
	Counting int   // windows with committed counts that are not final
	Log      any
}

// Dump returns a copy of the state as a value of type Dump.
func (r *Registry) Dump() any {
	version, _, _ := r.machine.catalog()
	unsent, closed := r.machine.unsent()
	d := Dump{Version: version, Closed: closed, Unsent: len(unsent), Counting: r.machine.openWindows(), Log: r.group.Dump()}
	r.mu.Lock()
	defer r.mu.Unlock()
	d.Targets, d.Gateways = r.roster.Since(0), len(r.feeds)
	return d
}
