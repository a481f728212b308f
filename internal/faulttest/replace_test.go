package faulttest_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"papayarock/core/fleet"
	"papayarock/io/operator"
)

// changeHosts makes a change to the members and waits until it is done.
func (r *rig) changeHosts(action string, host fleet.Host) operator.HostAnswer {
	r.t.Helper()
	var answer operator.HostAnswer
	r.await(action+" "+string(host), func() bool {
		ctx, cancel := context.WithTimeout(r.t.Context(), submitLimit)
		defer cancel()
		var err error
		answer, err = r.status.ChangeHosts(ctx, operator.HostChange{Action: action, Host: string(host)})
		return err == nil
	})
	return answer
}

// Guards against the loss of what was accepted, and against a group that does
// not go on, when a lost host is replaced under load and a second one is lost
// right after the repair. The second is an old voter that holds all entries.
func TestReplaceThenLoseAnother(t *testing.T) {
	t.Parallel()
	r := newRig(t, time.Second, "c4")
	r.awaitLeader("")
	l := startLoad(r, "c1", "c2", "c3", "c4")
	more := func(what string) {
		enough := l.answers.Load() + answersPerBurst
		r.await(what, func() bool { return l.answers.Load() >= enough || t.Failed() })
	}
	more("answers at first")
	lost := fleet.Host(r.awaitLeader("").Host)
	r.kill(lost)
	more("answers without " + string(lost))
	r.start("c4")
	r.changeHosts(operator.AddLearner, "c4")
	r.changeHosts(operator.Promote, "c4")
	answer := r.changeHosts(operator.Remove, lost)
	if !slices.Contains(answer.Voters, "c4") || slices.Contains(answer.Voters, string(lost)) {
		t.Errorf("voters %v after the repair", answer.Voters)
	}
	second := fleet.Host(r.awaitLeader("").Host)
	r.kill(second)
	t.Logf("lost %s, replaced by c4, then lost %s", lost, second)
	more("answers after the second loss")
	l.end()
	r.killAll()
	var left []fleet.Host
	for _, h := range []fleet.Host{"c1", "c2", "c3", "c4"} {
		if h != lost && h != second {
			left = append(left, h)
		}
	}
	l.check(r.finalState(left...))
}
