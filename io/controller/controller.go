package controller

import (
	"context"
	"io"
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
	// forgetAfter is how long a silent subscriber is remembered. It is longer
	// than a target needs to be taken for lost.
	forgetAfter = 30 * time.Second
	// maxDemand bounds the demand reports kept for the planner.
	maxDemand = 10_000
	// maxDone bounds the ended actions that wait for the lead loop.
	maxDone = 1024
)

// Options configure a Controller.
type Options struct {
	Self        fleet.Host
	Voters      []fleet.Host                  // first voters of a new group; empty on a host that joins
	Addresses   map[fleet.Host]netip.AddrPort // link addresses of all control replicas
	Operators   map[fleet.Host]netip.AddrPort // operator addresses, as far as known
	Data        string                        // data directory
	Links       *link.Pool
	Log         hclog.Logger
	Platform    *url.URL      // orders targets; nil means that none are started or stopped
	Usage       *url.URL      // takes usage reports; nil means that none are sent
	UsageWindow time.Duration // length of a usage window; 0 means that none is sealed
}

// Controller is one control replica. Use New.
type Controller struct {
	o        Options
	self     fleet.Host
	log      hclog.Logger
	links    *link.Pool
	machine  *machine
	group    *replica.Group
	send     *logstream.Transport
	platform *platform
	usage    *platform
	actions  sync.WaitGroup
	failedBy atomic.Pointer[time.Time] // deadline of the last external action without an answer
	done     chan dispatch.Key
	whole    encoded

	mu       sync.Mutex
	tracker  watch.Tracker
	sender   watch.Sender                   // of reports, of a replica that does not lead
	relays   map[fleet.Host]*watch.Receiver // of reports, of the leader
	copy     watch.Copy                     // of a replica that does not lead
	leading  uint64                         // term this replica leads, as far as the tracker goes
	reports  []capacity.Report              // of demand, not yet passed on or taken in
	entries  capacity.Demand                // of the entries that poll this replica, unless it leads
	demanded time.Time                      // when their sums were last sent to a leader
	board    summary.LoadTable
	summed   time.Time // when summaries were last sent to a leader
	health   watch.Health
	contacts []watch.Contact // not yet passed on

	planning sync.Mutex // guards term and demand; never taken with mu held
	term     *capacity.Term
	demand   capacity.Demand
}

// New opens the data directory. Serve runs the replica.
func New(o Options) (*Controller, error) {
	c := &Controller{
		o: o, self: o.Self, log: o.Log, links: o.Links, machine: newMachine(),
		done: make(chan dispatch.Key, maxDone),
	}
	c.sender.Run = uint64(time.Now().UnixNano())
	c.send = &logstream.Transport{Self: o.Self, Links: o.Links, Address: c.address, Log: o.Log}
	if o.Platform != nil {
		c.platform = &platform{base: o.Platform, client: boundedClient(), host: o.Self}
	}
	if o.Usage != nil {
		c.usage = &platform{base: o.Usage, client: boundedClient(), host: o.Self}
	}
	var err error
	c.group, err = replica.New(replica.Options{
		Self: o.Self, Members: o.Voters, Dir: o.Data, Machine: c.machine, Transport: c.send, Log: o.Log.Named("log"),
	})
	return c, err
}

// Serve runs the replica until ctx ends or its storage fails.
func (c *Controller) Serve(ctx context.Context) error {
	// The log runs on while a leader that stops ends its actions and hands over.
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	c.send.Start(running)
	defer c.send.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	failed := make(chan error, 1)
	leading, stop := context.WithCancel(ctx)
	defer stop()
	wg.Go(func() { failed <- c.group.Serve(running); stop() })
	wg.Go(func() { _ = c.confirmLoop(running) })
	c.leadLoop(leading, running)
	if ctx.Err() != nil {
		c.handOver(running)
	}
	cancel()
	c.actions.Wait()
	return <-failed
}

