package controller

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"papayarock/core/capacity"
	"papayarock/core/config"
	"papayarock/core/dispatch"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/core/summary"
	"papayarock/core/watch"
	"papayarock/io/action"
	"papayarock/io/identity"
	"papayarock/io/link"
	"papayarock/io/logstream"
	"papayarock/io/operator"
	"papayarock/io/replica"
	"papayarock/io/wire"
)

// ErrNoLeader reports that no replica is known to lead.
var ErrNoLeader = errors.New("no control leader is known")

const (
	// subscriberRetention is how long a subscriber that stopped polling is kept.
	// It exceeds watch.DeadAfter, so the last poll of a target's agent is known
	// until the target counts as dead.
	subscriberRetention = 30 * time.Second
	// maxDemandReports limits the demand reports queued for the planner or, on a
	// relay, for the leader.
	maxDemandReports = 10_000
	// maxEndedActions limits the ended actions queued for the lead loop.
	maxEndedActions = 1024
)

// Options configure a Controller.
type Options struct {
	Self              fleet.Host
	Voters            []fleet.Host                  // initial voters of a new group; empty on a host that joins one
	Addresses         map[fleet.Host]netip.AddrPort // link addresses of all control replicas
	OperatorAddresses map[fleet.Host]netip.AddrPort // operator addresses, as far as known
	DataDir           string
	Links             *link.Pool
	Log               hclog.Logger
	Clock             replica.Clock
	PlatformURL       *url.URL      // platform interface that starts and stops targets; nil disables such orders
	UsageURL          *url.URL      // platform interface that receives usage reports; nil disables them
	UsageWindow       time.Duration // length of a usage window; 0 disables sealing
}

// Controller is one control replica. Create it with New.
type Controller struct {
	o               Options
	self            fleet.Host
	log             hclog.Logger
	links           *link.Pool
	machine         *machine
	member          *replica.Member
	transport       *logstream.Transport
	platform        *platformClient
	usage           *platformClient
	actions         sync.WaitGroup            // actions in progress
	unansweredUntil atomic.Pointer[time.Time] // latest deadline of an external action that got no response
	endedActions    chan dispatch.Key
	snapshots       snapshotCache

	mu            sync.Mutex
	tracker       watch.Tracker
	reportBuilder watch.ReportBuilder                  // builds the reports to the leader; only on a relay
	relays        map[fleet.Host]*watch.ReportReceiver // receives the reports of each relay; only on the leader
	copy          watch.Copy                           // revision and freshness of a relay's configuration, which machine holds
	leadingTerm   uint64                               // term for which the tracker is set up; 0 when not leading
	demandReports []capacity.Report                    // queued for demand or, on a relay, for entryDemand
	entryDemand   capacity.Demand                      // demand of the entries that poll this relay
	demandSent    time.Time                            // when entryDemand was last sent to a leader
	loads         summary.LoadTable
	summariesSent time.Time // when summaries were last sent to a leader
	health        watch.Health
	contacts      []watch.Contact // of entries with targets, queued for the leader

	planMu  sync.Mutex // guards planner and demand; never locked with mu held
	planner *capacity.TermPlanner
	demand  capacity.Demand // demand of all entries; input of the planner
}

// New opens the data directory and returns a replica, which Serve then runs.
func New(o Options) (*Controller, error) {
	c := &Controller{
		o: o, self: o.Self, log: o.Log, links: o.Links, machine: newMachine(),
		endedActions: make(chan dispatch.Key, maxEndedActions),
	}
	c.reportBuilder.Run = uint64(time.Now().UnixNano()) // differs from that of any earlier run
	c.transport = &logstream.Transport{Self: o.Self, Pool: o.Links, Address: c.address, Log: o.Log}
	if o.PlatformURL != nil {
		c.platform = &platformClient{base: o.PlatformURL, client: action.NewClient(http.ProxyFromEnvironment), host: o.Self}
	}
	if o.UsageURL != nil {
		c.usage = &platformClient{base: o.UsageURL, client: action.NewClient(http.ProxyFromEnvironment), host: o.Self}
	}
	var err error
	c.member, err = replica.New(replica.Options{
		Self: o.Self, InitialVoters: o.Voters, DataDir: o.DataDir, StateMachine: c.machine, Transport: c.transport, Log: o.Log.Named("log"), Clock: o.Clock,
	})
	return c, err
}

// Serve runs the replica until ctx ends or its storage fails.
func (c *Controller) Serve(ctx context.Context) error {
	// The log keeps running while a stopping leader waits for its actions to end
	// and transfers leadership.
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	c.transport.Start(running)
	defer c.transport.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	failed := make(chan error, 1)
	leading, stop := context.WithCancel(ctx)
	defer stop()
	wg.Go(func() { failed <- c.member.Serve(running); stop() })
	wg.Go(func() { _ = c.confirmLoop(running) })
	c.leadLoop(leading, running)
	if ctx.Err() != nil {
		c.transferLeadership(running)
	}
	cancel()
	c.actions.Wait()
	return <-failed
}

