package slopes

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/controller"
	"papayarock/io/identity"
	"papayarock/io/link"
)

const (
	certificateTime = time.Hour              // validity of certificates
	leadTimeout     = 15 * time.Second       // for the election of a leader, and for a relay to hold a change
	stopTimeout     = 200 * time.Millisecond // for streams that are open when a server stops
	// inForceDelay is longer than the time for which a leader reports no change as in
	// force after its election, since it does not know all subscribers yet.
	inForceDelay       = 3200 * time.Millisecond
	subscribersTimeout = 30 * time.Second // for all subscribers to become fresh, and to reach a change
)

var errNoLeader = errors.New("no control leader")

// cluster is a set of control voters connected over loopback.
type cluster struct {
	authority   *identity.Authority
	hosts       []fleet.Host
	addresses   map[fleet.Host]netip.AddrPort
	replicas    map[fleet.Host]*controller.Controller
	linkTraffic map[[2]fleet.Host]*traffic // by dialling and dialled host
	dir         string
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	leaderSince time.Time
	changes     int // number of calls of commitChange, part of change ids
	claimSeries int // number of calls of commitRow, part of claim keys
}

// startCluster starts control replicas and waits for a leader.
func startCluster(ctx context.Context, voters int) (*cluster, error) {
	now := time.Now()
	authority, err := identity.NewAuthority(now, now.Add(certificateTime))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "papayarock-slopes-")
	if err != nil {
		return nil, errors.Wrap(err, "data directory")
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &cluster{
		authority: authority, addresses: make(map[fleet.Host]netip.AddrPort),
		replicas: make(map[fleet.Host]*controller.Controller), linkTraffic: make(map[[2]fleet.Host]*traffic),
		dir: dir, cancel: cancel,
	}
	listeners := make(map[fleet.Host]net.Listener)
	for i := range voters {
		h := fleet.Host(fmt.Sprintf("control-%d", i))
		l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			c.stop()
			return nil, errors.Wrap(err, "listen")
		}
		c.hosts, listeners[h] = append(c.hosts, h), l
		c.addresses[h] = netip.MustParseAddrPort(l.Addr().String())
	}
	for _, a := range c.hosts {
		for _, b := range c.hosts {
			c.linkTraffic[[2]fleet.Host{a, b}] = &traffic{}
		}
	}
	for _, h := range c.hosts {
		if err := c.startReplica(ctx, h, listeners[h]); err != nil {
			c.stop()
			return nil, err
		}
	}
	if err := await(ctx, "no control leader", leadTimeout, func() bool { return c.leader() != "" }); err != nil {
		c.stop()
		return nil, err
	}
	c.leaderSince = time.Now()
	return c, nil
}

func (c *cluster) startReplica(ctx context.Context, h fleet.Host, l net.Listener) error {
	id, err := c.issue(h, identity.Control)
	if err != nil {
		return err
	}
	pool := &link.Pool{
		Credentials: id, Roles: []identity.Role{identity.Control},
		Dial: dialCounting(func(a link.Address) *traffic { return c.linkTraffic[[2]fleet.Host{h, a.Host}] }),
	}
	r, err := controller.New(controller.Options{
		Self: h, Voters: c.hosts, Addresses: c.addresses, DataDir: c.dir + "/" + string(h), Links: pool, Log: hclog.NewNullLogger(),
	})
	if err != nil {
		return err
	}
	server := &link.Server{Listener: l, Credentials: id, StopTimeout: stopTimeout}
	r.Register(server)
	c.replicas[h] = r
	c.wg.Go(func() { _ = server.Serve(ctx) })
	c.wg.Go(func() { _ = r.Serve(ctx); pool.Close() })
	return nil
}

// issue issues a certificate for a host.
func (c *cluster) issue(h fleet.Host, role identity.Role) (*identity.Credentials, error) {
	now := time.Now()
	return c.authority.Issue(h, []identity.Role{role}, now, now.Add(certificateTime))
}

func (c *cluster) stop() {
	c.cancel()
	c.wg.Wait()
	_ = os.RemoveAll(c.dir)
}

// leader returns the host of the leader, or "" if there is none.
func (c *cluster) leader() fleet.Host {
	for _, h := range c.hosts {
		if r := c.replicas[h]; r != nil && r.Status().Leading {
			return h
		}
	}
	return ""
}

// relay returns a voter that does not lead. Subscribers can poll it instead of the
// leader.
func (c *cluster) relay() fleet.Host {
	leader := c.leader()
	for _, h := range c.hosts {
		if h != leader {
			return h
		}
	}
	return ""
}

// propose commits a command through the leader.
func (c *cluster) propose(ctx context.Context, command state.Command) (state.Result, error) {
	r := c.replicas[c.leader()]
	if r == nil {
		return nil, errNoLeader
	}
	return r.Propose(ctx, command)
}

// commitChange commits an operator's change and returns its revision.
func (c *cluster) commitChange(ctx context.Context, a state.Action) (uint64, error) {
	leader := c.replicas[c.leader()]
	if leader == nil {
		return 0, errNoLeader
	}
	c.changes++
	r, err := leader.Propose(ctx, state.Change{
		ID: fmt.Sprintf("change-%d", c.changes), Base: leader.Status().Revision, Operator: "measure", Time: time.Now(), Action: a,
	})
	if err != nil {
		return 0, err
	}
	out, ok := r.(state.ChangeResult)
	if !ok || out.Outcome != state.ChangeAccepted {
		return 0, errors.Errorf("change-%d not accepted: %+v", c.changes, r)
	}
	return out.Revision, nil
}

// leaderBytes returns the bytes exchanged so far between the leader and the other
// replicas.
func (c *cluster) leaderBytes() float64 {
	leader := c.leader()
	sum := 0.0
	for pair, t := range c.linkTraffic {
		if pair[0] != pair[1] && (pair[0] == leader || pair[1] == leader) {
			sum += t.bytes()
		}
	}
	return sum
}
