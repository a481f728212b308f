package quorum_test

import (
	"cmp"
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
		live     bool
		want     quorum.Change
		ok       bool
	}{
		"member":                   {quorum.JoinRequest{Host: "a", Identity: 1}, 0, false, quorum.Change{}, false},
		"learner":                  {quorum.JoinRequest{Host: "c", Identity: 3}, 0, false, quorum.Change{}, false},
		"identity not recorded":    {quorum.JoinRequest{Host: "d", Identity: 9}, 0, false, quorum.Change{}, false},
		"not recorded, answers":    {quorum.JoinRequest{Host: "d", Identity: 9}, 9, false, quorum.Change{}, false},
		"lost before recorded":     {quorum.JoinRequest{Host: "d", Identity: 9}, 4, false, quorum.Change{Kind: log.Remove, Host: "d"}, true},
		"recorded and answers":     {quorum.JoinRequest{Host: "a", Identity: 1}, 1, false, quorum.Change{}, false},
		"new host":                 {quorum.JoinRequest{Host: "e", Identity: 5}, 0, false, quorum.Change{Kind: log.AddLearner, Host: "e"}, true},
		"voter with a new disk":    {quorum.JoinRequest{Host: "b", Identity: 7}, 0, false, quorum.Change{Kind: log.Remove, Host: "b"}, true},
		"learner, new disk":        {quorum.JoinRequest{Host: "c", Identity: 7}, 0, false, quorum.Change{Kind: log.Remove, Host: "c"}, true},
		"live, of an earlier disk": {quorum.JoinRequest{Host: "b", Identity: 7}, 2, true, quorum.Change{}, false},
		"live, of the new disk":    {quorum.JoinRequest{Host: "b", Identity: 7}, 7, true, quorum.Change{Kind: log.Remove, Host: "b"}, true},
		"silent, of another disk":  {quorum.JoinRequest{Host: "b", Identity: 7}, 2, false, quorum.Change{Kind: log.Remove, Host: "b"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, ok := quorum.NextJoinChange(members, test.request, test.observed, test.live)
			is.Equal(ok, test.ok)
			is.Equal(c, test.want)
		})
	}
}

