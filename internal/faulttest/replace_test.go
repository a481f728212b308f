package faulttest_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"papayarock/core/fleet"
	"papayarock/io/operator"
)

// changeMember submits a change of one member until it succeeds.
func (cl *cluster) changeMember(action string, host fleet.Host) operator.MemberChangeResult {
	cl.t.Helper()
	var result operator.MemberChangeResult
	cl.await(action+" "+string(host), func() bool {
		ctx, cancel := context.WithTimeout(cl.t.Context(), submitTimeout)
		defer cancel()
		var err error
		result, err = cl.operatorClient.ChangeMembers(ctx, operator.MemberChange{Action: action, Host: string(host)})
		return err == nil
	})
	return result
}

// Guards against a replacement of a lost host after which the group cannot lose
// another: under load the leader is killed and replaced, and then the next leader,
// which holds all entries, is killed. No accepted submission may be lost, and the group
// must make progress.
func TestReplaceThenLoseAnother(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, time.Second, "c4")
	cl.awaitLeader("")
	l := startLoad(cl, "c1", "c2", "c3", "c4")
	awaitSubmissions := func(what string) {
		enough := l.completed.Load() + submissionsPerBurst
		cl.await(what, func() bool { return l.completed.Load() >= enough || t.Failed() })
	}
	awaitSubmissions("answered submissions before the loss")
	lost := fleet.Host(cl.awaitLeader("").Host)
	cl.kill(lost)
	awaitSubmissions("answered submissions without " + string(lost))
	cl.start("c4")
	cl.changeMember(operator.AddLearner, "c4")
	cl.changeMember(operator.Promote, "c4")
	result := cl.changeMember(operator.Remove, lost)
	if !slices.Contains(result.Voters, "c4") || slices.Contains(result.Voters, string(lost)) {
		t.Errorf("voters after the replacement of %s by c4: got %v, want c4 and not %s", lost, result.Voters, lost)
	}
	second := fleet.Host(cl.awaitLeader("").Host)
	cl.kill(second)
	t.Logf("lost %s, replaced by c4, then lost %s", lost, second)
	awaitSubmissions("answered submissions after the second loss")
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
