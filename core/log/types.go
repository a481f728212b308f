package log

import (
	"math/rand/v2"
	"slices"
	"time"

	"papayarock/core/fleet"
)

// Identity names one data directory. It is drawn at random when the directory
// is created; zero means not known.
type Identity uint64

// Member is one host of the group.
type Member struct {
	Host     fleet.Host
	Identity Identity // zero until the leader has recorded it
	Learner  bool     // receives the log but does not vote
}

// Membership is the set of members, ordered by host.
type Membership []Member

// Find returns the member on host h.
func (m Membership) Find(h fleet.Host) (Member, bool) {
	i := slices.IndexFunc(m, func(x Member) bool { return x.Host == h })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// Voter reports whether h is a voter.
func (m Membership) Voter(h fleet.Host) bool {
	x, ok := m.Find(h)
	return ok && !x.Learner
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int {
	voters := 0
	for _, x := range m {
		if !x.Learner {
			voters++
		}
	}
	return voters/2 + 1
}

// Voters returns a membership in which each host is a voter whose identity is
// not known yet.
func Voters(hosts ...fleet.Host) Membership {
	var m Membership
	for _, h := range hosts {
		m = append(m, Member{Host: h})
	}
	slices.SortFunc(m, func(a, b Member) int { return compareHosts(a.Host, b.Host) })
	return m
}

func compareHosts(a, b fleet.Host) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// EntryKind says what an entry holds.
type EntryKind uint8

// Kinds of entry.
const (
	Command EntryKind = iota // command of the state machine
	Noop                     // first entry of a leader's term
	Members                  // membership from this entry on
)

// Entry is one entry of the log. Entries are not changed after creation.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Command     []byte     // with Command
	Members     Membership // with Members
}

func (e Entry) size() int { return len(e.Command) + 64*len(e.Members) + 32 }

// Snapshot is the state of the machine after the entry at Index.
type Snapshot struct {
	Index, Term uint64
	Members     Membership
	Data        []byte // nil in the bootstrap snapshot
}

// Bootstrap returns the snapshot that the first members of a group start from.
// It stands for an empty machine.
func Bootstrap(m Membership) Snapshot {
	return Snapshot{Index: bootstrapIndex, Term: 1, Members: slices.Clone(m)}
}

// bootstrapIndex is the index of the bootstrap snapshot. Index 0 is an empty
// directory, whose host knows no membership.
const bootstrapIndex = 1

// HardState is the part of the state that outlives a restart beside the log.
type HardState struct {
	Term uint64
	Vote fleet.Host // empty when no vote was given in Term
}

// Stored is what the storage holds at a start. Entries have no gaps, start at
// or below the index after the snapshot, and may be empty.
type Stored struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Options configure a node. Durations must be equal on all members.
type Options struct {
	Self     fleet.Host
	Identity Identity
	Stored   Stored
	Random   *rand.Rand // for election timeouts

	Lease         time.Duration // time for which a voter promises not to elect another leader
	Heartbeat     time.Duration // interval of lease renewals, well below Lease
	LongestAction time.Duration // longest outward action begun under a lease
	Retain        uint64        // entries kept below a snapshot for followers that lag
}

// Defaults of the zero fields of Options.
const (
	DefaultLease         = time.Second
	DefaultHeartbeat     = 100 * time.Millisecond
	DefaultLongestAction = time.Second
	DefaultRetain        = 1000
)

// Bounds of messages and queues. A message stays well below the 1 MiB limit
// of a link.
const (
	MaxCommandBytes   = 512 << 10
	maxAppendBytes    = 256 << 10 // entries of one append, unless one entry is larger
	maxAppendEntries  = 1024
	maxInflight       = 64 // appends sent and not yet acknowledged, for each peer
	chunkBytes        = 256 << 10
	maxPendingEntries = 8192 // entries of the leader that are not committed
	maxPendingBytes   = 16 << 20
	maxReads          = 8192
)

// marginDivisor expresses the clock-rate margin: two clocks may differ in rate
// by one part in marginDivisor.
const marginDivisor = 100

// Role is the role of a node in its term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the kebab-case name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Empty reports whether s stands for an empty machine, so that there is nothing
// to restore.
func (s Snapshot) Empty() bool { return s.Index <= bootstrapIndex }
