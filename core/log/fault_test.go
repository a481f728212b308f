package log_test

import (
	"encoding/binary"
	"time"

	"papayarock/core/log"
)

// propose sends commands, reads and membership changes to some host, most
// often to a leader, and arranges the next.
func (s *sim) propose() {
	if s.quiet {
		return
	}
	interval := lease / 2
	if s.aim == sharp {
		interval = 4 * lease
	}
	s.after(s.upTo(interval), s.propose)
	h := s.hosts[s.r.IntN(len(s.hosts))]
	for _, x := range s.hosts {
		if x.node != nil && x.node.Leads() != 0 && s.r.IntN(4) > 0 {
			h = x
		}
	}
	if h.node == nil {
		return
	}
	s.nextID++
	switch s.r.IntN(8) {
	case 0, 1:
		h.reads[s.nextID] = s.top
		h.step(log.Read{ID: s.nextID})
	case 2:
		if s.aim == broad {
			s.changeMembers(h)
		}
	default:
		var p log.Propose
		for range 1 + s.r.IntN(4) {
			s.nextID++
			p.Proposals = append(p.Proposals, log.Proposal{ID: s.nextID, Command: binary.LittleEndian.AppendUint64(nil, s.nextID)})
		}
		h.step(p)
	}
}

func (s *sim) changeMembers(h *host) {
	for range 1 + s.r.IntN(2) {
		s.nextID++
		o := s.hosts[s.r.IntN(len(s.hosts))]
		kind := log.Remove
		switch x, ok := h.node.Current().Find(o.name); {
		case !ok:
			kind = log.AddLearner
		case x.Learner:
			kind = log.Promote
		case h.node.Current().Quorum() < 2 || (s.r.IntN(3) > 0 && !s.isolated(o)):
			continue
		}
		h.step(log.Change{ID: s.nextID, Kind: kind, Host: o.name})
	}
}

func (s *sim) isolated(h *host) bool { return h.node == nil || h.paused > s.now }

// fault injects one fault and arranges the next.
func (s *sim) fault() {
	if s.quiet {
		return
	}
	interval := 2 * lease
	if s.aim == sharp {
		interval = 8 * lease
	}
	s.after(s.upTo(interval), s.fault)
	h := s.hosts[s.r.IntN(len(s.hosts))]
	if s.aim == sharp || s.r.IntN(2) == 0 {
		for _, x := range s.hosts {
			if x.node != nil && x.node.Leads() != 0 {
				h = x
			}
		}
	}
	o := s.hosts[s.r.IntN(len(s.hosts))]
	long := s.pick(lease/4, lease, 2*lease, 6*lease)
	kind := s.r.IntN(11)
	if s.aim == sharp {
		kind = 9 + s.r.IntN(2)
		o = s.hosts[(h.index+1+s.r.IntN(len(s.hosts)-1))%len(s.hosts)]
	}
	switch kind {
	case 0, 1:
		s.crash(h)
	case 2: // two at once
		s.crash(h)
		s.crash(o)
	case 3:
		h.paused = max(h.paused, s.now+s.upTo(long))
	case 4: // one way
		s.partition(long, [2]int{h.index, o.index})
	case 5: // cannot hear
		s.partition(long, s.links(h, false)...)
	case 6: // cannot speak
		s.partition(long, s.links(h, true)...)
	case 7: // isolated
		s.partition(long, append(s.links(h, true), s.links(h, false)...)...)
	case 8:
		s.wipe(h)
	case 9: // one host does not hear h while the others restart
		s.partition(6*lease, [2]int{h.index, o.index}, [2]int{o.index, h.index})
		for range 8 {
			x := s.hosts[s.r.IntN(len(s.hosts))]
			s.after(s.upTo(4*lease), func() {
				if x != h && x != o {
					s.crash(x)
				}
			})
		}
	case 10: // a partition that widens
		s.partition(6*lease, [2]int{h.index, o.index}, [2]int{o.index, h.index})
		s.after(lease+s.upTo(2*lease), func() {
			s.partition(3*lease, append(s.links(h, true), s.links(h, false)...)...)
		})
	}
}

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

// partition cuts links for at most d.
func (s *sim) partition(d time.Duration, links ...[2]int) { s.cutFor(s.upTo(d), links...) }

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

// crash loses the writes that are not synced, but for some first ones.
func (s *sim) crash(h *host) {
	if h.node == nil {
		return
	}
	kept := s.r.IntN(len(h.pending) + 1)
	for _, p := range h.pending[:kept] {
		h.write(p)
	}
	h.node, h.pending = nil, nil
	h.paused = 0
	s.after(s.upTo(s.pick(lease/100, lease/4, 3*lease)), func() {
		if h.node == nil {
			h.start()
		}
	})
}

// wipe replaces the directory of h, once per schedule and only after every host
// knows the identities of the voters: more lost directories than a minority
// would lose committed entries by any algorithm.
func (s *sim) wipe(h *host) {
	if s.wiped || h.node == nil {
		return
	}
	for _, o := range s.hosts {
		if o.node == nil {
			return
		}
		for _, x := range o.node.Current() {
			if !x.Learner && x.Identity == 0 {
				return
			}
		}
	}
	s.wiped = true
	s.crash(h)
	old := h.disk.Snapshot
	h.disk = log.Stored{}
	if s.r.IntN(2) == 0 && old.Index > 0 {
		// The settings still name the first voters.
		h.disk.Snapshot = log.Bootstrap(log.Voters("a", "b", "c"))
		h.disk.Hard.Term = 1
	}
	h.identity = log.Identity(s.r.Uint64() | 1)
}
