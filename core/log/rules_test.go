package log_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/log"
)

// newNode returns node "a" of three voters, with entries of the given terms after
// the bootstrap snapshot.
func newNode(hard log.HardState, mutations log.Mutation, terms ...uint64) *log.Node {
	n := newNodeWith(log.NewMembership("a", "b", "c"), hard, terms...)
	n.SetMutations(mutations)
	return n
}

// newNodeWith returns node "a", whose data directory has identity 1, with the given
// members and entries of the given terms after the bootstrap snapshot.
func newNodeWith(members log.Membership, hard log.HardState, terms ...uint64) *log.Node {
	stored := log.Stored{Hard: hard, Snapshot: log.BootstrapSnapshot(members)}
	for i, term := range terms {
		stored.Entries = append(stored.Entries, log.Entry{Index: uint64(i) + 2, Term: term, Kind: log.Noop})
	}
	return log.New(epoch, log.Options{Self: "a", Identity: 1, Stored: stored, Random: rand.New(rand.NewPCG(1, 1)), Lease: lease})
}

// sentMessages returns the sent messages of the given kind, and the last Persist.
func sentMessages(actions []log.Action, kind log.MessageKind) (list []log.Message, p log.Persist) {
	for _, a := range actions {
		switch a := a.(type) {
		case log.Send:
			if a.Message.Kind == kind {
				list = append(list, a.Message)
			}
		case log.Persist:
			p = a
		}
	}
	return list, p
}

func receive(n *log.Node, now time.Time, m log.Message) []log.Action {
	m.To = "a"
	return n.Step(now, log.Receive{Message: m})
}

// Guards against a second vote in the same term after a restart.
func TestVoteSurvivesRestart(t *testing.T) {
	for name, c := range map[string]struct {
		mutation log.Mutation
		votes    int
	}{
		"all rules applied":     {0, 0},
		"vote is not persisted": {log.SkipVoteWrite, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			later := epoch.Add(2 * lease)
			n := newNode(log.HardState{Term: 2}, c.mutation, 2)
			out := receive(n, later, log.Message{Kind: log.VoteRequest, From: "b", Term: 3, Index: 2, LogTerm: 2})
			votes, p := sentMessages(out, log.VoteReply)
			is.Equal(len(votes), 0) // sent only after the vote is synced
			votes, _ = sentMessages(n.Step(later, log.Synced{Sequence: p.Sequence}), log.VoteReply)
			is.Equal(len(votes), 1)

			n = newNode(*p.Hard, c.mutation, 2)
			out = receive(n, later, log.Message{Kind: log.VoteRequest, From: "c", Term: 3, Index: 2, LogTerm: 2})
			_, p = sentMessages(out, log.VoteReply)
			out = append(out, n.Step(later, log.Synced{Sequence: p.Sequence})...)
			granted := 0
			replies, _ := sentMessages(out, log.VoteReply)
			for _, m := range replies {
				if !m.Reject {
					granted++
				}
			}
			is.Equal(granted, c.votes)
		})
	}
}

// Guards against committing an entry of an earlier term because a quorum has it: a
// later leader may still replace it.
func TestCommitsOnlyCurrentTerm(t *testing.T) {
	for name, c := range map[string]struct {
		mutation log.Mutation
		commit   uint64
	}{
		"all rules applied":                   {0, 1},
		"old terms are committed by counting": {log.CommitAnyTerm, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNode(log.HardState{Term: 3}, c.mutation, 2, 2)
			now := n.NextTick().Add(lease)
			n.Step(now, log.Tick{})
			out := receive(n, now, log.Message{Kind: log.PreVoteReply, From: "b", Term: 4})
			_, p := sentMessages(out, log.VoteRequest)
			n.Step(now, log.Synced{Sequence: p.Sequence})
			receive(n, now, log.Message{Kind: log.VoteReply, From: "b", Term: 4})
			is.Equal(n.LeadingTerm(), uint64(4))
			receive(n, now, log.Message{Kind: log.AppendReply, From: "b", FromIdentity: 2, Term: 4, Index: 3})
			is.Equal(n.Status().Commit, c.commit)
			receive(n, now, log.Message{Kind: log.AppendReply, From: "b", FromIdentity: 2, Term: 4, Index: 4})
			receive(n, now, log.Message{Kind: log.AppendReply, From: "c", FromIdentity: 3, Term: 4, Index: 4})
			is.Equal(n.Status().Commit, uint64(4))
		})
	}
}