// A group must not stay short of voters, count on a lost voter although a learner could
// vote in its place, or lose a voter before its replacement votes.
func TestNextRepairChange(t *testing.T) {
	now := time.Unix(100, 0)
	recent, older, stale := now, now.Add(-time.Second), now.Add(-time.Minute)
	heard := func(t time.Time) quorum.Peer { return quorum.Peer{LastHeard: t, CaughtUp: true} }
	lagging := quorum.Peer{LastHeard: recent}
	leaving := quorum.Peer{LastHeard: recent, CaughtUp: true, Leaving: true}
	voter := func(h fleet.Host) log.Member { return log.Member{Host: h, Identity: 1} }
	learner := func(h fleet.Host) log.Member { return log.Member{Host: h, Identity: 1, Learner: true} }
	type peers map[fleet.Host]quorum.Peer
	none, promote, remove := quorum.Change{}, func(h fleet.Host) quorum.Change { return quorum.Change{Kind: log.Promote, Host: h} }, func(h fleet.Host) quorum.Change { return quorum.Change{Kind: log.Remove, Host: h} }
	for name, test := range map[string]struct {
		members log.Membership
		voters  int // desired; 3 if zero
		peers   peers
		want    quorum.Change
	}{
		"whole":                      {log.Membership{voter("a"), voter("b"), voter("c")}, 0, peers{"b": heard(recent), "c": heard(recent)}, none},
		"voter missing":              {log.Membership{voter("a"), voter("b"), learner("c")}, 0, peers{"b": heard(recent), "c": heard(recent)}, promote("c")},
		"learner silent":             {log.Membership{voter("a"), voter("b"), learner("c")}, 0, peers{"b": heard(recent), "c": heard(stale)}, none},
		"learner lagging":            {log.Membership{voter("a"), voter("b"), learner("c")}, 0, peers{"b": heard(recent), "c": lagging}, none},
		"first learner lagging":      {log.Membership{voter("a"), voter("b"), learner("c"), learner("d")}, 0, peers{"b": heard(recent), "c": lagging, "d": heard(recent)}, promote("d")},
		"silent voter, no spare":     {log.Membership{voter("a"), voter("b"), voter("c")}, 0, peers{"b": heard(recent), "c": heard(stale)}, none},
		"silent voter, a spare":      {log.Membership{voter("a"), voter("b"), voter("c"), learner("d")}, 0, peers{"b": heard(recent), "c": heard(stale), "d": heard(recent)}, promote("d")},
		"silent voter, spare lags":   {log.Membership{voter("a"), voter("b"), voter("c"), learner("d")}, 0, peers{"b": heard(recent), "c": heard(stale), "d": lagging}, none},
		"spare promoted":             {log.Membership{voter("a"), voter("b"), voter("c"), voter("d")}, 0, peers{"b": heard(recent), "c": heard(stale), "d": heard(recent)}, remove("c")},
		"silent voter is back":       {log.Membership{voter("a"), voter("b"), voter("c"), voter("d")}, 0, peers{"b": heard(recent), "c": heard(older), "d": heard(recent)}, remove("c")},
		"all live, a spare":          {log.Membership{voter("a"), voter("b"), voter("c"), learner("d")}, 0, peers{"b": heard(recent), "c": heard(recent), "d": heard(recent)}, none},
		"no response, a spare":       {log.Membership{voter("a"), voter("b"), voter("c"), learner("d")}, 0, peers{"b": heard(recent), "d": heard(recent)}, promote("d")},
		"the leader is never out":    {log.Membership{voter("a"), voter("b"), voter("c"), learner("d")}, 0, peers{"a": heard(stale), "b": heard(recent), "c": heard(recent), "d": heard(recent)}, none},
		"directory not recorded":     {log.Membership{voter("a"), voter("b"), {Host: "c"}, learner("d")}, 0, peers{"b": heard(recent), "d": heard(recent)}, remove("c")},
		"more voters than desired":   {log.Membership{voter("a"), voter("b"), voter("c")}, 1, peers{"b": heard(recent), "c": heard(stale)}, none},
		"more than desired, a spare": {log.Membership{voter("a"), voter("b"), voter("c"), learner("d")}, 1, peers{"b": heard(recent), "c": heard(stale), "d": heard(recent)}, promote("d")},
		"four of five voters":        {log.Membership{voter("a"), voter("b"), voter("c"), voter("d")}, 5, peers{"b": heard(recent), "c": heard(stale), "d": heard(recent)}, none},
		"leaving voter, no spare":    {log.Membership{voter("a"), voter("b"), voter("c")}, 0, peers{"b": leaving, "c": heard(recent)}, none},
		"leaving voter, a spare":     {log.Membership{voter("a"), voter("b"), voter("c"), learner("d")}, 0, peers{"b": leaving, "c": heard(recent), "d": heard(recent)}, promote("d")},
		"leaving voter replaced":     {log.Membership{voter("a"), voter("b"), voter("c"), voter("d")}, 0, peers{"b": leaving, "c": heard(older), "d": heard(recent)}, remove("b")},
		"leaving and silent":         {log.Membership{voter("a"), voter("b"), voter("c"), voter("d")}, 0, peers{"b": leaving, "c": heard(stale), "d": heard(recent)}, remove("c")},
		"the leader leaves last":     {log.Membership{voter("a"), voter("b"), voter("c"), voter("d")}, 0, peers{"a": leaving, "b": leaving, "c": heard(recent), "d": heard(recent)}, remove("b")},
		"the leader leaves":          {log.Membership{voter("a"), voter("b"), voter("c"), voter("d")}, 0, peers{"a": leaving, "b": heard(recent), "c": heard(recent), "d": heard(recent)}, remove("a")},
		"leaving learner":            {log.Membership{voter("a"), voter("b"), voter("c"), learner("d")}, 0, peers{"b": heard(recent), "c": heard(stale), "d": leaving}, none},
		"two of five silent": {
			log.Membership{voter("a"), voter("b"), voter("c"), voter("d"), voter("e"), learner("f")}, 5,
			peers{"b": heard(stale), "c": heard(stale), "d": heard(recent), "e": heard(recent), "f": heard(recent)}, promote("f"),
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, ok := quorum.NextRepairChange(quorum.View{
				Members: test.members, Self: "a", Voters: cmp.Or(test.voters, 3), Peers: test.peers, SilentSince: now.Add(-10 * time.Second),
			})
			is.Equal(ok, test.want != none)
			is.Equal(c, test.want)
		})
	}
}

