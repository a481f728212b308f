package faulttest_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"papayarock/core/fleet"
	"papayarock/io/operator"
)

// changeHosts submits a membership change, repeatedly until it succeeds.
func (cl *cluster) changeHosts(action string, host fleet.Host) operator.HostChangeResult {
	cl.t.Helper()
	var answer operator.HostChangeResult
	cl.await(action+" "+string(host), func() bool {
		ctx, cancel := context.WithTimeout(cl.t.Context(), submitTimeout)
		defer cancel()
		var err error
		answer, err = cl.status.ChangeMembers(ctx, operator.HostChange{Action: action, Host: string(host)})
		return err == nil
	})
	return answer
}

// Guards against the loss of accepted submissions, and against a group that makes
// no progress, when a lost host is replaced under load and a second one is lost
// right after the replacement. The second is an original voter that holds all
// entries.
func TestReplaceThenLoseAnother(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, time.Second, "c4")
	cl.awaitLeader("")
	l := startLoad(cl, "c1", "c2", "c3", "c4")
	more := func(what string) {
		enough := l.answers.Load() + answersPerBurst
		cl.await(what, func() bool { return l.answers.Load() >= enough || t.Failed() })
	}
	more("answered submissions before the loss")
	lost := fleet.Host(cl.awaitLeader("").Host)
	cl.kill(lost)
	more("answered submissions without " + string(lost))
	cl.start("c4")
	cl.changeHosts(operator.AddLearner, "c4")
	cl.changeHosts(operator.Promote, "c4")
	answer := cl.changeHosts(operator.Remove, lost)
	if !slices.Contains(answer.Voters, "c4") || slices.Contains(answer.Voters, string(lost)) {
		t.Errorf("voters after the replacement of %s by c4: %v", lost, answer.Voters)
	}
	second := fleet.Host(cl.awaitLeader("").Host)
	cl.kill(second)
	t.Logf("lost %s, replaced by c4, then lost %s", lost, second)
	more("answered submissions after the second loss")
	l.finish()
	cl.killAll()
	var left []fleet.Host
	for _, h := range []fleet.Host{"c1", "c2", "c3", "c4"} {
		if h != lost && h != second {
			left = append(left, h)
		}
	}
	l.check(cl.finalState(left...))
}
