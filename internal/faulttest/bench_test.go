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

// reportTimes reports the median and the extremes of measured times.
func reportTimes(b *testing.B, what string, times []time.Duration) {
	slices.Sort(times)
	for name, t := range map[string]time.Duration{"min": times[0], "p50": times[len(times)/2], "max": times[len(times)-1]} {
		b.ReportMetric(float64(t.Microseconds())/1000, what+"-"+name+"-ms")
	}
	b.ReportMetric(0, "ns/op") // hides the time with the preparation of each step
}

// BenchmarkFailover measures the time from SIGKILL of the leader to the first
// order of another host that reaches the platform. Orders are always due. Run
// it with -benchtime 20x.
func BenchmarkFailover(b *testing.B) { benchmarkFailover(b, (*rig).kill) }

// BenchmarkPlannedRestart is BenchmarkFailover with a leader that is told to
// stop.
func BenchmarkPlannedRestart(b *testing.B) { benchmarkFailover(b, (*rig).stop) }

func benchmarkFailover(b *testing.B, end func(r *rig, h fleet.Host)) {
	const targets = 2000
	r := newRig(b, time.Hour)
	r.awaitLeader("")
	l := newLoad(r)
	l.announce(targets)
	l.repeat(func(i int) bool {
		time.Sleep(30 * time.Millisecond)
		return i < targets && l.replace(i)
	})
	var times []time.Duration
	for b.Loop() {
		leader := fleet.Host(r.awaitLeader("").Host)
		from := time.Now()
		end(r, leader)
		times = append(times, r.firstAct(from, leader).at.Sub(from))
		r.start(leader)
		r.await("the restarted replica", func() bool {
			s, err := r.status.StatusOf(b.Context(), r.operators[leader].String())
			return err == nil && s.Current
		})
	}
	l.end()
	reportTimes(b, "failover", times)
}

// BenchmarkInForce measures the time from the acceptance of a change, as the
// operator is told, to the answer that it is in force, with nodes that poll
// three control processes. Run it with -benchtime 50x.
func BenchmarkInForce(b *testing.B) {
	for _, nodes := range []int{50, 150, 420} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) { benchmarkInForce(b, nodes) })
	}
}

func benchmarkInForce(b *testing.B, nodes int) {
	r := newRig(b, time.Hour)
	r.awaitLeader("")
	l := newLoad(r)
	var all []*subscribe.Client
	for i := range nodes {
		all = append(all, r.client(fleet.Host(fmt.Sprintf("n%d", i)), i))
	}
	r.await("nodes with a fresh copy", func() bool {
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
			r.await("all nodes at the revision", func() bool {
				return !slices.ContainsFunc(all, func(c *subscribe.Client) bool { return c.Index.Load().Revision < l.revision })
			})
			held = append(held, time.Since(from))
		})
		r.await("the change in force", func() bool {
			p, err := r.status.Progress(b.Context(), l.revision)
			return err == nil && p.InForce
		})
		inForce = append(inForce, time.Since(from))
		wg.Wait()
	}
	reportTimes(b, "accepted-twice", accepted)
	reportTimes(b, "in-force", inForce)
	reportTimes(b, "held", held)
}

// unsynced is the file system of the machine without syncs. It only serves to
// prepare a data directory faster.
type unsynced struct{ disk.OS }

type unsyncedFile struct{ disk.File }

func (unsyncedFile) Sync() error { return nil }

func (f unsynced) Create(name string) (disk.File, error) {
	file, err := f.OS.Create(name)
	return unsyncedFile{file}, err
}

func (unsynced) SyncDir(string) error { return nil }

// fill commits changes to the data directories of a rig that is not started.
func (r *rig) fill(changes int) {
	network := &fake.Network{}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	groups := make(map[fleet.Host]*replica.Group)
	for _, h := range r.hosts {
		g, err := replica.New(replica.Options{
			Self: h, Members: r.hosts, Dir: r.data(h), FS: unsynced{}, Machine: &machine{t: r.t, m: state.New()}, Transport: network.Endpoint(h),
		})
		if err != nil {
			r.t.Fatal(err)
		}
		groups[h] = g
		network.Connect(h, g.Deliver)
		wg.Go(func() { _ = g.Serve(ctx) })
	}
	leader := r.hosts[0]
	r.await("a leader", func() bool {
		_, _, held := groups[leader].Lease()
		if !held {
			leader = r.hosts[(slices.Index(r.hosts, leader)+1)%len(r.hosts)]
		}
		return held
	})
	var revision uint64
	for i := range changes {
		c := state.Change{ID: fmt.Sprintf("change-%d", i), Base: revision, Operator: "ana", Time: time.Now(), Action: filling(i)}
		command, err := wire.EncodeCommand(c)
		if err != nil {
			r.t.Fatal(err)
		}
		v, err := groups[leader].Propose(ctx, command)
		if x, ok := v.(state.ChangeResult); err != nil || !ok || x.Outcome != state.ChangeAccepted {
			r.t.Fatalf("change %d: %+v, %v", i, v, err)
		}
		revision = v.(state.ChangeResult).Revision
	}
	for _, h := range r.hosts {
		r.await("the last change at "+string(h), func() bool { return groups[h].Read(ctx) == nil })
	}
}

// filling is the i-th change of fill. About 1,000 keys stay.
func filling(i int) state.Action {
	const stay = 1000
	key := func(n int) string { return fmt.Sprintf("k%d", n) }
	switch n := i / 2; {
	case i == 0:
		return state.ReplaceDocument{Document: config.Document{Customers: []config.Customer{{Name: "klang", Weight: 1}}}}
	case i%2 == 1 || n <= stay:
		return state.IssueKey{ID: key(i), Digest: sha256.Sum256([]byte(key(i))), Customer: "klang"}
	default:
		return state.WithdrawKey{ID: key(2*(n-stay) - 1)}
	}
}

// BenchmarkRestart measures, after 100,000 changes, the time from the start of
// a process to a confirmed copy of the leader's configuration, and from the
// start of all three to a leader that acts. Run it with -benchtime 10x.
func BenchmarkRestart(b *testing.B) {
	r := prepareRig(b, time.Hour)
	r.fill(100_000)
	var group, one []time.Duration
	for b.Loop() {
		r.killAll()
		from := time.Now()
		for _, h := range r.hosts {
			r.start(h)
		}
		leading := r.awaitLeader("")
		group = append(group, time.Since(from))
		h := r.hosts[0]
		if fleet.Host(leading.Host) == h {
			h = r.hosts[1]
		}
		r.kill(h)
		from = time.Now()
		r.start(h)
		r.await("a current copy", func() bool {
			s, err := r.status.StatusOf(b.Context(), r.operators[h].String())
			return err == nil && s.Current && s.Revision >= leading.Revision
		})
		one = append(one, time.Since(from))
	}
	reportTimes(b, "group", group)
	reportTimes(b, "one", one)
}
