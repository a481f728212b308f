package faulttest_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/internal/fake"
	"papayarock/io/disk"
	"papayarock/io/replica"
	"papayarock/io/subscribe"
	"papayarock/io/wire"
)

// reportTimes reports the minimum, median and maximum of measured times as metrics
// whose names begin with prefix.
func reportTimes(b *testing.B, prefix string, times []time.Duration) {
	slices.Sort(times)
	for name, t := range map[string]time.Duration{"min": times[0], "p50": times[len(times)/2], "max": times[len(times)-1]} {
		b.ReportMetric(float64(t.Microseconds())/1000, prefix+"-"+name+"-ms")
	}
	b.ReportMetric(0, "ns/op") // removes the default metric, which includes the preparation of each iteration
}

// BenchmarkFailover measures how long the platform gets no orders after SIGKILL of
// the leader: the time until the first order of another host reaches it. Orders are
// pending all the time. Run it with -benchtime 20x.
func BenchmarkFailover(b *testing.B) { benchmarkFailover(b, (*cluster).kill) }

// BenchmarkPlannedRestart measures the same as BenchmarkFailover for a leader that
// shuts down gracefully.
func BenchmarkPlannedRestart(b *testing.B) { benchmarkFailover(b, (*cluster).stop) }

func benchmarkFailover(b *testing.B, end func(cl *cluster, h fleet.Host)) {
	const targets = 2000
	cl := newCluster(b, time.Hour)
	cl.awaitLeader("")
	l := newLoad(cl)
	l.announce(targets)
	l.repeat(func(i int) bool {
		time.Sleep(30 * time.Millisecond)
		return i < targets && l.replaceTarget(i)
	})
	var times []time.Duration
	for b.Loop() {
		leader := fleet.Host(cl.awaitLeader("").Host)
		from := time.Now()
		end(cl, leader)
		times = append(times, cl.awaitPlatformCall(from, leader).at.Sub(from))
		cl.start(leader)
		cl.await("the restarted replica", func() bool {
			s, err := cl.operatorClient.StatusOf(b.Context(), cl.operatorAddresses[leader].String())
			return err == nil && s.Current
		})
	}
	l.finish()
	reportTimes(b, "failover", times)
}

// BenchmarkInForce measures the propagation of a change to nodes that poll three
// control replicas. Run it with -benchtime 50x. Its metrics are
//   - accepted-twice, the time in which a change is accepted and, submitted again
//     through a second node, gets the same result;
//   - in-force, the time from then until the control replicas report that no node
//     serves an earlier revision any more;
//   - held, the time from then until all nodes have received the change.
func BenchmarkInForce(b *testing.B) {
	for _, nodes := range []int{50, 150, 420} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) { benchmarkInForce(b, nodes) })
	}
}

func benchmarkInForce(b *testing.B, nodes int) {
	cl := newCluster(b, time.Hour)
	cl.awaitLeader("")
	l := newLoad(cl)
	var clients []*subscribe.Client
	for i := range nodes {
		clients = append(clients, cl.client(fleet.Host(fmt.Sprintf("n%d", i)), i))
	}
	cl.await("nodes with a fresh copy", func() bool {
		return !slices.ContainsFunc(clients, func(c *subscribe.Client) bool { return !c.Fresh(time.Now()) })
	})
	var accepted, inForce, held []time.Duration
	for i := 0; b.Loop(); i++ {
		key := fmt.Sprintf("k%d", i)
		start := time.Now()
		if !l.change(key, state.IssueKey{ID: key, Digest: sha256.Sum256([]byte(key)), Customer: "klang"}) {
			b.FailNow()
		}
		from := time.Now()
		accepted = append(accepted, from.Sub(start))
		var wg sync.WaitGroup
		wg.Go(func() {
			cl.await("all nodes at the revision", func() bool {
				return !slices.ContainsFunc(clients, func(c *subscribe.Client) bool { return c.Config.Load().Revision < l.revision })
			})
			held = append(held, time.Since(from))
		})
		cl.await("the change in force", func() bool {
			p, err := cl.operatorClient.Progress(b.Context(), l.revision)
			return err == nil && p.InForce
		})
		inForce = append(inForce, time.Since(from))
		wg.Wait()
	}
	reportTimes(b, "accepted-twice", accepted)
	reportTimes(b, "in-force", inForce)
	reportTimes(b, "held", held)
}