// Guards against learners that are gone for good and stay members: gateways go on to follow
// each of them, and ignore new replicas at last.
func TestLostLearners(t *testing.T) {
	now := time.Unix(100, 0)
	heard := func(age time.Duration) quorum.Peer {
		return quorum.Peer{LastHeard: now.Add(-age), CaughtUp: true}
	}
	voter := func(h fleet.Host) log.Member { return log.Member{Host: h, Identity: 1} }
	learner := func(h fleet.Host) log.Member { return log.Member{Host: h, Identity: 1, Learner: true} }
	members := log.Membership{voter("a"), voter("b"), voter("c"), learner("d"), learner("e")}
	for name, test := range map[string]struct {
		peers map[fleet.Host]quorum.Peer
		want  quorum.Change
	}{
		"all live":                    {map[fleet.Host]quorum.Peer{"b": heard(0), "c": heard(0), "d": heard(0), "e": heard(0)}, quorum.Change{}},
		"silent for a while":          {map[fleet.Host]quorum.Peer{"b": heard(0), "c": heard(0), "d": heard(0), "e": heard(5 * time.Second)}, quorum.Change{}},
		"gone":                        {map[fleet.Host]quorum.Peer{"b": heard(0), "c": heard(0), "d": heard(0), "e": heard(11 * time.Second)}, quorum.Change{Kind: log.Remove, Host: "e"}},
		"never heard":                 {map[fleet.Host]quorum.Peer{"b": heard(0), "c": heard(0), "d": {}, "e": heard(0)}, quorum.Change{Kind: log.Remove, Host: "d"}},
		"added just now":              {map[fleet.Host]quorum.Peer{"b": heard(0), "c": heard(0), "d": {Added: now}, "e": heard(0)}, quorum.Change{}},
		"a voter is replaced first":   {map[fleet.Host]quorum.Peer{"b": heard(0), "c": heard(11 * time.Second), "d": heard(0), "e": heard(11 * time.Second)}, quorum.Change{Kind: log.Promote, Host: "d"}},
		"a voter without replacement": {map[fleet.Host]quorum.Peer{"b": heard(0), "c": heard(11 * time.Second), "d": heard(11 * time.Second), "e": heard(0)}, quorum.Change{Kind: log.Promote, Host: "e"}},
		"only gone learners":          {map[fleet.Host]quorum.Peer{"b": heard(0), "c": heard(11 * time.Second), "d": heard(11 * time.Second), "e": heard(11 * time.Second)}, quorum.Change{Kind: log.Remove, Host: "d"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := quorum.View{
				Members: members, Self: "a", Voters: 3, Peers: test.peers,
				SilentSince: now.Add(-2 * time.Second), LearnersSilentSince: now.Add(-10 * time.Second),
			}
			c, ok := quorum.NextRepairChange(v)
			is.Equal(c, test.want)
			is.Equal(ok, test.want != quorum.Change{})
			if c.Kind == log.Remove {
				is.True(!v.Needed("b")) // a shutdown does not wait for the removal of learners
			}
		})
	}
}

// Guards against a new leader that removes a live voter in place of a lost one, since it has
// heard of neither yet: for a while the log then has one spare less.
func TestNewLeaderWaits(t *testing.T) {
	now := time.Unix(100, 0)
	voter := func(h fleet.Host) log.Member { return log.Member{Host: h, Identity: 1} }
	live, leaving := quorum.Peer{LastHeard: now}, quorum.Peer{LastHeard: now, Leaving: true}
	for name, test := range map[string]struct {
		c         quorum.Peer
		newLeader bool
		want      quorum.Change
	}{
		"new leader":                  {live, true, quorum.Change{}},
		"new leader, a voter leaves":  {leaving, true, quorum.Change{Kind: log.Remove, Host: "c"}},
		"later":                       {quorum.Peer{LastHeard: now.Add(-time.Second)}, false, quorum.Change{Kind: log.Remove, Host: "c"}},
		"later, one does not respond": {quorum.Peer{LastHeard: now.Add(-time.Minute)}, false, quorum.Change{Kind: log.Remove, Host: "c"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, ok := quorum.NextRepairChange(quorum.View{
				Members: log.Membership{voter("a"), voter("b"), voter("c"), voter("d")}, Self: "a", Voters: 3,
				Peers: map[fleet.Host]quorum.Peer{"b": live, "c": test.c, "d": live}, SilentSince: now.Add(-10 * time.Second), NewLeader: test.newLeader,
			})
			is.Equal(c, test.want)
			is.Equal(ok, test.want != quorum.Change{})
		})
	}
}

// A host that shuts down must not end while its replacement is under way, and must not
// wait for one that does not come.
func TestNeeded(t *testing.T) {
	now := time.Unix(100, 0)
	heard := quorum.Peer{LastHeard: now, CaughtUp: true}
	leaving := quorum.Peer{LastHeard: now, CaughtUp: true, Leaving: true}
	voter := func(h fleet.Host) log.Member { return log.Member{Host: h, Identity: 1} }
	learner := log.Member{Host: "d", Identity: 1, Learner: true}
	for name, test := range map[string]struct {
		members log.Membership
		d       quorum.Peer
		want    bool
	}{
		"no learner":       {log.Membership{voter("a"), voter("b"), voter("c")}, quorum.Peer{}, false},
		"a learner":        {log.Membership{voter("a"), voter("b"), voter("c"), learner}, heard, true},
		"a silent learner": {log.Membership{voter("a"), voter("b"), voter("c"), learner}, quorum.Peer{CaughtUp: true}, false},
		"promoted learner": {log.Membership{voter("a"), voter("b"), voter("c"), voter("d")}, heard, true},
		"removed":          {log.Membership{voter("a"), voter("c"), voter("d")}, heard, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := quorum.View{
				Members: test.members, Self: "a", Voters: 3, SilentSince: now.Add(-time.Second),
				Peers: map[fleet.Host]quorum.Peer{"b": leaving, "c": heard, "d": test.d},
			}
			is.Equal(v.Needed("b"), test.want)
		})
	}
}