// Register registers the handlers of this replica's calls with a link server.
func (c *Controller) Register(s *link.Server) {
	all := []identity.Role{identity.Entry, identity.Agent, identity.Control, identity.Operator}
	link.Handle(s, func(ctx context.Context, st *link.Stream, m *wire.ControlPoll) {
		c.logEnd(st, c.servePoll(ctx, st, hostOf(st.Peer, m.GetSelf().GetHost()), m))
	}, all...)
	link.Handle(s, func(ctx context.Context, st *link.Stream, m *wire.ControlSubmit) {
		c.logEnd(st, c.serveSubmit(ctx, st, st.Peer, m))
	}, all...)
	link.Handle(s, func(_ context.Context, st *link.Stream, m *wire.ControlLogStream) {
		c.logEnd(st, logstream.Receive(st, hostOf(st.Peer, m.GetFrom()), c.member.Deliver))
	}, identity.Control)
	link.Handle(s, func(_ context.Context, st *link.Stream, m *wire.ControlConfirm) {
		c.logEnd(st, c.serveConfirm(st, hostOf(st.Peer, m.GetSelf().GetHost()), m))
	}, identity.Control)
	link.Handle(s, func(_ context.Context, st *link.Stream, m *wire.ControlProgress) {
		c.logEnd(st, st.Send(c.progress(time.Now(), m.GetRevision())))
	}, identity.Control)
}

// hostOf returns the authenticated host of a peer. Over plain TCP, which has no
// authentication, it is the claimed one.
func hostOf(p link.Peer, claimed string) fleet.Host {
	if p.Plain {
		return fleet.Host(claimed)
	}
	return p.Host
}

func (c *Controller) logEnd(s *link.Stream, err error) {
	if err != nil && !errors.Is(err, io.EOF) {
		c.log.Debug("call ended", "peer", s.Peer.Address, "error", err)
	}
}

// leader returns the known leader and its link address. It returns false if none
// is known or this replica leads.
func (c *Controller) leader() (fleet.Host, link.Address, bool) {
	host := c.member.Leader()
	addr, ok := c.address(host)
	return host, addr, ok && host != c.self
}

func (c *Controller) address(host fleet.Host) (link.Address, bool) {
	addr, ok := c.o.Addresses[host]
	return link.Address{Host: host, AddrPort: addr}, ok
}

// progress returns the rollout progress of revision, if this replica leads.
func (c *Controller) progress(now time.Time, revision uint64) *wire.ControlProgressAnswer {
	if _, _, held := c.member.Lease(); !held {
		return &wire.ControlProgressAnswer{}
	}
	c.updateLeading(now) // the tracker may still be that of an earlier term
	index, _ := c.machine.config()
	if index.Revision < revision {
		return &wire.ControlProgressAnswer{Leading: true} // not applied yet, so not in force
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.tracker.Progress(now, revision, c.latestAcceptance(revision))
	return &wire.ControlProgressAnswer{
		Leading: true, InForce: p.InForce, Holding: uint32(p.UpToDate), Waiting: uint32(p.Waiting),
	}
}

// InForce reports whether this replica leads and knows that the change to revision
// is in force: every node has the change or, its copy being stale, refuses keyed
// requests.
func (c *Controller) InForce(revision uint64) bool {
	return c.progress(time.Now(), revision).GetInForce()
}

// latestAcceptance returns the latest time at which revision may have been
// accepted: when this replica applied it or when it began to lead, whichever is
// later.
func (c *Controller) latestAcceptance(revision uint64) time.Time {
	if t, ok := c.machine.appliedAt(revision); ok && t.After(c.tracker.Since) {
		return t
	}
	return c.tracker.Since
}

// Status returns the status of this replica.
func (c *Controller) Status() operator.Status {
	term, expires, held := c.member.Lease()
	index, _ := c.machine.config()
	_, current := c.age()
	s := operator.Status{
		Host: string(c.self), Leader: string(c.member.Leader()), Leading: held, Term: term,
		Revision: index.Revision, Current: current,
	}
	if held {
		s.LeaseUntil = expires
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Nodes = c.tracker.ActiveCount()
	return s
}

// Config returns the latest configuration that this replica has applied.
func (c *Controller) Config() *config.Index {
	x, _ := c.machine.config()
	return x
}

// Dump is the state of a Controller for operators.
type Dump struct {
	Status      operator.Status
	Log         any
	State       any
	Subscribers []watch.Subscriber
	Conditions  []watch.Assessment // of targets that are not healthy; only on the leader
	Plan        *capacity.Status   // only on the leader; otherwise nil
}

// Dump returns a copy of the state, of type Dump.
func (c *Controller) Dump() any {
	d := Dump{Status: c.Status(), Log: c.member.Dump()}
	c.machine.read(func(s *state.Machine) { d.State = s.Dump() })
	if status, ok := c.planStatus(); ok {
		d.Plan = &status
	}
	for _, a := range c.assessments(time.Now()) {
		if a.Condition != watch.Healthy {
			d.Conditions = append(d.Conditions, a)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d.Subscribers = c.tracker.Subscribers()
	return d
}
