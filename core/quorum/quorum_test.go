package quorum_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/log"
	"papayarock/core/quorum"
)

// An empty data directory must not vote under the identity of the lost one. It
// must also not be refused if the previous directory was lost before the
// membership recorded its identity.
func TestNextJoinChange(t *testing.T) {
	members := log.Membership{{Host: "a", Identity: 1}, {Host: "b", Identity: 2}, {Host: "c", Identity: 3, Learner: true}, {Host: "d"}}
	for name, test := range map[string]struct {
		request  quorum.JoinRequest
		observed log.DirectoryID
		want     quorum.Change
		ok       bool
	}{
		"member":                {quorum.JoinRequest{Host: "a", Identity: 1}, 0, quorum.Change{}, false},
		"learner":               {quorum.JoinRequest{Host: "c", Identity: 3}, 0, quorum.Change{}, false},
		"identity not recorded": {quorum.JoinRequest{Host: "d", Identity: 9}, 0, quorum.Change{}, false},
		"not recorded, answers": {quorum.JoinRequest{Host: "d", Identity: 9}, 9, quorum.Change{}, false},
		"lost before recorded":  {quorum.JoinRequest{Host: "d", Identity: 9}, 4, quorum.Change{Kind: log.Remove, Host: "d"}, true},
		"recorded and answers":  {quorum.JoinRequest{Host: "a", Identity: 1}, 1, quorum.Change{}, false},
		"new host":              {quorum.JoinRequest{Host: "e", Identity: 5}, 0, quorum.Change{Kind: log.AddLearner, Host: "e"}, true},
		"voter with a new disk": {quorum.JoinRequest{Host: "b", Identity: 7}, 0, quorum.Change{Kind: log.Remove, Host: "b"}, true},
		"learner, new disk":     {quorum.JoinRequest{Host: "c", Identity: 7}, 0, quorum.Change{Kind: log.Remove, Host: "c"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, ok := quorum.NextJoinChange(members, test.request, test.observed)
			is.Equal(ok, test.ok)
			is.Equal(c, test.want)
		})
	}
}

// A group must not stay short of voters, and a voter must not be removed
// without a replacement.
func TestNextRepairChange(t *testing.T) {
	now := time.Unix(100, 0)
	recent, stale := now, now.Add(-time.Minute)
	voter := func(h fleet.Host) log.Member { return log.Member{Host: h, Identity: 1} }
	learner := func(h fleet.Host) log.Member { return log.Member{Host: h, Identity: 1, Learner: true} }
	for name, test := range map[string]struct {
		members   log.Membership
		lastHeard map[fleet.Host]time.Time
		want      quorum.Change
		ok        bool
	}{
		"whole":                   {log.Membership{voter("a"), voter("b"), voter("c")}, map[fleet.Host]time.Time{"b": recent, "c": recent}, quorum.Change{}, false},
		"voter missing":           {log.Membership{voter("a"), voter("b"), learner("c")}, map[fleet.Host]time.Time{"b": recent, "c": recent}, quorum.Change{Kind: log.Promote, Host: "c"}, true},
		"learner silent":          {log.Membership{voter("a"), voter("b"), learner("c")}, map[fleet.Host]time.Time{"b": recent, "c": stale}, quorum.Change{}, false},
		"silent voter, no spare":  {log.Membership{voter("a"), voter("b"), voter("c")}, map[fleet.Host]time.Time{"b": recent, "c": stale}, quorum.Change{}, false},
		"silent voter, a spare":   {log.Membership{voter("a"), voter("b"), voter("c"), learner("d")}, map[fleet.Host]time.Time{"b": recent, "c": stale, "d": recent}, quorum.Change{Kind: log.Remove, Host: "c"}, true},
		"all live, a spare":       {log.Membership{voter("a"), voter("b"), voter("c"), learner("d")}, map[fleet.Host]time.Time{"b": recent, "c": recent, "d": recent}, quorum.Change{}, false},
		"no response, a spare":    {log.Membership{voter("a"), voter("b"), voter("c"), learner("d")}, map[fleet.Host]time.Time{"b": recent, "d": recent}, quorum.Change{Kind: log.Remove, Host: "c"}, true},
		"the leader is never out": {log.Membership{voter("a"), voter("b"), voter("c"), learner("d")}, map[fleet.Host]time.Time{"a": stale, "b": recent, "c": recent, "d": recent}, quorum.Change{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, ok := quorum.NextRepairChange(test.members, "a", 3, test.lastHeard, now.Add(-10*time.Second))
			is.Equal(ok, test.ok)
			is.Equal(c, test.want)
		})
	}
}