// Guards against votes and pre-votes for another candidate while a granted lease
// runs, also right after a restart.
func TestLeaseGrantBlocksVotes(t *testing.T) {
	for name, c := range map[string]struct {
		mutation log.Mutation
		kind     log.MessageKind
		reply    log.MessageKind
		want     int
	}{
		"vote":                        {0, log.VoteRequest, log.VoteReply, 0},
		"pre-vote":                    {0, log.PreVoteRequest, log.PreVoteReply, 0},
		"vote, grant forgotten":       {log.ForgetLeaseGrant, log.VoteRequest, log.VoteReply, 1},
		"vote, grant ignored":         {log.IgnoreLeaseGrant, log.VoteRequest, log.VoteReply, 1},
		"pre-vote, lease not checked": {log.PreVoteIgnoresLease, log.PreVoteRequest, log.PreVoteReply, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNode(log.HardState{Term: 2}, c.mutation, 2)
			m := log.Message{Kind: c.kind, From: "b", Term: 3, Index: 2, LogTerm: 2}
			out := receive(n, epoch.Add(lease-1), m)
			_, p := sentMessages(out, c.reply)
			if p.Sequence > 0 {
				out = append(out, n.Step(epoch.Add(lease-1), log.Synced{Sequence: p.Sequence})...)
			}
			replies, _ := sentMessages(out, c.reply)
			is.Equal(len(replies), c.want)
			is.Equal(n.Status().Term == 3, c.want == 1 && c.kind == log.VoteRequest)
		})
	}
}

// Guards against a received snapshot that removes the entries after it: they may
// have been acknowledged and committed.
func TestSnapshotKeepsLaterEntries(t *testing.T) {
	is := is.New(t)
	n := newNode(log.HardState{Term: 2}, 0, 2, 2, 2)
	out := receive(n, epoch, log.Message{Kind: log.SnapshotChunk, From: "b", Term: 2, Index: 3, LogTerm: 2, Members: log.NewMembership("a", "b", "c")})
	is.Equal(n.LastIndex(), uint64(4))
	is.Equal(n.Status().Commit, uint64(3))
	replies, _ := sentMessages(out, log.AppendReply)
	is.Equal(len(replies), 1)
	is.Equal(replies[0].Index, uint64(3))
}

