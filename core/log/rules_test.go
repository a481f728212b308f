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

// newNode returns node "a" of three voters with entries of the given terms
// after the bootstrap snapshot.
func newNode(hard log.HardState, weak log.Weakness, terms ...uint64) *log.Node {
	stored := log.Stored{Hard: hard, Snapshot: log.Bootstrap(log.Voters("a", "b", "c"))}
	for i, term := range terms {
		stored.Entries = append(stored.Entries, log.Entry{Index: uint64(i) + 2, Term: term, Kind: log.Noop})
	}
	n := log.New(epoch, log.Options{Self: "a", Identity: 1, Stored: stored, Random: rand.New(rand.NewPCG(1, 1)), Lease: lease})
	n.Weaken(weak)
	return n
}

// sent returns the messages of a kind in actions, and the last Persist.
func sent(actions []log.Action, kind log.MessageKind) (list []log.Message, p log.Persist) {
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

// Guards against a second vote in one term after a restart.
func TestVoteOutlivesRestart(t *testing.T) {
	for name, c := range map[string]struct {
		weak  log.Weakness
		votes int
	}{
		"as published":          {0, 0},
		"vote is not persisted": {log.ForgetVote, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			later := epoch.Add(2 * lease)
			n := newNode(log.HardState{Term: 2}, c.weak, 2)
			out := receive(n, later, log.Message{Kind: log.Vote, From: "b", Term: 3, Index: 2, LogTerm: 2})
			votes, p := sent(out, log.VoteReply)
			is.Equal(len(votes), 0) // held back until the vote is synced
			votes, _ = sent(n.Step(later, log.Synced{Sequence: p.Sequence}), log.VoteReply)
			is.Equal(len(votes), 1)

			n = newNode(*p.Hard, c.weak, 2)
			out = receive(n, later, log.Message{Kind: log.Vote, From: "c", Term: 3, Index: 2, LogTerm: 2})
			_, p = sent(out, log.VoteReply)
			out = append(out, n.Step(later, log.Synced{Sequence: p.Sequence})...)
			granted := 0
			replies, _ := sent(out, log.VoteReply)
			for _, m := range replies {
				if !m.Reject {
					granted++
				}
			}
			is.Equal(granted, c.votes)
		})
	}
}

// Guards against committing an entry of an older term because a quorum holds
// it: a later leader may still replace it.
func TestCommitsOnlyOwnTerm(t *testing.T) {
	for name, c := range map[string]struct {
		weak   log.Weakness
		commit uint64
	}{
		"as published":                        {0, 1},
		"old terms are committed by counting": {log.CommitAnyTerm, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNode(log.HardState{Term: 3}, c.weak, 2, 2)
			now := n.Wake().Add(lease)
			n.Step(now, log.Tick{})
			out := receive(n, now, log.Message{Kind: log.PreVoteReply, From: "b", Term: 4})
			_, p := sent(out, log.Vote)
			n.Step(now, log.Synced{Sequence: p.Sequence})
			receive(n, now, log.Message{Kind: log.VoteReply, From: "b", Term: 4})
			is.Equal(n.Leads(), uint64(4))
			receive(n, now, log.Message{Kind: log.AppendReply, From: "b", FromIdentity: 2, Term: 4, Index: 3})
			is.Equal(n.Status().Commit, c.commit)
			receive(n, now, log.Message{Kind: log.AppendReply, From: "b", FromIdentity: 2, Term: 4, Index: 4})
			receive(n, now, log.Message{Kind: log.AppendReply, From: "c", FromIdentity: 3, Term: 4, Index: 4})
			is.Equal(n.Status().Commit, uint64(4))
		})
	}
}

// Guards against help for another candidate during a lease, also right after a
// restart, and against a pre-vote that would call such an election.
func TestPromiseHoldsBackVotes(t *testing.T) {
	for name, c := range map[string]struct {
		weak  log.Weakness
		kind  log.MessageKind
		reply log.MessageKind
		want  int
	}{
		"vote":                        {0, log.Vote, log.VoteReply, 0},
		"pre-vote":                    {0, log.PreVote, log.PreVoteReply, 0},
		"vote, promise forgotten":     {log.ForgetPromise, log.Vote, log.VoteReply, 1},
		"vote, promise broken":        {log.BreakPromise, log.Vote, log.VoteReply, 1},
		"pre-vote, lease not checked": {log.PreVoteIgnoresLease, log.PreVote, log.PreVoteReply, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNode(log.HardState{Term: 2}, c.weak, 2)
			m := log.Message{Kind: c.kind, From: "b", Term: 3, Index: 2, LogTerm: 2}
			out := receive(n, epoch.Add(lease-1), m)
			_, p := sent(out, c.reply)
			if p.Sequence > 0 {
				out = append(out, n.Step(epoch.Add(lease-1), log.Synced{Sequence: p.Sequence})...)
			}
			replies, _ := sent(out, c.reply)
			is.Equal(len(replies), c.want)
			is.Equal(n.Status().Term == 3, c.want == 1 && c.kind == log.Vote)
		})
	}
}

