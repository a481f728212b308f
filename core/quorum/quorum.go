// Package quorum decides the membership changes with which the leader of a
// replicated log maintains the number of voters without an operator. A host
// with a new data directory is added as a learner, is promoted once it has
// caught up, and may replace a voter that no longer responds. A learner that no
// longer responds is removed.
package quorum

import (
	"cmp"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/log"
)

// Change is a single membership change.
type Change struct {
	Kind log.MembershipChangeKind
	Host fleet.Host
}

// JoinRequest is the request of a host to become a member.
type JoinRequest struct {
	Host     fleet.Host
	Identity log.DirectoryID
}

// NextJoinChange returns the next change that makes the requesting host a member, and
// false if none is needed. A member with a different data directory is removed first,
// because the new directory lacks the votes and entries that the old one acknowledged.
// observed is the identity of the directory that last responded to the leader
// under the name of the host, or zero if none has. It stands for the recorded one if the
// membership has none. live says that it has responded recently: if it is the
// recorded one, the request is that of an earlier process, and was held up on its way.
func NextJoinChange(members log.Membership, r JoinRequest, observed log.DirectoryID, live bool) (Change, bool) {
	m, ok := members.Find(r.Host)
	if !ok {
		return Change{log.AddLearner, r.Host}, true
	}
	recorded := cmp.Or(m.Identity, observed)
	if recorded == 0 || recorded == r.Identity || live && recorded == observed {
		return Change{}, false
	}
	return Change{log.Remove, r.Host}, true
}

// Peer is what the leader knows about another member.
type Peer struct {
	Added     time.Time // when the leader began to send to it
	LastHeard time.Time // when it last responded; zero if it never has
	CaughtUp  bool      // it has nearly all entries, so that a learner can be promoted
	Leaving   bool      // it shuts down
}

// View is the membership as the leader sees it.
type View struct {
	Members log.Membership
	Self    fleet.Host          // the leader
	Voters  int                 // desired number of voters, which is odd
	Peers   map[fleet.Host]Peer // includes the leader if it shuts down
	// SilentSince is the time after which a member must have responded. Voters that have
	// not are replaced.
	SilentSince time.Time
	// NewLeader says that the members have not had the time to respond to this leader.
	NewLeader bool
	// LearnersSilentSince is the time after which a learner must have responded. Those that
	// have not are removed; the zero time keeps all. It is earlier than SilentSince, since a
	// silent learner does no harm until there are many of them.
	LearnersSilentSince time.Time
}

// NextRepairChange returns the next change that the leader should attempt, and false if
// there is none. A learner that has caught up is promoted if a voter is missing, silent
// or shutting down. The voter that it replaces is removed only after that: in between,
// the group does without either of the two, and a voter that is not lost after all
// still counts. Learners that are gone are removed when the voters need no change.
func NextRepairChange(v View) (Change, bool) {
	if c, ok := v.nextVoterChange(); ok {
		return c, true
	}
	h := v.lostLearner()
	if h == "" {
		return Change{}, false
	}
	return Change{log.Remove, h}, true
}

// nextVoterChange returns the next change of the set of voters, and false if there is none.
func (v View) nextVoterChange() (Change, bool) {
	voters := 0
	for _, m := range v.Members {
		if !m.Learner {
			voters++
		}
	}
	spare := v.spare()
	outgoing, replace := v.outgoing()
	switch {
	case voters > v.Voters && voters%2 == 0 && !replace && v.NewLeader:
		return Change{}, false // it is not known yet which voter does not respond
	case voters > v.Voters && voters%2 == 0:
		// An even number of voters tolerates no more losses than one voter less.
		return Change{log.Remove, cmp.Or(outgoing.Host, v.leastRecentVoter())}, true
	case spare == "":
		return Change{}, false
	case voters < v.Voters:
		return Change{log.Promote, spare}, true
	case !replace:
		return Change{}, false
	case outgoing.Identity == 0:
		// No change may leave a voter whose directory is not recorded.
		return Change{log.Remove, outgoing.Host}, true
	}
	return Change{log.Promote, spare}, true
}

// Needed reports whether host h, which shuts down, should keep running: it is a voter, and
// further changes are due, by which it may be replaced.
func (v View) Needed(h fleet.Host) bool {
	_, changing := v.nextVoterChange()
	return changing && v.Members.IsVoter(h)
}

// live reports whether h is the leader or has responded recently.
func (v View) live(h fleet.Host) bool {
	return h == v.Self || v.Peers[h].LastHeard.After(v.SilentSince)
}

// spare returns a learner that can be promoted, or an empty host if there is none.
func (v View) spare() fleet.Host {
	for _, m := range v.Members {
		if p := v.Peers[m.Host]; m.Learner && v.live(m.Host) && p.CaughtUp && !p.Leaving {
			return m.Host
		}
	}
	return ""
}

// lostLearner returns a learner that has not responded for long, or an empty host if there is
// none.
func (v View) lostLearner() fleet.Host {
	for _, m := range v.Members {
		p := v.Peers[m.Host]
		if m.Learner && m.Host != v.Self && p.LastHeard.Before(v.LearnersSilentSince) && p.Added.Before(v.LearnersSilentSince) {
			return m.Host
		}
	}
	return ""
}

// outgoing returns the voter to replace first, and false if there is none. A silent voter
// without a recorded directory comes first, since it prevents promotions, and the leader
// last, since its removal ends its leadership.
func (v View) outgoing() (first log.Member, ok bool) {
	best := 0
	for _, m := range v.Members {
		rank := 0
		switch {
		case m.Learner:
		case !v.live(m.Host) && m.Identity == 0:
			rank = 4
		case !v.live(m.Host):
			rank = 3
		case v.Peers[m.Host].Leaving && m.Host != v.Self:
			rank = 2
		case v.Peers[m.Host].Leaving:
			rank = 1
		}
		if rank > best {
			first, best = m, rank
		}
	}
	return first, best > 0
}

// leastRecentVoter returns the voter other than the leader that has not responded for
// the longest time.
func (v View) leastRecentVoter() (oldest fleet.Host) {
	for _, m := range v.Members {
		if !m.Learner && m.Host != v.Self && (oldest == "" || v.Peers[m.Host].LastHeard.Before(v.Peers[oldest].LastHeard)) {
			oldest = m.Host
		}
	}
	return oldest
}
