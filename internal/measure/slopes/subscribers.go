package slopes

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/core/watch"
	"papayarock/io/identity"
	"papayarock/io/link"
	"papayarock/io/subscribe"
)

// entryEvery makes each entryEvery-th subscriber an entry and the others agents. At
// design scale there are 405 entries and 1,100 agents.
const entryEvery = 4

// loadAge is the age of an engine's load sample when it is sent to control.
const loadAge = 100 * time.Millisecond

// subscriberGroup is a set of nodes that poll one control replica.
type subscriberGroup struct {
	clients []*subscribe.Client
	pools   []*link.Pool
	traffic traffic
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu              sync.Mutex
	nodesAtRevision map[uint64]int       // number of nodes that have reached a revision
	lastReached     map[uint64]time.Time // when the last node so far reached a revision
}

// subscribe starts n nodes that poll the control replica via, and waits until all of
// them have a fresh configuration.
func (c *cluster) subscribe(ctx context.Context, n int, via fleet.Host) (*subscriberGroup, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &subscriberGroup{cancel: cancel, nodesAtRevision: make(map[uint64]int), lastReached: make(map[uint64]time.Time)}
	for i := range n {
		role := identity.Agent
		if i%entryEvery == 0 {
			role = identity.Entry
		}
		host := fleet.Host(fmt.Sprintf("%s-%04d", role, i))
		id, err := c.issue(host, role)
		if err != nil {
			s.stop()
			return nil, err
		}
		pool := &link.Pool{
			Credentials: id, Roles: []identity.Role{identity.Control},
			Dial: dialCounting(func(link.Address) *traffic { return &s.traffic }),
		}
		o := subscribe.Options{
			Links: pool, Host: host, Log: hclog.NewNullLogger(), OnChange: s.recordRevision,
			Addresses: []link.Address{{Host: via, AddrPort: c.addresses[via]}},
		}
		if role == identity.Entry {
			o.Demand = demand
		} else {
			status := watch.AgentStatus{Name: fleet.TargetName(host), Incarnation: 1, Ready: true, Running: 8}
			o.AgentStatus = func() watch.AgentStatus {
				status.Load = watch.Load{Taken: time.Now().Add(-loadAge), PrefillTokens: 12_345, DecodeTokens: 6789, Waiting: 3}
				return status
			}
		}
		client := subscribe.New(o)
		s.clients, s.pools = append(s.clients, client), append(s.pools, pool)
		s.wg.Go(func() { _ = client.Serve(ctx) })
	}
	err := await(ctx, "subscribers are not fresh", subscribersTimeout, func() bool { return s.allFresh() })
	if err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// demand returns the demand that an entry with 5 models and 2 classes reports to
// control.
func demand() []subscribe.Demand {
	out := make([]subscribe.Demand, 0, 10)
	for i := range 10 {
		out = append(out, subscribe.Demand{
			Pool: fmt.Sprintf("model-%d", i/2), DataCentre: "data-centre-1", Class: fleet.Class(i % 2),
			PromptTokens: 12_345, OutputTokens: 6789, Period: 500 * time.Millisecond,
		})
	}
	return out
}

func (s *subscriberGroup) stop() {
	s.cancel()
	for _, p := range s.pools {
		p.Close()
	}
	s.wg.Wait()
}

func (s *subscriberGroup) allFresh() bool {
	for _, c := range s.clients {
		if !time.Now().Before(time.Unix(0, c.FreshUntilNanos.Load())) {
			return false
		}
	}
	return true
}

// recordRevision records that a node has reached the revision of x.
func (s *subscriberGroup) recordRevision(x *config.Index) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodesAtRevision[x.Revision]++
	s.lastReached[x.Revision] = now
}

// allReached returns when the last node so far reached a revision, and whether all
// nodes have.
func (s *subscriberGroup) allReached(revision uint64) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastReached[revision], s.nodesAtRevision[revision] == len(s.clients)
}

const subscribersTitle = "subscribers polling %s; CPU and memory of both ends; bytes both ways, above TCP"

// measureAtLeader measures nodes that poll the leader. It commits the first
// configuration of the cluster.
func (c *cluster) measureAtLeader(ctx context.Context, p parameters) (Table, error) {
	_, err := c.commitChange(ctx, state.ReplaceDocument{Document: document(customersToday)})
	if err != nil {
		return Table{Title: "first configuration"}, err
	}
	time.Sleep(time.Until(c.leaderSince.Add(inForceDelay)))
	return c.measureSubscribers(ctx, p, fmt.Sprintf(subscribersTitle, "the leader"), c.leader)
}

