// Package quorum decides the membership changes with which the leader of a
// replicated log maintains the number of voters without an operator. A host
// with a new data directory is added as a learner, is promoted once it has
// caught up, and may replace a voter that no longer responds.
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
// under the name of the host, or zero if none has. It is used only if the
// membership records no identity.
func NextJoinChange(members log.Membership, r JoinRequest, observed log.DirectoryID) (Change, bool) {
	m, ok := members.Find(r.Host)
	if !ok {
		return Change{log.AddLearner, r.Host}, true
	}
	recorded := cmp.Or(m.Identity, observed)
	if recorded != 0 && recorded != r.Identity {
		return Change{log.Remove, r.Host}, true
	}
	return Change{}, false
}

// NextRepairChange returns the next change that host self should attempt as leader, and
// false if there is none: the promotion of a responsive learner if a voter is missing,
// or the removal of a voter that has not responded since silentSince if a learner can
// replace it.
// voters is the desired number of voters, and lastHeard is when each other member
// last responded.
func NextRepairChange(members log.Membership, self fleet.Host, voters int, lastHeard map[fleet.Host]time.Time, silentSince time.Time) (Change, bool) {
	live := func(h fleet.Host) bool { return h == self || lastHeard[h].After(silentSince) }
	voterCount := 0
	var liveLearner, silentVoter fleet.Host
	for _, m := range members {
		switch {
		case m.Learner && live(m.Host) && liveLearner == "":
			liveLearner = m.Host
		case !m.Learner && !live(m.Host) && silentVoter == "":
			silentVoter = m.Host
		}
		if !m.Learner {
			voterCount++
		}
	}
	switch {
	case liveLearner == "":
		return Change{}, false
	case voterCount < voters:
		return Change{log.Promote, liveLearner}, true
	case silentVoter != "":
		return Change{log.Remove, silentVoter}, true
	}
	return Change{}, false
}