// noSyncFS is the operating system's file system without syncs, to prepare data
// directories faster.
type noSyncFS struct{ disk.OS }

type noSyncFile struct{ disk.File }

func (noSyncFile) Sync() error { return nil }

func (f noSyncFS) Create(name string) (disk.File, error) {
	file, err := f.OS.Create(name)
	return noSyncFile{file}, err
}

func (noSyncFS) SyncDir(string) error { return nil }

// fill commits changes to the data directories of a cluster that is not started. It
// runs the replicas in this process, without syncs.
func (cl *cluster) fill(changes int) {
	network := &fake.Network{}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	groups := make(map[fleet.Host]*replica.Member)
	for _, h := range cl.hosts {
		g, err := replica.New(replica.Options{
			Self: h, InitialVoters: cl.hosts, DataDir: cl.dataDir(h), FS: noSyncFS{}, StateMachine: &stateMachine{t: cl.t, m: state.New()}, Transport: network.Endpoint(h),
		})
		if err != nil {
			cl.t.Fatal(err)
		}
		groups[h] = g
		network.Connect(h, g.Deliver)
		wg.Go(func() { _ = g.Serve(ctx) })
	}
	leader := cl.hosts[0] // each replica is asked in turn until one holds the lease
	cl.await("a leader", func() bool {
		_, _, held := groups[leader].Lease()
		if !held {
			leader = cl.hosts[(slices.Index(cl.hosts, leader)+1)%len(cl.hosts)]
		}
		return held
	})
	var revision uint64
	for i := range changes {
		c := state.Change{ID: fmt.Sprintf("change-%d", i), Base: revision, Operator: "ana", Time: time.Now(), Action: fillAction(i)}
		command, err := wire.EncodeCommand(c)
		if err != nil {
			cl.t.Fatal(err)
		}
		v, err := groups[leader].Propose(ctx, command)
		if x, ok := v.(state.ChangeResult); err != nil || !ok || x.Outcome != state.ChangeAccepted {
			cl.t.Fatalf("change %d: got %+v, error %v, want it accepted", i, v, err)
		}
		revision = v.(state.ChangeResult).Revision
	}
	for _, h := range cl.hosts {
		cl.await("the last change at "+string(h), func() bool { return groups[h].ReadBarrier(ctx) == nil })
	}
}

// fillAction returns the action of the i-th change of fill. After 2,001 issued keys,
// an old key is withdrawn for each new one, so that about 2,000 keys remain.
func fillAction(i int) state.Action {
	const remaining = 1000
	key := func(n int) string { return fmt.Sprintf("k%d", n) }
	switch n := i / 2; {
	case i == 0:
		return state.ReplaceDocument{Document: config.Document{Customers: []config.Customer{{Name: "klang", Weight: 1}}}}
	case i%2 == 1 || n <= remaining:
		return state.IssueKey{ID: key(i), Digest: sha256.Sum256([]byte(key(i))), Customer: "klang"}
	default:
		return state.WithdrawKey{ID: key(2*(n-remaining) - 1)}
	}
}

// BenchmarkRestart measures restarts after 100,000 changes. Run it with
// -benchtime 10x. Its metrics are
//   - group, the time from the start of all three processes until one leads;
//   - one, the time from the start of a single process until its configuration is
//     confirmed to be current.
func BenchmarkRestart(b *testing.B) {
	cl := prepareCluster(b, time.Hour)
	cl.fill(100_000)
	var group, one []time.Duration
	for b.Loop() {
		cl.killAll()
		from := time.Now()
		for _, h := range cl.hosts {
			cl.start(h)
		}
		leading := cl.awaitLeader("")
		group = append(group, time.Since(from))
		h := cl.hosts[0]
		if fleet.Host(leading.Host) == h {
			h = cl.hosts[1]
		}
		cl.kill(h)
		from = time.Now()
		cl.start(h)
		cl.await("a current copy", func() bool {
			s, err := cl.operatorClient.StatusOf(b.Context(), cl.operatorAddresses[h].String())
			return err == nil && s.Current && s.Revision >= leading.Revision
		})
		one = append(one, time.Since(from))
	}
	reportTimes(b, "group", group)
	reportTimes(b, "one", one)
}