// measureAtRelay measures nodes that poll a replica other than the leader.
func (c *cluster) measureAtRelay(ctx context.Context, p parameters) (Table, error) {
	return c.measureSubscribers(ctx, p, fmt.Sprintf(subscribersTitle, "one relay"), c.relay)
}

// measureSubscribers measures nodes that poll the replica via, by their number.
func (c *cluster) measureSubscribers(ctx context.Context, p parameters, title string, via func() fleet.Host) (Table, error) {
	t := Table{
		Title: title,
		Columns: []string{"nodes", "B/s/node", "reads+writes/s/node", "cores", "MiB", "leader-replicas B/s",
			"all hold p50 ms", "all hold max ms", "in force p50 ms", "in force max ms"},
	}
	for _, n := range p.nodes {
		row, err := c.subscriberRow(ctx, p, n, via())
		if err != nil {
			return t, err
		}
		t.add(row...)
	}
	return t, nil
}

// subscriberRow returns the row of n nodes: traffic, CPU time and memory while nothing
// changes, then the times until changes reach them.
func (c *cluster) subscriberRow(ctx context.Context, p parameters, n int, via fleet.Host) ([]float64, error) {
	before := memory()
	s, err := c.subscribe(ctx, n, via)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	time.Sleep(p.settle)
	size := memory() - before
	bytes, calls, leader, start := s.traffic.bytes(), s.traffic.calls(), c.leaderBytes(), currentUsage()
	time.Sleep(p.window)
	cores, seconds := start.cores(), time.Since(start.wall).Seconds()
	bytes, calls, leader = s.traffic.bytes()-bytes, s.traffic.calls()-calls, c.leaderBytes()-leader
	var allHold, inForce samples
	for range p.changes {
		h, f, err := c.measureChange(ctx, s)
		if err != nil {
			return nil, err
		}
		allHold.add(h)
		inForce.add(f)
	}
	nodeSeconds := seconds * float64(n)
	return []float64{
		float64(n), bytes / nodeSeconds, calls / nodeSeconds, cores, size / (1 << 20), leader / seconds,
		allHold.millis(50), allHold.millis(100), inForce.millis(50), inForce.millis(100),
	}, nil
}

// measureChange issues a key and returns the times from its commit until all nodes
// hold it and until the leader reports it in force.
func (c *cluster) measureChange(ctx context.Context, s *subscriberGroup) (allHold, inForce time.Duration, err error) {
	id := fmt.Sprintf("key-%d", c.changes)
	revision, err := c.commitChange(ctx, state.IssueKey{ID: id, Digest: sha256.Sum256([]byte(id)), Customer: customer(0)})
	if err != nil {
		return 0, 0, err
	}
	accepted := time.Now()
	err = await(ctx, "change is not in force", subscribersTimeout, func() bool { return c.replicas[c.leader()].InForce(revision) })
	if err != nil {
		return 0, 0, err
	}
	inForce = time.Since(accepted)
	err = await(ctx, "change does not reach all nodes", subscribersTimeout, func() bool { _, ok := s.allReached(revision); return ok })
	at, _ := s.allReached(revision)
	return max(at.Sub(accepted), 0), inForce, err
}

// measureJoin measures nodes that start at the same time and fetch the largest
// configuration from one relay.
func (c *cluster) measureJoin(ctx context.Context, p parameters) (Table, error) {
	largest := p.customers[len(p.customers)-1]
	t := Table{
		Title:   fmt.Sprintf("nodes that start at once and fetch the configuration of %d customers without keys; CPU of both ends", largest),
		Columns: []string{"nodes", "all fresh ms", "CPU ms/node", "B/node"},
	}
	revision, err := c.commitChange(ctx, state.ReplaceDocument{Document: document(largest)})
	if err != nil {
		return t, err
	}
	relay := c.relay()
	err = await(ctx, "relay does not hold the configuration", leadTimeout, func() bool {
		return c.replicas[relay].Status().Revision >= revision
	})
	if err != nil {
		return t, err
	}
	for _, n := range p.joiningNodes {
		start := currentUsage()
		s, err := c.subscribe(ctx, n, relay)
		if err != nil {
			return t, err
		}
		now := currentUsage()
		t.add(float64(n), millis(now.wall.Sub(start.wall)), millis(now.cpu-start.cpu)/float64(n), s.traffic.bytes()/float64(n))
		s.stop()
	}
	return t, nil
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
