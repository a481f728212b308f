package faulttest_test

import (
	"testing"
	"time"
)

const (
	kills = 100 // in total, of all replicas
	// burst is the number of kills after which the test waits for the group to recover.
	// A restarted replica votes only after the lease duration, so a wait after each
	// kill would take minutes.
	burst = 10
	// submissionsPerBurst is the number of submissions that must be answered between
	// bursts.
	submissionsPerBurst = 40
)

// Guards against an accepted change that is lost or reverted, a change id with two
// results, a claim granted twice, and usage counted twice or not at all, when
// replicas are killed in turn under load.
func TestKills(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, time.Second)
	cl.awaitLeader("")
	l := startLoad(cl)
	for i := range kills {
		if t.Failed() {
			break
		}
		h := cl.hosts[i%len(cl.hosts)]
		cl.checkRunning()
		cl.kill(h)
		cl.start(h)
		if i%burst < burst-1 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		enough := l.completed.Load() + submissionsPerBurst
		cl.await("answered submissions after a burst of kills", func() bool { return l.completed.Load() >= enough || t.Failed() })
	}
	cl.await("a usage report", func() bool { return len(cl.platform.UsageReports()) > 0 || t.Failed() })
	l.finish()
	cl.killAll()
	l.check(cl.finalState(cl.hosts...))
}
