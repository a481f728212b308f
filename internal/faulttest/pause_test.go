package faulttest_test

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"syscall"
	"testing"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/internal/fake"
)

// act is an order or usage report that reached the platform.
type act struct {
	at   time.Time
	host fleet.Host
	what string
}

// acts returns what reached the platform, in order of arrival.
func (r *rig) acts() []act {
	var all []act
	for _, o := range r.platform.Orders() {
		all = append(all, act{o.At, fleet.Host(o.Host), o.Kind + " order " + o.Number})
	}
	for _, u := range r.platform.Usage() {
		all = append(all, act{u.At, fleet.Host(u.Host), "usage of window " + u.Window})
	}
	slices.SortStableFunc(all, func(a, b act) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return all
}

// firstAct waits for the first act after a time of a host other than except.
func (r *rig) firstAct(after time.Time, except fleet.Host) act {
	r.t.Helper()
	var found act
	r.await("an act of another host than "+string(except), func() bool {
		for _, a := range r.acts() {
			if a.at.After(after) && a.host != except {
				found = a
				return true
			}
		}
		return false
	})
	return found
}

func (r *rig) signal(h fleet.Host, s syscall.Signal) {
	r.t.Helper()
	if err := r.processes[h].Process.Signal(s); err != nil {
		r.t.Fatal(err)
	}
}

// announce registers services, which replace can then replace.
func (l *load) announce(n int) {
	l.r.t.Helper()
	for i := range n {
		ctx, cancel := context.WithTimeout(context.Background(), submitLimit)
		err := l.a.Announce(ctx, fleet.Target{
			Name: fleet.TargetName(fmt.Sprintf("t%d", i)), Host: "a1", Region: "klang", DataCentre: "klang",
			Agent: netip.MustParseAddrPort("127.0.0.1:1"), Kind: fleet.Service, Pool: "booking", Incarnation: 1, Slots: 1,
		})
		cancel()
		if err != nil {
			l.r.t.Fatal(err)
		}
	}
}

// replace orders a new target in place of the i-th announced one.
func (l *load) replace(i int) bool {
	return l.change(fmt.Sprintf("replace-%d", i), state.ReplaceTarget{
		Target: fleet.TargetName(fmt.Sprintf("t%d", i)), DrainFor: time.Second, Deadline: time.Now().Add(time.Hour),
	})
}

// afterRelease is how long after its release a paused host certainly may not
// act: it must first be elected, and then wait for the longest action.
const afterRelease = time.Second

// Guards against a leader that was paused past its lease and still acts when it
// goes on, and against two hosts that act in overlapping periods. The platform
// answers slowly, so that a pause nearly always falls into an action.
func TestPausedLeader(t *testing.T) {
	t.Parallel()
	const rounds, targets = 4, 400
	r := newRig(t, time.Second)
	r.platform.UpdateFaults(func(f *fake.PlatformFaults) { f.Before = 250 * time.Millisecond })
	r.awaitLeader("")
	l := newLoad(r)
	l.announce(targets)
	l.repeat(l.report)
	l.repeat(func(i int) bool {
		time.Sleep(50 * time.Millisecond)
		return i < targets && l.replace(i)
	})
	for round := range rounds {
		from := time.Now()
		paused := r.awaitLeader("").Host
		host := fleet.Host(paused)
		r.await("an act of "+paused, func() bool {
			return slices.ContainsFunc(r.acts(), func(a act) bool { return a.at.After(from) && a.host == host })
		})
		time.Sleep(time.Duration(round) * 37 * time.Millisecond) // another moment of an action in each round
		stopped := time.Now()
		r.signal(host, syscall.SIGSTOP)
		first := r.firstAct(stopped, host)
		released := time.Now()
		r.signal(host, syscall.SIGCONT)
		time.Sleep(afterRelease)
		for _, a := range r.acts() {
			if a.host == host && a.at.After(first.at) && a.at.Before(released.Add(afterRelease)) {
				t.Errorf("round %d: %s, paused for %v, acted %v after its release and %v after the first act of %s: %s",
					round, host, released.Sub(stopped), a.at.Sub(released), a.at.Sub(first.at), first.host, a.what)
			}
		}
		t.Logf("round %d: %s acted %v after the pause of %s", round, first.host, first.at.Sub(stopped), host)
	}
	l.end()
	r.killAll()
	l.check(r.finalState(r.hosts...))
	if n := r.platform.DuplicateStarts(); n > 0 {
		t.Errorf("%d targets were started beyond the first under one order", n)
	}
}
