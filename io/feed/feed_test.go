package feed_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/roster"
	"papayarock/io/feed"
	"papayarock/io/identity"
	"papayarock/io/link"
	"papayarock/io/wire"
)

// replica is a fake registry replica. On each stream, it calls update every 20 ms and
// sends the result.
type replica struct {
	address netip.AddrPort
	stop    func()
	mu      sync.Mutex
	opens   int
	reports int
	update  func() *wire.FeedUpdate
}

func newReplica(t *testing.T, update func() *wire.FeedUpdate) *replica {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &replica{address: l.Addr().(*net.TCPAddr).AddrPort(), update: update}
	s := &link.Server{Listener: l, StopTimeout: time.Millisecond}
	link.Handle(s, func(ctx context.Context, st *link.Stream, _ *wire.FeedOpen) {
		r.increment(&r.opens)
		var receiving sync.WaitGroup
		defer receiving.Wait()
		ctx, cancel := context.WithCancel(ctx)
		st.SetContext(ctx)
		defer cancel()
		receiving.Go(func() {
			defer cancel()
			for st.Receive(&wire.FeedReport{}) == nil {
				r.increment(&r.reports)
			}
		})
		for ctx.Err() == nil && st.Send(r.update()) == nil {
			time.Sleep(20 * time.Millisecond)
		}
	}, identity.Entry)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx) }()
	r.stop = sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(r.stop)
	return r
}

func (r *replica) increment(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

func (r *replica) read(n *int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *n
}

func waitFor(t *testing.T, condition string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if met() {
			return
		}
	}
	t.Fatalf("%s: not within 20 s", condition)
}

func serve(t *testing.T, o feed.Options) *feed.Client {
	t.Helper()
	if o.CatalogVersion == nil {
		o.CatalogVersion = func() uint64 { return 0 }
	}
	if o.OnCatalog == nil {
		o.OnCatalog = func(uint64, []byte) {}
	}
	if o.OnTargets == nil {
		o.OnTargets = func([]roster.Record, int) {}
	}
	o.Host, o.Log = "gateway-1", hclog.NewNullLogger()
	o.NewLinkPool = func() *link.Pool { return &link.Pool{} }
	o.UsageCounts = func() []*wire.FeedCount { return []*wire.FeedCount{{Window: 1, Customer: "klang", Count: 2}} }
	c := feed.New(o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = c.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

// Guards against feeds that end with the stream on which their replica was named: a
// replica learned from another one must stay connected when the other one is lost.
func TestLearnedReplicasStayConnected(t *testing.T) {
	is := is.New(t)
	second := newReplica(t, func() *wire.FeedUpdate { return &wire.FeedUpdate{} })
	first := newReplica(t, func() *wire.FeedUpdate {
		return &wire.FeedUpdate{Members: []string{second.address.String()}}
	})
	c := serve(t, feed.Options{Seeds: []netip.AddrPort{first.address}})
	waitFor(t, "two feeds", func() bool { return c.Connected() == 2 })
	first.stop()
	waitFor(t, "the first feed is lost", func() bool { return c.Connected() == 1 })
	reports := second.read(&second.reports)
	waitFor(t, "reports go on", func() bool { return second.read(&second.reports) > reports+1 })
	is.Equal(second.read(&second.opens), 1)
}

// Guards against members that are gone and take up all feeds: a replica that is new then was
// ignored for good, and with the last of the known ones the client lost the registry.
func TestDeadMembersDoNotKeepOutNewOnes(t *testing.T) {
	for name, seeds := range map[string]int{"one seed": 1, "dead seeds": 3} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			second := newReplica(t, func() *wire.FeedUpdate { return &wire.FeedUpdate{} })
			var members []string
			for i := range 100 {
				members = append(members, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, byte(i + 1)}), 1).String()) // refuses connections
			}
			members = append(members, second.address.String())
			first := newReplica(t, func() *wire.FeedUpdate { return &wire.FeedUpdate{Members: members} })
			o := feed.Options{Seeds: []netip.AddrPort{first.address}}
			for i := range seeds - 1 {
				o.Seeds = append(o.Seeds, netip.MustParseAddrPort(members[i]))
			}
			c := serve(t, o)
			waitFor(t, "the new replica is connected", func() bool { return c.Connected() == 2 })
			first.stop()
			waitFor(t, "the first feed is lost", func() bool { return c.Connected() == 1 })
			is.Equal(second.read(&second.opens), 1)
		})
	}
}

// Guards against a client that keeps a stream on which the replica has stopped sending
// although the connection stays open.
func TestSilentFeed(t *testing.T) {
	var silent sync.WaitGroup
	silent.Add(1)
	defer silent.Done()
	calls := 0
	r := newReplica(t, nil)
	r.update = func() *wire.FeedUpdate {
		r.mu.Lock()
		calls++
		pause := calls == 2
		r.mu.Unlock()
		if pause {
			time.Sleep(3 * time.Second) // longer than the idle timeout of the client
		}
		return &wire.FeedUpdate{}
	}
	c := serve(t, feed.Options{Seeds: []netip.AddrPort{r.address}})
	waitFor(t, "another feed", func() bool { return r.read(&r.opens) > 1 && c.Connected() == 1 })
}

// Guards against targets and documents that do not reach the callbacks, against an
// invalid target that makes the client drop the valid ones, and against replaced seeds
// without effect.
func TestUpdate(t *testing.T) {
	is := is.New(t)
	valid := &wire.FeedTarget{Target: "t1", Pool: "orders", Address: "10.0.0.1:80", Condition: uint32(roster.Draining), AgeMs: 100}
	r := newReplica(t, func() *wire.FeedUpdate {
		return &wire.FeedUpdate{
			Version: 4, Document: []byte("document"), Gateways: 3,
			Targets: []*wire.FeedTarget{{Target: "bad", Address: "nowhere"}, {Target: "bad", Condition: 99}, valid},
		}
	})
	var mu sync.Mutex
	var got []roster.Record
	var version uint64
	c := serve(t, feed.Options{
		OnCatalog: func(v uint64, d []byte) {
			mu.Lock()
			defer mu.Unlock()
			is.Equal(string(d), "document")
			version = v
		},
		OnTargets: func(records []roster.Record, gateways int) {
			mu.Lock()
			defer mu.Unlock()
			is.Equal(gateways, 3)
			got = records
		},
	})
	c.SetSeeds([]netip.AddrPort{r.address})
	waitFor(t, "an update", func() bool { mu.Lock(); defer mu.Unlock(); return version == 4 && len(got) > 0 })
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(got), 1)
	is.Equal(got[0].Target, fleet.TargetName("t1"))
	is.Equal(got[0].Condition, roster.Draining)
}
