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

// reportTimes reports the minimum, median and maximum of measured times.
func reportTimes(b *testing.B, what string, times []time.Duration) {
	slices.Sort(times)
	for name, t := range map[string]time.Duration{"min": times[0], "p50": times[len(times)/2], "max": times[len(times)-1]} {
		b.ReportMetric(float64(t.Microseconds())/1000, what+"-"+name+"-ms")
	}
	b.ReportMetric(0, "ns/op") // hides the time per iteration, which includes its preparation
}

// BenchmarkFailover measures the time from SIGKILL of the leader to the first
// order of another host that reaches the platform. Orders are pending all the
// time. Run it with -benchtime 20x.
func BenchmarkFailover(b *testing.B) { benchmarkFailover(b, (*cluster).kill) }

// BenchmarkPlannedRestart is BenchmarkFailover with a leader that shuts down
// gracefully.
func BenchmarkPlannedRestart(b *testing.B) { benchmarkFailover(b, (*cluster).stop) }

func benchmarkFailover(b *testing.B, end func(cl *cluster, h fleet.Host)) {
	const targets = 2000
	cl := newCluster(b, time.Hour)
	cl.awaitLeader("")
	l := newLoad(cl)
	l.announce(targets)
	l.repeat(func(i int) bool {
		time.Sleep(30 * time.Millisecond)
		return i < targets && l.replace(i)
	})
	var times []time.Duration
	for b.Loop() {
		leader := fleet.Host(cl.awaitLeader("").Host)
		from := time.Now()
		end(cl, leader)
		times = append(times, cl.firstPlatformCall(from, leader).at.Sub(from))
		cl.start(leader)
		cl.await("the restarted replica", func() bool {
			s, err := cl.status.StatusOf(b.Context(), cl.operators[leader].String())
			return err == nil && s.Current
		})
	}
	l.finish()
	reportTimes(b, "failover", times)
}

// BenchmarkInForce measures the time from the acceptance of a change, as reported
// to the operator, to the report that it is in force, with nodes that poll three
// control processes. Run it with -benchtime 50x.
func BenchmarkInForce(b *testing.B) {
	for _, nodes := range []int{50, 150, 420} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) { benchmarkInForce(b, nodes) })
	}
}

func benchmarkInForce(b *testing.B, nodes int) {
	cl := newCluster(b, time.Hour)
	cl.awaitLeader("")
	l := newLoad(cl)
	var all []*subscribe.Client
	for i := range nodes {
		all = append(all, cl.client(fleet.Host(fmt.Sprintf("n%d", i)), i))
	}
	cl.await("nodes with a fresh copy", func() bool {
		return !slices.ContainsFunc(all, func(c *subscribe.Client) bool { return !c.Fresh(time.Now()) })
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
				return !slices.ContainsFunc(all, func(c *subscribe.Client) bool { return c.Index.Load().Revision < l.revision })
			})
			held = append(held, time.Since(from))
		})
		cl.await("the change in force", func() bool {
			p, err := cl.status.Progress(b.Context(), l.revision)
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

// fill commits changes to the data directories of a cluster that is not started.
func (cl *cluster) fill(changes int) {
	network := &fake.Network{}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	groups := make(map[fleet.Host]*replica.Group)
	for _, h := range cl.hosts {
		g, err := replica.New(replica.Options{
			Self: h, Members: cl.hosts, Dir: cl.data(h), FS: noSyncFS{}, Machine: &stateMachine{t: cl.t, m: state.New()}, Transport: network.Endpoint(h),
		})
		if err != nil {
			cl.t.Fatal(err)
		}
		groups[h] = g
		network.Connect(h, g.Deliver)
		wg.Go(func() { _ = g.Serve(ctx) })
	}
	leader := cl.hosts[0]
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
			cl.t.Fatalf("change %d: %+v, %v", i, v, err)
		}
		revision = v.(state.ChangeResult).Revision
	}
	for _, h := range cl.hosts {
		cl.await("the last change at "+string(h), func() bool { return groups[h].Read(ctx) == nil })
	}
}

// fillAction is the i-th change of fill. About 1,000 keys remain.
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

// BenchmarkRestart measures, after 100,000 changes, the time from the start of
// one process until it has a confirmed copy of the leader's configuration, and
// from the start of all three until one leads. Run it with -benchtime 10x.
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
			s, err := cl.status.StatusOf(b.Context(), cl.operators[h].String())
			return err == nil && s.Current && s.Revision >= leading.Revision
		})
		one = append(one, time.Since(from))
	}
	reportTimes(b, "group", group)
	reportTimes(b, "one", one)
}