// Guards against a leadership transfer that waits for lease grants or the longest
// action to end, which would make it as slow as a failover, and against a leader
// that keeps its lease or accepts proposals during a transfer.
func TestLeadershipTransfer(t *testing.T) {
	is := is.New(t)
	now := epoch.Add(lease / 2) // while a grant from before the restart may still run
	n := newNode(log.HardState{Term: 2}, 0, 2)
	receive(n, now, log.Message{Kind: log.Heartbeat, From: "b", Term: 2, Sequence: 1})

	vote := log.Message{Kind: log.VoteRequest, From: "c", Term: 3, Index: 2, LogTerm: 2}
	out, _ := sentMessages(receive(n, now, vote), log.VoteReply)
	is.Equal(len(out), 0) // the lease granted to b still runs

	actions := receive(n, now, log.Message{Kind: log.TimeoutNow, From: "b", Term: 2})
	_, p := sentMessages(actions, log.VoteRequest)
	out, _ = sentMessages(n.Step(now, log.Synced{Sequence: p.Sequence}), log.VoteRequest)
	is.Equal(len(out), 2)
	is.Equal(out[0].Sequence, uint64(2)) // term of the leader that gave up its lease
	_, p = sentMessages(receive(n, now, log.Message{Kind: log.VoteReply, From: "b", FromIdentity: 2, Term: 3}), log.Append)
	n.Step(now, log.Synced{Sequence: p.Sequence})
	receive(n, now, log.Message{Kind: log.HeartbeatReply, From: "b", FromIdentity: 2, Term: 3, Sequence: 1})
	receive(n, now, log.Message{Kind: log.AppendReply, From: "b", FromIdentity: 2, Term: 3, Index: 3})
	is.True(n.Lease().Held(now)) // without waiting

	out, _ = sentMessages(n.Step(now, log.TransferLeadership{ID: 7}), log.TimeoutNow)
	is.Equal(len(out), 0) // the directory identities are not replicated yet
	last := n.LastIndex()
	out, _ = sentMessages(receive(n, now, log.Message{Kind: log.AppendReply, From: "b", FromIdentity: 2, Term: 3, Index: last}), log.TimeoutNow)
	is.Equal(len(out), 1)
	is.Equal(out[0].To, fleet.Host("b")) // c has not acknowledged the last entry
	is.True(!n.Lease().Held(now))
	is.Equal(n.Step(now, log.Propose{Proposals: []log.Proposal{{ID: 8}}}),
		[]log.Action{log.Decided{ID: 8, Outcome: log.NotCommitted, Reason: log.TransferInProgress}})

	vote = log.Message{Kind: log.VoteRequest, From: "b", FromIdentity: 2, Term: 4, Index: last, LogTerm: 3, Sequence: 3}
	actions = receive(n, now, vote)
	is.Equal(n.LeadingTerm(), uint64(0))
	is.True(slices.Contains(actions, log.Action(log.TransferEnded{ID: 7})))
	_, p = sentMessages(actions, log.VoteReply)
	out, _ = sentMessages(n.Step(now, log.Synced{Sequence: p.Sequence}), log.VoteReply)
	is.Equal(len(out), 1)
	is.True(!out[0].Reject)
}

// Guards against large entries that are kept below a snapshot because their number is
// small: they take space on the disk twice while the log is rewritten.
func TestRetainedEntriesAreBoundedInBytes(t *testing.T) {
	const entrySize = 100_000
	for name, c := range map[string]struct {
		retain      uint64
		retainBytes int
		want        int // entries up to the index of the snapshot
	}{
		"bytes reached first":   {retain: 8, retainBytes: 350_000, want: 3},
		"entries reached first": {retain: 2, retainBytes: 350_000, want: 2},
		"one entry too large":   {retain: 8, retainBytes: entrySize, want: 0},
		"all fit":               {retain: 100, retainBytes: 100 * entrySize, want: 10},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			stored := log.Stored{Hard: log.HardState{Term: 2}, Snapshot: log.BootstrapSnapshot(log.Membership{{Host: "a", Identity: 1}})}
			for i := range uint64(10) {
				stored.Entries = append(stored.Entries, log.Entry{Index: i + 2, Term: 2, Command: make([]byte, entrySize)})
			}
			n := log.New(epoch, log.Options{
				Self: "a", Identity: 1, Stored: stored, Random: rand.New(rand.NewPCG(1, 1)), Lease: lease,
				Retain: c.retain, RetainBytes: c.retainBytes,
			})
			now := epoch.Add(4 * lease)
			for sequence := range uint64(4) { // elects the only voter and commits its first entry
				n.Step(now, log.Synced{Sequence: sequence})
			}
			is.Equal(n.Status().Commit, uint64(12))
			_, p := sentMessages(n.Step(now, log.SnapshotTaken{Index: 11}), 0)
			is.True(p.Snapshot != nil)
			is.Equal(len(p.Entries), c.want+1) // and the one after the snapshot
		})
	}
}
