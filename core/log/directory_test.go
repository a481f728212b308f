package log_test

import (
	"encoding/binary"
	"testing"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/log"
	"papayarock/core/quorum"
)

// leader returns the host that holds the lease, or nil.
func (s *sim) leader() *host {
	for _, h := range s.hosts {
		if h.node != nil && h.node.Lease().Held(h.localTime()) {
			return h
		}
	}
	return nil
}

// repairMembership has the leader admit hosts with a new data directory and promote
// them once they have caught up, until the schedule ends.
func (s *sim) repairMembership() {
	s.after(lease/5, s.repairMembership)
	h := s.leader()
	if h == nil {
		return
	}
	request := func(c quorum.Change) {
		s.nextID++
		h.step(log.ChangeMembership{ID: s.nextID, Kind: c.Kind, Host: c.Host})
	}
	members := h.node.CurrentMembers()
	for _, o := range s.hosts {
		if o.node == nil || o == h {
			continue
		}
		join := quorum.JoinRequest{Host: o.name, Identity: o.identity}
		if c, needed := quorum.NextJoinChange(members, join, h.node.Status().Peers[o.name].Identity, false); needed {
			request(c)
			return
		}
	}
	for _, m := range members {
		if m.Learner {
			request(quorum.Change{Kind: log.Promote, Host: m.Host})
			return
		}
	}
}

// allVoters reports whether a leader counts every host as a voter with its current
// data directory, and all hosts have applied every committed entry.
func (s *sim) allVoters() bool {
	h := s.leader()
	if h == nil {
		return false
	}
	for _, o := range s.hosts {
		m, ok := h.node.CurrentMembers().Find(o.name)
		if !ok || m.Learner || m.Identity != o.identity || o.node == nil || o.lastApplied != s.maxApplied {
			return false
		}
	}
	return true
}

// loseDirectory restarts h with an empty data directory.
func (s *sim) loseDirectory(h *host) {
	s.crash(h)
	h.disk = log.Stored{}
	h.identity = log.DirectoryID(s.rng.Uint64() | 1)
}

// Guards against a replica with a new data directory that ignores its leader, because
// the membership in the snapshot that it received is older than the replacement of the
// leader's own directory.
func TestDirectoriesLostInTurn(t *testing.T) {
	const losses = 6
	for seed := *seedFlag; seed < *seedFlag+50; seed++ {
		s := newSim(seed, 0, directoryFaults)
		s.after(lease, s.repairMembership)
		s.runUntil(4 * lease)
		for range 30 {
			if h := s.leader(); h != nil {
				s.nextID++
				h.step(log.Propose{Proposals: []log.Proposal{{ID: s.nextID, Command: binary.LittleEndian.AppendUint64(nil, s.nextID)}}})
			}
			s.runUntil(s.now + lease/10)
		}
		for loss := range losses + 1 {
			for end := s.now + 30*lease; !s.allVoters() && s.now < end && s.violation == ""; {
				s.runUntil(s.now + lease/10)
			}
			if !s.allVoters() || s.violation != "" {
				t.Fatalf("run with -run=%s -seed=%d: after %d lost directories not all hosts are voters again; %s", t.Name(), seed, loss, s.violation)
			}
			if loss < losses {
				s.loseDirectory(s.leader())
			}
		}
	}
}

// Guards against a member that missed the replacement of another member's data
// directory and then ignores that member as leader or candidate, or sends it replies
// that are addressed to the lost directory.
func TestReplacedDirectoryLeads(t *testing.T) {
	members := log.Membership{{Host: "a", Identity: 1}, {Host: "b", Identity: 2}, {Host: "c", Identity: 3}}
	const replaced = 9 // identity of the new directory of b
	for name, c := range map[string]struct {
		message log.Message
		reply   log.MessageKind // zero if the message must be ignored
	}{
		"heartbeat":                  {log.Message{Kind: log.Heartbeat, Term: 3}, log.HeartbeatReply},
		"append":                     {log.Message{Kind: log.Append, Term: 3, Index: 4, LogTerm: 2}, log.AppendReply},
		"append with a gap":          {log.Message{Kind: log.Append, Term: 3, Index: 9, LogTerm: 3}, log.AppendReply},
		"snapshot":                   {log.Message{Kind: log.SnapshotChunk, Term: 3, Index: 9, LogTerm: 3, Members: members, Total: 1}, log.SnapshotChunkReply},
		"candidate with a newer log": {log.Message{Kind: log.VoteRequest, Term: 3, Index: 9, LogTerm: 2}, log.VoteReply},
		"pre-vote with a newer log":  {log.Message{Kind: log.PreVoteRequest, Term: 3, Index: 9, LogTerm: 2}, log.PreVoteReply},
		"candidate with an old log":  {log.Message{Kind: log.VoteRequest, Term: 3, Index: 2, LogTerm: 2}, 0},
		"pre-vote with an old log":   {log.Message{Kind: log.PreVoteRequest, Term: 3, Index: 2, LogTerm: 2}, 0},
		"vote":                       {log.Message{Kind: log.VoteReply, Term: 3}, 0},
		"append reply":               {log.Message{Kind: log.AppendReply, Term: 3, Index: 4}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNodeWith(members, log.HardState{Term: 2}, 2, 2, 2)
			c.message.From, c.message.FromIdentity, c.message.ToIdentity = "b", replaced, 1
			var sent []log.Message
			for _, a := range receive(n, epoch.Add(2*lease), c.message) {
				switch a := a.(type) {
				case log.Send:
					sent = append(sent, a.Message)
				case log.Persist:
					for _, a := range n.Step(epoch.Add(2*lease), log.Synced{Sequence: a.Sequence}) {
						if m, ok := a.(log.Send); ok {
							sent = append(sent, m.Message)
						}
					}
				}
			}
			var replies []log.Message
			for _, m := range sent {
				if m.To == fleet.Host("b") && m.Kind != log.PreVoteRequest {
					replies = append(replies, m)
				}
			}
			if c.reply == 0 {
				is.Equal(len(replies), 0)
				is.Equal(n.Status().Term, uint64(2)) // an ignored message does not change the term
				return
			}
			is.Equal(len(replies), 1)
			is.Equal(replies[0].Kind, c.reply)
			is.Equal(replies[0].ToIdentity, log.DirectoryID(replaced))
		})
	}
}

// Guards against a replica that reads through its leader under the identity of the
// leader's lost directory, so that the leader ignores the request.
func TestReadThroughReplacedLeader(t *testing.T) {
	is := is.New(t)
	members := log.Membership{{Host: "a", Identity: 1}, {Host: "b", Identity: 2}, {Host: "c", Identity: 3}}
	n := newNodeWith(members, log.HardState{Term: 2}, 2)
	receive(n, epoch, log.Message{Kind: log.Heartbeat, From: "b", FromIdentity: 9, Term: 2, Commit: 2})
	out := n.Step(epoch, log.Read{ID: 7})
	requests, _ := sentMessages(out, log.ReadIndex)
	is.Equal(len(requests), 1)
	is.Equal(requests[0].ToIdentity, log.DirectoryID(9))
	out = receive(n, epoch, log.Message{Kind: log.ReadIndexReply, From: "b", FromIdentity: 9, Term: 2, Sequence: 7, Index: 2})
	is.Equal(out, []log.Action{log.ReadReady{ID: 7, Index: 2}})
}
