package faulttest_test

import (
	"testing"
	"time"
)

const (
	kills = 100
	// burst kills follow each other without waiting for the group. A restarted
	// replica votes only after a lease length, so a wait after each kill would
	// take minutes.
	burst = 10
	// answersPerBurst is how many submissions must be answered between bursts.
	answersPerBurst = 40
)

// Guards against an accepted change that is lost or reverted, a change id with
// two answers, a claim granted twice, and usage counted twice or not at all,
// when replicas are ended by SIGKILL in turn under load.
func TestKills(t *testing.T) {
	t.Parallel()
	r := newRig(t, time.Second)
	r.awaitLeader("")
	l := startLoad(r)
	for i := range kills {
		if t.Failed() {
			break
		}
		h := r.hosts[i%len(r.hosts)]
		r.checkRunning()
		r.kill(h)
		r.start(h)
		if i%burst < burst-1 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		enough := l.answers.Load() + answersPerBurst
		r.await("answers after a burst of kills", func() bool { return l.answers.Load() >= enough || t.Failed() })
	}
	r.await("a usage report", func() bool { return len(r.platform.Usage()) > 0 || t.Failed() })
	l.end()
	r.killAll()
	l.check(r.finalState(r.hosts...))
}
