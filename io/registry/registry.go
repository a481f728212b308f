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
	// commitTimeout bounds one commit. Callers give a call up after a second.
	commitTimeout = 900 * time.Millisecond
	// storagePause is the pause after a failed write. The supervisor would give the
	// replica up for 15 s after a few failures in a row, which a full disk causes
	// within milliseconds.
	storagePause = 500 * time.Millisecond
	// identityWait bounds the wait for the data directories of the voters of a new
	// log: a few round trips and syncs.
	identityWait   = 300 * time.Millisecond
	identityPeriod = 10 * time.Millisecond
	// snapshotEntries keeps the log within a few MB when documents of 100 KB
	// come in quick succession.
	snapshotEntries = 200
	// forgetAfter is how long a target that is not heard is remembered. Late
	// announcements of ended runs arrive within seconds.
	forgetAfter = 2 * time.Minute
	// expirePeriod is how often old records are dropped.
	expirePeriod = 10 * time.Second
)

// Errors of Put and Newest.
var (
	ErrInvalid  = catalog.ErrInvalid
	ErrNoLeader = errors.New("no replica is known to lead")
	ErrUnsure   = errors.New("the newest catalog is not known")
)

// LeaderError names the replica that can carry a call out.
type LeaderError struct{ Host netip.AddrPort }

// Error names the leader.
func (e *LeaderError) Error() string { return "the leader is " + e.Host.String() }

// UsageSink takes the figures of usage windows, numbered by the holder's term.
type UsageSink interface {
	// ReportUsage returns nil once the sink has the figures, and ErrSuperseded if
	// it has heard of a higher term.
	ReportUsage(ctx context.Context, holder string, term uint64, w Window) error
}

// ErrSuperseded reports that another replica has acted under a higher term.
var ErrSuperseded = errors.New("a higher term has been used")

// Options configure a Registry.
type Options struct {
	Self   netip.AddrPort   // link address; names the replica in the log
	Name   string           // of the host, for outward calls
	Seeds  []netip.AddrPort // link addresses of replicas
	Form   bool             // the seeds form a new log if the data directory is empty
	Voters int              // wanted
	Data   string           // directory
	FS     disk.FS          // nil means the file system of the host
	Links  *link.Pool
	Log    hclog.Logger
	Usage  UsageSink        // nil if nobody takes usage
	Now    func() time.Time // time of day, for usage windows; nil means time.Now
	// Window is the length of a usage window; windows start at multiples of it
	// since 1970. Due is when the figures must have arrived, after the window's
	// end.
	Window time.Duration
	Due    time.Duration
}

// Registry is one replica of the registry. Use New to make one.
type Registry struct {
	o       Options
	self    fleet.Host
	log     hclog.Logger
	machine *machine
	group   *replica.Group
	send    *logstream.Transport

	mu       sync.Mutex
	seeds    []netip.AddrPort
	roster   roster.Roster
	touched  chan struct{} // closed and replaced with each change of the roster
	counts   map[int64]map[source]uint64
	feeds    map[string]int     // streams by gateway
	reports  map[gateway]report // newest of each run
	learned  map[netip.AddrPort]bool
	silenced map[uint64]bool // terms under which the platform refuses calls
}

// gateway is one run of a gateway.
type gateway struct {
	host string
	run  uint64
}

// source is what one run of a gateway counts for one customer.
type source struct {
	gateway  gateway
	customer fleet.Customer
}

// report says when a run of a gateway last reported its figures, and whether it
// follows this replica.
type report struct {
	at   time.Time
	open bool
}

// New opens the data directory. Serve runs the replica.
func New(o Options) (*Registry, error) {
	r := &Registry{
		o: o, seeds: o.Seeds, self: fleet.Host(o.Self.String()), log: o.Log, machine: newMachine(),
		touched: make(chan struct{}), counts: make(map[int64]map[source]uint64), feeds: make(map[string]int), reports: make(map[gateway]report),
		learned: make(map[netip.AddrPort]bool), silenced: make(map[uint64]bool),
	}
	r.send = &logstream.Transport{Self: r.self, Links: o.Links, Address: address, Log: o.Log}
	if r.o.Now == nil {
		r.o.Now = time.Now
	}
	var members []fleet.Host
	if o.Form {
		for _, s := range o.Seeds {
			members = append(members, fleet.Host(s.String()))
		}
	}
	var err error
	r.group, err = replica.New(replica.Options{
		Self: r.self, Members: members, FS: o.FS, Dir: o.Data, Machine: r.machine, Transport: r.send,
		Log: o.Log.Named("log"), SnapshotEntries: snapshotEntries,
	})
	return r, err
}

