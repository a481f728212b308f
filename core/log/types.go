package log

import (
	"math/rand/v2"
	"slices"
	"time"

	"papayarock/core/fleet"
)

// DirectoryID identifies one data directory. It is chosen at random when the
// directory is created; zero means unknown.
type DirectoryID uint64

// Member is one member of the replication group.
type Member struct {
	Host     fleet.Host
	Identity DirectoryID // zero until the leader has recorded it
	Learner  bool        // receives the log but does not vote
}

// Membership is the set of members, sorted by host.
type Membership []Member

// Find returns the member on host h.
func (m Membership) Find(h fleet.Host) (Member, bool) {
	i := slices.IndexFunc(m, func(x Member) bool { return x.Host == h })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// IsVoter reports whether h is a voter.
func (m Membership) IsVoter(h fleet.Host) bool {
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

// NewMembership returns a membership in which each host is a voter whose directory
// identity is still unknown.
func NewMembership(hosts ...fleet.Host) Membership {
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

// EntryKind is the type of a log entry.
type EntryKind uint8

// Kinds of entry.
const (
	Command EntryKind = iota // command for the state machine
	Noop                     // first entry of a leader's term
	Members                  // membership that takes effect with this entry
)

// Entry is one log entry. Entries are immutable.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Command     []byte     // for kind Command
	Members     Membership // for kind Members
}

// Size returns the approximate size of e in bytes, in memory and on disk.
func (e Entry) Size() int { return len(e.Command) + 64*len(e.Members) + 32 }

// Snapshot is the state of the state machine after the entry at Index.
type Snapshot struct {
	Index, Term uint64
	Members     Membership
	Data        []byte // nil in the bootstrap snapshot
}

// Empty reports whether s represents an empty state machine, so that there is
// nothing to restore.
func (s Snapshot) Empty() bool { return s.Index <= bootstrapIndex }

// BootstrapSnapshot returns the snapshot that the initial members of a group start from.
// It represents an empty state machine.
func BootstrapSnapshot(m Membership) Snapshot {
	return Snapshot{Index: bootstrapIndex, Term: 1, Members: slices.Clone(m)}
}

// bootstrapIndex is the index of the bootstrap snapshot. Index 0 denotes an
// empty directory, whose host knows no membership.
const bootstrapIndex = 1

// HardState is the persistent state of a node other than the log and snapshot.
type HardState struct {
	Term uint64
	Vote fleet.Host // candidate voted for in Term; empty if none
}

// Stored is the persistent state that a node starts from. Entries have no gaps,
// start at or below the index after the snapshot, and may be empty.
type Stored struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Options configure a node. The durations must be the same on all members. Zero
// durations, a zero Retain and a zero RetainBytes select the defaults.
type Options struct {
	Self     fleet.Host
	Identity DirectoryID
	Stored   Stored
	Random   *rand.Rand // for election timeouts; must not be nil

	Lease         time.Duration // time for which a voter that grants a lease votes for no other leader
	Heartbeat     time.Duration // interval of lease renewals, well below Lease
	LongestAction time.Duration // maximum duration of an external action begun under a lease
	Retain        uint64        // maximum number of entries kept below a snapshot for lagging followers
	RetainBytes   int           // maximum size of these entries in bytes
}

// Defaults for zero fields of Options.
const (
	DefaultLease         = time.Second
	DefaultHeartbeat     = 100 * time.Millisecond
	DefaultLongestAction = time.Second
	DefaultRetain        = 1000
	DefaultRetainBytes   = 16 << 20
)

// Limits on messages and queues. Messages stay well below the 1 MiB limit of a
// link.
const (
	MaxCommandBytes   = 512 << 10 // maximum size of a proposed command
	maxAppendBytes    = 256 << 10 // entries in one append, unless a single entry is larger
	maxAppendEntries  = 1024
	maxInflight       = 64 // unacknowledged appends per peer
	maxChunkBytes     = 256 << 10
	maxPendingEntries = 8192    // uncommitted entries at the leader
	maxPendingBytes   = 8 << 20 // size of open proposals at the leader; the last one may exceed it
	maxPendingReads   = 8192
)

// marginDivisor defines the clock-rate margin: the rates of two clocks may
// differ by one part in marginDivisor.
const marginDivisor = 100

// Role is the Raft role of a node in its current term.
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