// Guards against a snapshot that removes entries after it: they may have been
// acknowledged and committed.
func TestSnapshotKeepsLaterEntries(t *testing.T) {
	is := is.New(t)
	n := newNode(log.HardState{Term: 2}, 0, 2, 2, 2)
	out := receive(n, epoch, log.Message{Kind: log.Chunk, From: "b", Term: 2, Index: 3, LogTerm: 2, Members: log.Voters("a", "b", "c")})
	is.Equal(n.Last(), uint64(4))
	is.Equal(n.Status().Commit, uint64(3))
	replies, _ := sent(out, log.AppendReply)
	is.Equal(len(replies), 1)
	is.Equal(replies[0].Index, uint64(3))
}

// Guards against a hand-over that waits for the end of promises or of the
// longest action, which would make it as slow as a failure, and against
// proposals and a lease after it.
func TestHandOver(t *testing.T) {
	is := is.New(t)
	now := epoch.Add(lease / 2) // within the promise that a restart has to assume
	n := newNode(log.HardState{Term: 2}, 0, 2)
	receive(n, now, log.Message{Kind: log.Heartbeat, From: "b", Term: 2, Sequence: 1})

	vote := log.Message{Kind: log.Vote, From: "c", Term: 3, Index: 2, LogTerm: 2}
	out, _ := sent(receive(n, now, vote), log.VoteReply)
	is.Equal(len(out), 0) // the promise to b holds

	actions := receive(n, now, log.Message{Kind: log.Stand, From: "b", Term: 2})
	_, p := sent(actions, log.Vote)
	out, _ = sent(n.Step(now, log.Synced{Sequence: p.Sequence}), log.Vote)
	is.Equal(len(out), 2)
	is.Equal(out[0].Sequence, uint64(2)) // the term whose lease was given up
	_, p = sent(receive(n, now, log.Message{Kind: log.VoteReply, From: "b", FromIdentity: 2, Term: 3}), log.Append)
	n.Step(now, log.Synced{Sequence: p.Sequence})
	receive(n, now, log.Message{Kind: log.HeartbeatReply, From: "b", FromIdentity: 2, Term: 3, Sequence: 1})
	receive(n, now, log.Message{Kind: log.AppendReply, From: "b", FromIdentity: 2, Term: 3, Index: 3})
	is.True(n.Lease().Held(now)) // at once

	out, _ = sent(n.Step(now, log.HandOver{ID: 7}), log.Stand)
	is.Equal(len(out), 0) // the identities of the directories are not replicated yet
	last := n.Last()
	out, _ = sent(receive(n, now, log.Message{Kind: log.AppendReply, From: "b", FromIdentity: 2, Term: 3, Index: last}), log.Stand)
	is.Equal(len(out), 1)
	is.Equal(out[0].To, fleet.Host("b")) // c has not confirmed the last entry
	is.True(!n.Lease().Held(now))
	is.Equal(n.Step(now, log.Propose{Proposals: []log.Proposal{{ID: 8}}}),
		[]log.Action{log.Decided{ID: 8, Outcome: log.NotCommitted, Reason: log.HandingOver}})

	vote = log.Message{Kind: log.Vote, From: "b", FromIdentity: 2, Term: 4, Index: last, LogTerm: 3, Sequence: 3}
	actions = receive(n, now, vote)
	is.Equal(n.Leads(), uint64(0))
	is.True(slices.Contains(actions, log.Action(log.HandedOver{ID: 7})))
	_, p = sent(actions, log.VoteReply)
	out, _ = sent(n.Step(now, log.Synced{Sequence: p.Sequence}), log.VoteReply)
	is.Equal(len(out), 1)
	is.True(!out[0].Reject)
}