// Seeds replaces the link addresses at which this replica looks for others.
func (r *Registry) Seeds(list []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = list
}

// address returns the link address that a host is named by.
func address(h fleet.Host) (link.Address, bool) {
	a, err := netip.ParseAddrPort(string(h))
	return link.Address{AddrPort: a}, err == nil
}

// Serve runs the replica until ctx ends or its data directory cannot be used.
func (r *Registry) Serve(ctx context.Context) error {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	r.send.Start(running)
	defer r.send.Stop()
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { r.memberLoop(running) })
	wg.Go(func() { r.usageLoop(running) })
	wg.Go(func() { r.expireLoop(running) })
	return r.replicate(running)
}

// replicate runs the replica of the log until ctx ends or its data directory cannot
// be used at all. A disk that refuses writes may take them again.
func (r *Registry) replicate(ctx context.Context) error {
	for {
		err := r.group.Serve(ctx)
		if ctx.Err() != nil || !errors.Is(err, disk.ErrWrite) {
			return err
		}
		r.log.Error("storage failed, replica restarts", "data", r.o.Data, "pause", storagePause, "error", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(storagePause):
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
		r.roster.Expire(time.Now().Add(-forgetAfter))
		r.mu.Unlock()
	}
}

// Register adds the calls that this replica serves to a link server.
func (r *Registry) Register(s *link.Server) {
	link.Handle(s, func(_ context.Context, st *link.Stream, m *wire.ControlLogStream) {
		r.ended(st, logstream.Receive(st, fleet.Host(m.GetFrom()), r.group.Deliver))
	}, identity.Control)
	link.Handle(s, func(ctx context.Context, st *link.Stream, m *wire.RegistryJoin) {
		r.ended(st, st.Send(r.admit(ctx, m)))
	}, identity.Control)
	link.Handle(s, func(ctx context.Context, st *link.Stream, m *wire.FeedOpen) {
		r.ended(st, r.feed(ctx, st, m))
	}, identity.Entry)
}

func (r *Registry) ended(s *link.Stream, err error) {
	if err != nil && !errors.Is(err, io.EOF) {
		r.log.Debug("call ended", "peer", s.Peer.Address, "error", err)
	}
}

// Announce takes an announcement of a target.
func (r *Registry) Announce(a roster.Announcement) roster.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome := r.roster.Announce(time.Now(), a)
	if outcome == roster.Changed {
		r.log.Info("target changed", "target", a.Target, "started", a.Started.UnixMilli(), "sequence", a.Sequence,
			"pool", a.Pool, "address", a.Address, "condition", a.Condition, "role", a.Role)
		close(r.touched)
		r.touched = make(chan struct{})
	}
	return outcome
}

// Put commits a checked document under its version, as the operator sent it. It
// returns nil once a catalog of this version or a higher one is committed.
func (r *Registry) Put(ctx context.Context, version uint64, document []byte) error {
	if held, _, _ := r.machine.catalog(); version <= held {
		r.log.Info("catalog kept", "version", version, "held", held)
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

// awaitIdentities waits until the membership records the data directories of all
// voters, or for identityWait: a new log that loses its leader before cannot elect
// another one until it is back, since a directory without entries helps no
// candidate that has some.
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
	var elsewhere *replica.NotLeaderError
	if errors.As(err, &elsewhere) {
		return r.leaderError(elsewhere.Leader)
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

// Newest returns the newest committed catalog, or ErrUnsure.
func (r *Registry) Newest(ctx context.Context) (version uint64, document []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := r.group.Read(ctx); err != nil {
		return 0, nil, errors.Wrap(ErrUnsure, err.Error())
	}
	version, document, _ = r.machine.catalog()
	return version, document, nil
}

// Dump is the state of a Registry for operators.
type Dump struct {
	Version  uint64
	Targets  []roster.Record
	Gateways int
	Closed   int64 // newest fixed usage window
	Unsent   int   // fixed windows that are not known to be sent
	Counting int   // windows with committed figures that are not fixed
	Log      any
}

// Dump returns a copy of the state, of type Dump.
func (r *Registry) Dump() any {
	version, _, _ := r.machine.catalog()
	unsent, closed := r.machine.unsent()
	d := Dump{Version: version, Closed: closed, Unsent: len(unsent), Counting: r.machine.counting(), Log: r.group.Dump()}
	r.mu.Lock()
	defer r.mu.Unlock()
	d.Targets, d.Gateways = r.roster.Since(0), len(r.feeds)
	return d
}