// Register adds the calls that this replica serves to a link server.
func (c *Controller) Register(s *link.Server) {
	all := []identity.Role{identity.Entry, identity.Agent, identity.Control, identity.Operator}
	link.Handle(s, func(ctx context.Context, st *link.Stream, m *wire.ControlPoll) {
		c.ended(st, c.poll(ctx, st, hostOf(st.Peer, m.GetSelf().GetHost()), m))
	}, all...)
	link.Handle(s, func(ctx context.Context, st *link.Stream, m *wire.ControlSubmit) {
		c.ended(st, c.submit(ctx, st, st.Peer, m))
	}, all...)
	link.Handle(s, func(_ context.Context, st *link.Stream, m *wire.ControlLogStream) {
		c.ended(st, logstream.Receive(st, hostOf(st.Peer, m.GetFrom()), c.group.Deliver))
	}, identity.Control)
	link.Handle(s, func(_ context.Context, st *link.Stream, m *wire.ControlConfirm) {
		c.ended(st, c.confirmed(st, hostOf(st.Peer, m.GetSelf().GetHost()), m))
	}, identity.Control)
	link.Handle(s, func(_ context.Context, st *link.Stream, m *wire.ControlProgress) {
		c.ended(st, st.Send(c.progress(time.Now(), m.GetRevision())))
	}, identity.Control)
}

// hostOf returns the host that a peer has proved to be. Over plain TCP it is the
// one the peer claims to be.
func hostOf(p link.Peer, claimed string) fleet.Host {
	if p.Plain {
		return fleet.Host(claimed)
	}
	return p.Host
}

func (c *Controller) ended(s *link.Stream, err error) {
	if err != nil && !errors.Is(err, io.EOF) {
		c.log.Debug("call ended", "peer", s.Peer.Address, "error", err)
	}
}

// leader returns the known leader and its link address.
func (c *Controller) leader() (fleet.Host, link.Address, bool) {
	host := c.group.Leader()
	addr, ok := c.address(host)
	return host, addr, ok && host != c.self
}

func (c *Controller) address(host fleet.Host) (link.Address, bool) {
	addr, ok := c.o.Addresses[host]
	return link.Address{Host: host, AddrPort: addr}, ok
}

// progress says how far the change to revision has come, if this replica leads.
func (c *Controller) progress(now time.Time, revision uint64) *wire.ControlProgressAnswer {
	if _, _, held := c.group.Lease(); !held {
		return &wire.ControlProgressAnswer{}
	}
	c.lead(now) // the tracker may still be that of an earlier term
	index, _ := c.machine.config()
	if index.Revision < revision {
		return &wire.ControlProgressAnswer{Leading: true}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.tracker.Progress(now, revision, c.accepted(revision))
	return &wire.ControlProgressAnswer{
		Leading: true, InForce: p.InForce, Holding: uint32(p.UpToDate), Waiting: uint32(p.Waiting),
	}
}

// InForce says whether this replica leads and knows the change to revision to
// be in force.
func (c *Controller) InForce(revision uint64) bool {
	return c.progress(time.Now(), revision).GetInForce()
}

// accepted returns the latest time at which revision may have been accepted:
// when this replica saw it, or when it began to lead.
func (c *Controller) accepted(revision uint64) time.Time {
	if t, ok := c.machine.seen(revision); ok && t.After(c.tracker.Since) {
		return t
	}
	return c.tracker.Since
}

// Status returns a copy of the state.
func (c *Controller) Status() operator.Status {
	term, expires, held := c.group.Lease()
	index, _ := c.machine.config()
	_, current := c.age(time.Now())
	s := operator.Status{
		Host: string(c.self), Leader: string(c.group.Leader()), Leading: held, Term: term,
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

// Index returns the newest configuration this replica has applied.
func (c *Controller) Index() *config.Index {
	x, _ := c.machine.config()
	return x
}

// Dump is the state of a Controller for operators.
type Dump struct {
	Status      operator.Status
	Log         any
	State       any
	Subscribers []watch.Subscriber
	Conditions  []watch.Judgement // of the leader's targets, unless well
	Plan        *capacity.Status  // of the leader; nil on another replica
}

// Dump returns a copy of the state, of type Dump.
func (c *Controller) Dump() any {
	d := Dump{Status: c.Status(), Log: c.group.Dump()}
	c.machine.read(func(s *state.Machine) { d.State = s.Dump() })
	if shown, ok := c.shown(); ok {
		d.Plan = &shown
	}
	for _, j := range c.judge(time.Now()) {
		if j.Condition != watch.Healthy {
			d.Conditions = append(d.Conditions, j)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d.Subscribers = c.tracker.Subscribers()
	return d
}
