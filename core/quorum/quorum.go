// Package quorum decides the membership changes by which the leader of a
// replicated log keeps its number of voters without an operator: a host with a
// new data directory is taken in as a learner, promoted once it has caught up,
// and may replace a voter that has been silent.
package quorum

import (
	"cmp"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/log"
)

// Change is one membership change.
type Change struct {
	Kind log.ChangeKind
	Host fleet.Host
}

// Applicant is a host that asks to be a member.
type Applicant struct {
	Host     fleet.Host
	Identity log.Identity
}

// Admit returns the change that brings an applicant nearer to membership. A
// voter with another data directory is removed first: the new directory does
// not hold the votes and entries that the old one promised. answered is the
// directory that has answered the leader under the applicant's name, zero if none
// has: it counts while the membership records none.
func Admit(members log.Membership, a Applicant, answered log.Identity) (Change, bool) {
	m, ok := members.Find(a.Host)
	if !ok {
		return Change{log.AddLearner, a.Host}, true
	}
	known := cmp.Or(m.Identity, answered)
	if known != 0 && known != a.Identity {
		return Change{log.Remove, a.Host}, true
	}
	return Change{}, false
}

// Repair returns the next change that the leader self should try: the promotion
// of a learner that was heard lately if a voter is missing, or the removal of
// a voter that was not heard since silentSince if a learner can replace it.
// heard is when each other member last answered.
func Repair(members log.Membership, self fleet.Host, voters int, heard map[fleet.Host]time.Time, silentSince time.Time) (Change, bool) {
	live := func(h fleet.Host) bool { return h == self || heard[h].After(silentSince) }
	count := 0
	var learner, silent fleet.Host
	for _, m := range members {
		switch {
		case m.Learner && live(m.Host) && learner == "":
			learner = m.Host
		case !m.Learner && !live(m.Host) && silent == "":
			silent = m.Host
		}
		if !m.Learner {
			count++
		}
	}
	switch {
	case learner == "":
		return Change{}, false
	case count < voters:
		return Change{log.Promote, learner}, true
	case silent != "":
		return Change{log.Remove, silent}, true
	}
	return Change{}, false
}
