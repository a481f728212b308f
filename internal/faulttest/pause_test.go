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

// platformCall is an order or usage report that a host sent to the platform.
type platformCall struct {
	at   time.Time
	host fleet.Host
	what string // kind and number
}

// platformCalls returns the calls that reached the platform, in order of arrival.
func (cl *cluster) platformCalls() []platformCall {
	var all []platformCall
	for _, o := range cl.platform.Orders() {
		all = append(all, platformCall{o.At, fleet.Host(o.Host), o.Kind + " order " + o.Number})
	}
	for _, u := range cl.platform.UsageReports() {
		all = append(all, platformCall{u.At, fleet.Host(u.Host), "usage of window " + u.Window})
	}
	slices.SortStableFunc(all, func(a, b platformCall) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return all
}

// awaitPlatformCall waits for a platform call that arrives after a time from a host
// other than except, and returns the first one.
func (cl *cluster) awaitPlatformCall(after time.Time, except fleet.Host) platformCall {
	cl.t.Helper()
	var found platformCall
	cl.await("a platform call of a host other than "+string(except), func() bool {
		for _, a := range cl.platformCalls() {
			if a.at.After(after) && a.host != except {
				found = a
				return true
			}
		}
		return false
	})
	return found
}

func (cl *cluster) signal(h fleet.Host, s syscall.Signal) {
	cl.t.Helper()
	if err := cl.processes[h].Process.Signal(s); err != nil {
		cl.t.Fatal(err)
	}
}

// announce registers n targets, which replaceTarget can then replace.
func (l *load) announce(n int) {
	l.cluster.t.Helper()
	for i := range n {
		ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
		err := l.a.Announce(ctx, fleet.Target{
			Name: fleet.TargetName(fmt.Sprintf("t%d", i)), Host: "a1", Region: "klang", DataCentre: "klang",
			Agent: netip.MustParseAddrPort("127.0.0.1:1"), Kind: fleet.Service, Pool: "booking", Incarnation: 1, Slots: 1,
		})
		cancel()
		if err != nil {
			l.cluster.t.Fatal(err)
		}
	}
}

// replaceTarget submits the replacement of the i-th announced target.
func (l *load) replaceTarget(i int) bool {
	return l.change(fmt.Sprintf("replace-%d", i), state.ReplaceTarget{
		Target: fleet.TargetName(fmt.Sprintf("t%d", i)), DrainFor: time.Second, Deadline: time.Now().Add(time.Hour),
	})
}

// afterResume is a period after SIGCONT in which the resumed host must not call the
// platform. It has lost its lease, so it may do so only once it was elected again and
// has waited for the longest action of the leader before it.
const afterResume = time.Second

// Guards against a leader that still calls the platform when it resumes after its
// lease has ended, and so against two hosts that call it at the same time. The
// platform responds slowly, so that the leader is nearly always paused during a call.
func TestPausedLeader(t *testing.T) {
	t.Parallel()
	const rounds, targets = 4, 400
	cl := newCluster(t, time.Second)
	cl.platform.UpdateFaults(func(f *fake.PlatformFaults) { f.Before = 250 * time.Millisecond })
	cl.awaitLeader("")
	l := newLoad(cl)
	l.announce(targets)
	l.repeat(l.reportUsage)
	l.repeat(func(i int) bool {
		time.Sleep(50 * time.Millisecond)
		return i < targets && l.replaceTarget(i)
	})
	for round := range rounds {
		from := time.Now()
		paused := cl.awaitLeader("").Host
		host := fleet.Host(paused)
		cl.await("a platform call of "+paused, func() bool {
			return slices.ContainsFunc(cl.platformCalls(), func(a platformCall) bool { return a.at.After(from) && a.host == host })
		})
		time.Sleep(time.Duration(round) * 37 * time.Millisecond) // pauses at a different point of a call in each round
		pausedAt := time.Now()
		cl.signal(host, syscall.SIGSTOP)
		first := cl.awaitPlatformCall(pausedAt, host)
		resumedAt := time.Now()
		cl.signal(host, syscall.SIGCONT)
		time.Sleep(afterResume)
		for _, a := range cl.platformCalls() {
			if a.host == host && a.at.After(first.at) && a.at.Before(resumedAt.Add(afterResume)) {
				t.Errorf("round %d: %s, paused for %v, called the platform %v after SIGCONT and %v after the first call of %s: %s",
					round, host, resumedAt.Sub(pausedAt), a.at.Sub(resumedAt), a.at.Sub(first.at), first.host, a.what)
			}
		}
		t.Logf("round %d: %s called the platform %v after the pause of %s", round, first.host, first.at.Sub(pausedAt), host)
	}
	l.finish()
	cl.killAll()
	l.check(cl.finalState(cl.hosts...))
	if n := cl.platform.DuplicateStarts(); n > 0 {
		t.Errorf("%d targets were started under an order that had already started one", n)
	}
}
