package log_test

import (
	"encoding/binary"
	"time"

	"papayarock/core/log"
)

// sendRequest sends commands, a read or membership changes to one host, mostly
// to a leader, and schedules the next request.
func (s *sim) sendRequest() {
	if s.settling {
		return
	}
	interval := lease / 2
	if s.kind == leaseFaults {
		interval = 4 * lease
	}
	s.after(s.randomUpTo(interval), s.sendRequest)
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	for _, x := range s.hosts {
		if x.node != nil && x.node.LeadingTerm() != 0 && s.rng.IntN(4) > 0 {
			h = x
		}
	}
	if h.node == nil {
		return
	}
	s.nextID++
	switch s.rng.IntN(8) {
	case 0, 1:
		h.reads[s.nextID] = s.maxApplied
		h.step(log.Read{ID: s.nextID})
	case 2:
		if s.kind == generalFaults {
			s.changeMembers(h)
		}
	default:
		var p log.Propose
		for range 1 + s.rng.IntN(4) {
			s.nextID++
			p.Proposals = append(p.Proposals, log.Proposal{ID: s.nextID, Command: binary.LittleEndian.AppendUint64(nil, s.nextID)})
		}
		h.step(p)
	}
}

// changeMembers requests one or two random membership changes at h.
func (s *sim) changeMembers(h *host) {
	for range 1 + s.rng.IntN(2) {
		s.nextID++
		o := s.hosts[s.rng.IntN(len(s.hosts))]
		kind := log.Remove
		switch x, ok := h.node.CurrentMembers().Find(o.name); {
		case !ok:
			kind = log.AddLearner
		case x.Learner:
			kind = log.Promote
		case h.node.CurrentMembers().Quorum() < 2 || (s.rng.IntN(3) > 0 && !s.unavailable(o)):
			continue
		}
		h.step(log.ChangeMembership{ID: s.nextID, Kind: kind, Host: o.name})
	}
}

func (s *sim) unavailable(h *host) bool { return h.node == nil || h.pausedUntil > s.now }

// injectFault injects one fault and schedules the next.
func (s *sim) injectFault() {
	if s.settling {
		return
	}
	interval := 2 * lease
	if s.kind == leaseFaults {
		interval = 8 * lease
	}
	s.after(s.randomUpTo(interval), s.injectFault)
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	if s.kind == leaseFaults || s.rng.IntN(2) == 0 {
		for _, x := range s.hosts {
			if x.node != nil && x.node.LeadingTerm() != 0 {
				h = x
			}
		}
	}
	o := s.hosts[s.rng.IntN(len(s.hosts))]
	long := s.oneOf(lease/4, lease, 2*lease, 6*lease)
	kind := s.rng.IntN(11)
	if s.kind == leaseFaults {
		kind = 9 + s.rng.IntN(2)
		o = s.hosts[(h.index+1+s.rng.IntN(len(s.hosts)-1))%len(s.hosts)]
	}
	switch kind {
	case 0, 1:
		s.crash(h)
	case 2: // two at once
		s.crash(h)
		s.crash(o)
	case 3:
		h.pausedUntil = max(h.pausedUntil, s.now+s.randomUpTo(long))
	case 4: // one direction of one link
		s.cutUpTo(long, [2]int{h.index, o.index})
	case 5: // receives nothing
		s.cutUpTo(long, s.links(h, false)...)
	case 6: // sends nothing
		s.cutUpTo(long, s.links(h, true)...)
	case 7: // neither sends nor receives
		s.cutUpTo(long, append(s.links(h, true), s.links(h, false)...)...)
	case 8:
		s.replaceDirectory(h)
	case 9: // h and one other host are cut off from each other while the rest restart
		s.cutUpTo(6*lease, [2]int{h.index, o.index}, [2]int{o.index, h.index})
		for range 8 {
			x := s.hosts[s.rng.IntN(len(s.hosts))]
			s.after(s.randomUpTo(4*lease), func() {
				if x != h && x != o {
					s.crash(x)
				}
			})
		}
	case 10: // a cut between two hosts that grows to all links of h
		s.cutUpTo(6*lease, [2]int{h.index, o.index}, [2]int{o.index, h.index})
		s.after(lease+s.randomUpTo(2*lease), func() {
			s.cutUpTo(3*lease, append(s.links(h, true), s.links(h, false)...)...)
		})
	}
}

// links returns the links from h to all other hosts if out is set, and those from
// all other hosts to h otherwise.
func (s *sim) links(h *host, out bool) [][2]int {
	var list [][2]int
	for _, o := range s.hosts {
		if o != h && out {
			list = append(list, [2]int{h.index, o.index})
		} else if o != h {
			list = append(list, [2]int{o.index, h.index})
		}
	}
	return list
}

// cutUpTo cuts links for a random time of at most d.
func (s *sim) cutUpTo(d time.Duration, links ...[2]int) { s.cutFor(s.randomUpTo(d), links...) }

// cutFor cuts links for d. If cuts of a link overlap, the one that ends first restores
// the link.
func (s *sim) cutFor(d time.Duration, links ...[2]int) {
	for _, l := range links {
		s.cut[l] = true
	}
	s.after(d, func() {
		for _, l := range links {
			delete(s.cut, l)
		}
	})
}

// crash stops h and discards its unsynced writes except for a random prefix. The
// host restarts later.
func (s *sim) crash(h *host) {
	if h.node == nil {
		return
	}
	kept := s.rng.IntN(len(h.unsynced) + 1)
	for _, p := range h.unsynced[:kept] {
		h.write(p)
	}
	h.node, h.unsynced = nil, nil
	h.pausedUntil = 0
	s.after(s.randomUpTo(s.oneOf(lease/100, lease/4, 3*lease)), func() {
		if h.node == nil {
			h.start()
		}
	})
}

// replaceDirectory replaces the data directory of h. It does so at most once per
// schedule, since any algorithm would lose committed entries if more than a minority
// lost their directories, and only after every host knows the identities of the
// voters.
func (s *sim) replaceDirectory(h *host) {
	if s.directoryLost || h.node == nil {
		return
	}
	for _, o := range s.hosts {
		if o.node == nil {
			return
		}
		for _, x := range o.node.CurrentMembers() {
			if !x.Learner && x.Identity == 0 {
				return
			}
		}
	}
	s.directoryLost = true
	s.crash(h)
	old := h.disk.Snapshot
	h.disk = log.Stored{}
	if s.rng.IntN(2) == 0 && old.Index > 0 {
		// As if the settings still named the initial voters.
		h.disk.Snapshot = log.BootstrapSnapshot(log.NewMembership("a", "b", "c"))
		h.disk.Hard.Term = 1
	}
	h.identity = log.DirectoryID(s.rng.Uint64() | 1)
}
