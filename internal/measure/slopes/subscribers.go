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

// entryEvery is how many subscribers there are to each entry: 405 entries and
// 1,100 agents at design scale.
const entryEvery = 4

// loadAge is that of an engine's load in a poll of control.
const loadAge = 100 * time.Millisecond

// nodes are subscribers that poll one control replica.
type nodes struct {
	clients []*subscribe.Client
	pools   []*link.Pool
	traffic traffic
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu   sync.Mutex
	held map[uint64]int // nodes by the revision they have reached
	last map[uint64]time.Time
}

func (c *cluster) subscribe(ctx context.Context, n int, via fleet.Host) (*nodes, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &nodes{cancel: cancel, held: make(map[uint64]int), last: make(map[uint64]time.Time)}
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
			Identity: id, Roles: []identity.Role{identity.Control},
			Dial: dialCounted(func(link.Address) *traffic { return &s.traffic }),
		}
		o := subscribe.Options{
			Links: pool, Host: host, Log: hclog.NewNullLogger(), OnChange: s.note,
			Addresses: []link.Address{{Host: via, AddrPort: c.addresses[via]}},
		}
		if role == identity.Entry {
			o.Demand = demand
		} else {
			sign := watch.AgentStatus{Name: fleet.TargetName(host), Incarnation: 1, Ready: true, Running: 8}
			o.AgentStatus = func() watch.AgentStatus {
				sign.Load = watch.Load{Taken: time.Now().Add(-loadAge), PrefillTokens: 12_345, DecodeTokens: 6789, Waiting: 3}
				return sign
			}
		}
		client := subscribe.New(o)
		s.clients, s.pools = append(s.clients, client), append(s.pools, pool)
		s.wg.Go(func() { _ = client.Serve(ctx) })
	}
	err := await(ctx, "subscribers are not fresh", fleetSetUp, func() bool { return s.fresh() })
	if err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// demand is the report of an entry with 5 models and 2 classes.
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

func (s *nodes) stop() {
	s.cancel()
	for _, p := range s.pools {
		p.Close()
	}
	s.wg.Wait()
}

func (s *nodes) fresh() bool {
	for _, c := range s.clients {
		if !time.Now().Before(time.Unix(0, c.FreshUntilNanos.Load())) {
			return false
		}
	}
	return true
}

func (s *nodes) note(x *config.Index) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[x.Revision]++
	s.last[x.Revision] = now
}

// reached says whether all nodes hold revision, and since when.
func (s *nodes) reached(revision uint64) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[revision], s.held[revision] == len(s.clients)
}

const subscribersTitle = "subscribers polling %s; CPU and memory of both ends; bytes both ways, above TCP"

func (c *cluster) measureAtLeader(ctx context.Context, p plan) (Table, error) {
	_, err := c.change(ctx, state.ReplaceDocument{Document: document(customersToday)})
	if err != nil {
		return Table{Title: "first configuration"}, err
	}
	time.Sleep(time.Until(c.leads.Add(trackerKnows)))
	return c.measureSubscribers(ctx, p, fmt.Sprintf(subscribersTitle, "the leader"), c.leader)
}

func (c *cluster) measureAtRelay(ctx context.Context, p plan) (Table, error) {
	return c.measureSubscribers(ctx, p, fmt.Sprintf(subscribersTitle, "one relay"), c.relay)
}

func (c *cluster) measureSubscribers(ctx context.Context, p plan, title string, via func() fleet.Host) (Table, error) {
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

func (c *cluster) subscriberRow(ctx context.Context, p plan, n int, via fleet.Host) ([]float64, error) {
	before := memory()
	s, err := c.subscribe(ctx, n, via)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	time.Sleep(p.settle)
	size := memory() - before
	bytes, calls, leader, start := s.traffic.bytes(), s.traffic.calls(), c.leaderBytes(), used()
	time.Sleep(p.window)
	cores, seconds := start.cores(), time.Since(start.wall).Seconds()
	bytes, calls, leader = s.traffic.bytes()-bytes, s.traffic.calls()-calls, c.leaderBytes()-leader
	var hold, force samples
	for range p.changes {
		h, f, err := c.timeChange(ctx, s)
		if err != nil {
			return nil, err
		}
		hold.add(h)
		force.add(f)
	}
	per := seconds * float64(n)
	return []float64{
		float64(n), bytes / per, calls / per, cores, size / (1 << 20), leader / seconds,
		hold.millis(50), hold.millis(100), force.millis(50), force.millis(100),
	}, nil
}

// timeChange issues a key and returns the times from its acceptance until all
// nodes hold it and until the leader reports it in force.
func (c *cluster) timeChange(ctx context.Context, s *nodes) (hold, force time.Duration, err error) {
	id := fmt.Sprintf("key-%d", c.changes)
	revision, err := c.change(ctx, state.IssueKey{ID: id, Digest: sha256.Sum256([]byte(id)), Customer: customer(0)})
	if err != nil {
		return 0, 0, err
	}
	accepted := time.Now()
	err = await(ctx, "change is not in force", fleetSetUp, func() bool { return c.replicas[c.leader()].InForce(revision) })
	if err != nil {
		return 0, 0, err
	}
	force = time.Since(accepted)
	err = await(ctx, "change does not reach all nodes", fleetSetUp, func() bool { _, ok := s.reached(revision); return ok })
	at, _ := s.reached(revision)
	return max(at.Sub(accepted), 0), force, err
}

// measureJoin measures nodes that start without a copy of a large
// configuration, all at once.
func (c *cluster) measureJoin(ctx context.Context, p plan) (Table, error) {
	largest := p.sizes[len(p.sizes)-1]
	t := Table{
		Title:   fmt.Sprintf("nodes that start at once and fetch the configuration of %d customers without keys; CPU of both ends", largest),
		Columns: []string{"nodes", "all fresh ms", "CPU ms/node", "B/node"},
	}
	revision, err := c.change(ctx, state.ReplaceDocument{Document: document(largest)})
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
	for _, n := range p.joins {
		start := used()
		s, err := c.subscribe(ctx, n, relay)
		if err != nil {
			return t, err
		}
		now := used()
		t.add(float64(n), millis(now.wall.Sub(start.wall)), millis(now.cpu-start.cpu)/float64(n), s.traffic.bytes()/float64(n))
		s.stop()
	}
	return t, nil
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
