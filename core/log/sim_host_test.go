package log_test

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayarock/core/fleet"
	"papayarock/core/log"
)

type host struct {
	s         *sim
	index     int
	name      fleet.Host
	rate      float64
	identity  log.Identity
	node      *log.Node     // nil while down
	life      int           // counts starts
	tick      time.Duration // of the next tick
	paused    time.Duration
	disk      log.Stored
	pending   []log.Persist
	slow      time.Duration // longest sync
	digest    uint64
	at        uint64 // index of the last applied entry
	snap      uint64
	actionEnd time.Duration // end of the last action begun under a lease
	idle      bool          // begins no action, since it hands over
	led       uint64        // last term seen to be led
	reads     map[uint64]uint64
}

// local returns the time on h's clock.
func (h *host) local() time.Time {
	return epoch.Add(time.Duration(h.index) * time.Hour).Add(time.Duration(float64(h.s.now) * h.rate))
}

func (h *host) start() {
	h.life++
	h.tick = 0
	o := h.s.opts
	o.Self, o.Identity, o.Random = h.name, h.identity, rand.New(rand.NewPCG(h.s.r.Uint64(), 2))
	o.Stored = log.Stored{Hard: h.disk.Hard, Snapshot: h.disk.Snapshot, Entries: slices.Clone(h.disk.Entries)}
	h.node = log.New(h.local(), o)
	h.node.Weaken(h.s.weak)
	h.pending, h.idle = nil, false
	h.reads = make(map[uint64]uint64)
	h.restore(h.disk.Snapshot)
	h.schedule()
}

func (h *host) restore(s log.Snapshot) {
	h.at, h.snap, h.digest = s.Index, s.Index, 0
	if len(s.Data) > 0 {
		h.digest = binary.LittleEndian.Uint64(s.Data)
	}
	if want, ok := h.s.chain[s.Index]; ok && want.digest != h.digest {
		h.s.fail("host %s restores another state at %d", h.name, s.Index)
	}
}

// schedule arranges a tick at the time the node asks for, unless an earlier one
// is arranged already.
func (h *host) schedule() {
	wait := time.Duration(float64(h.node.Wake().Sub(h.local())) / h.rate)
	at := h.s.now + max(wait, 0)
	if h.tick > h.s.now && h.tick <= at {
		return
	}
	at += h.s.upTo(lease / 50)
	h.tick = at
	life := h.life
	h.s.after(at-h.s.now, func() {
		if h.life == life && h.node != nil && h.tick == at {
			h.step(log.Tick{})
			h.schedule()
		}
	})
}

// step runs ev now, or when the pause of the host ends.
func (h *host) step(ev log.Event) {
	if h.node == nil {
		return
	}
	if h.paused > h.s.now {
		life := h.life
		h.s.after(h.paused-h.s.now+h.s.upTo(time.Millisecond), func() {
			if h.life == life {
				h.step(ev)
			}
		})
		return
	}
	for _, a := range h.node.Step(h.local(), ev) {
		h.act(a)
	}
	h.schedule()
	if h.at >= h.snap+10 && h.s.r.IntN(4) == 0 {
		h.snap = h.at
		h.step(log.Snapshotted{Index: h.at, Data: binary.LittleEndian.AppendUint64(nil, h.digest)})
	}
}

func (h *host) act(a log.Action) {
	switch a := a.(type) {
	case log.Persist:
		h.pending = append(h.pending, a)
		life := h.life
		h.s.after(h.s.upTo(h.slow), func() {
			if h.life == life && h.node != nil {
				h.sync(a.Sequence)
			}
		})
	case log.Send:
		h.send(a.Message)
	case log.Apply:
		for _, e := range a.Entries {
			h.apply(e)
		}
	case log.Restore:
		h.restore(a.Snapshot)
	case log.Decided:
		h.decided(a)
	case log.HandedOver:
		h.idle = false
	case log.ReadReady:
		if want := h.reads[a.ID]; a.Index < want || h.at < want {
			h.s.fail("host %s answers a read at %d, applied %d, but %d was committed before", h.name, a.Index, h.at, want)
		}
	}
}

func (h *host) sync(sequence uint64) {
	for len(h.pending) > 0 && h.pending[0].Sequence <= sequence {
		h.write(h.pending[0])
		h.pending = h.pending[1:]
	}
	h.step(log.Synced{Sequence: sequence})
}

func (h *host) write(p log.Persist) {
	if p.Hard != nil {
		h.disk.Hard = *p.Hard
	}
	if p.Snapshot != nil {
		h.disk.Snapshot, h.disk.Entries = *p.Snapshot, nil
	}
	if len(p.Entries) == 0 {
		return
	}
	keep, _ := slices.BinarySearchFunc(h.disk.Entries, p.Entries[0].Index, func(e log.Entry, i uint64) int { return int(e.Index) - int(i) })
	h.disk.Entries = append(slices.Clip(h.disk.Entries[:keep]), p.Entries...)
}

func (h *host) send(m log.Message) {
	s := h.s
	to := slices.IndexFunc(s.hosts, func(x *host) bool { return x.name == m.To })
	if to < 0 {
		return
	}
	s.checkPreVote(h, s.hosts[to], m)
	late := s.onSend(h, s.hosts[to], m)
	if s.cut[[2]int{h.index, to}] || s.r.Float64() < s.loss {
		return
	}
	copies := 1
	if s.r.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		d := s.upTo(s.delay)
		if s.aim == sharp && (h.index == s.far || to == s.far) {
			d += 50 * time.Millisecond
		}
		if s.r.IntN(100) == 0 {
			d = s.upTo(2 * lease)
		}
		s.after(d+late, func() {
			if !s.cut[[2]int{h.index, to}] {
				s.hosts[to].step(log.Receive{Message: m})
			}
		})
	}
}

func (h *host) apply(e log.Entry) {
	if e.Index != h.at+1 {
		h.s.fail("host %s applies %d after %d", h.name, e.Index, h.at)
	}
	var b []byte
	b = binary.LittleEndian.AppendUint64(b, h.digest)
	b = binary.LittleEndian.AppendUint64(b, e.Index)
	b = append(b, e.Command...)
	h.digest, h.at = xxhash.Sum64(b), e.Index
	got := applied{e.Term, h.digest}
	if want, ok := h.s.chain[e.Index]; !ok {
		h.s.chain[e.Index] = got
		h.s.top = max(h.s.top, e.Index)
	} else if want != got {
		h.s.fail("host %s applies another entry at %d: term %d, not %d", h.name, e.Index, e.Term, want.term)
	}
	if e.Kind == log.Command {
		id := binary.LittleEndian.Uint64(e.Command)
		h.s.ran[id] = true
		if h.s.refused[id] {
			h.s.fail("proposal %d was refused but is committed at %d", id, e.Index)
		}
	}
}

func (h *host) decided(d log.Decided) {
	if d.ID == handOverID {
		h.idle = false
		return
	}
	switch d.Outcome {
	case log.Committed:
		h.s.commits++
		if _, ok := h.s.chain[d.Index]; !ok {
			h.s.fail("proposal %d is reported committed at %d but not applied", d.ID, d.Index)
		}
	case log.NotLeader, log.NotCommitted:
		h.s.refused[d.ID] = true
		if h.s.ran[d.ID] {
			h.s.fail("proposal %d is reported refused but was committed", d.ID)
		}
	}
}
