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

// host is one simulated host with its node, disk and state machine.
type host struct {
	s            *sim
	index        int
	name         fleet.Host
	rate         float64 // rate of its clock relative to true time
	identity     log.DirectoryID
	node         *log.Node     // nil while the host is down
	starts       int           // number of starts, to recognise events of an earlier run
	nextTick     time.Duration // time of the next scheduled tick
	pausedUntil  time.Duration
	disk         log.Stored
	unsynced     []log.Persist
	maxSync      time.Duration // maximum duration of a sync
	digest       uint64        // state of the state machine: digest of all entries applied
	lastApplied  uint64        // index of the last applied entry
	lastSnapshot uint64
	actionEnd    time.Duration     // end of the last action begun under a lease
	transferring bool              // begins no more actions, because of a leadership transfer
	lastLed      uint64            // latest term in which it was seen to lead
	reads        map[uint64]uint64 // by ID: highest index applied by any host when the read started
}

// localTime returns the current time on h's clock.
func (h *host) localTime() time.Time {
	return epoch.Add(time.Duration(h.index) * time.Hour).Add(time.Duration(float64(h.s.now) * h.rate))
}

func (h *host) start() {
	h.starts++
	h.nextTick = 0
	o := h.s.opts
	o.Self, o.Identity, o.Random = h.name, h.identity, rand.New(rand.NewPCG(h.s.rng.Uint64(), 2))
	o.Stored = log.Stored{Hard: h.disk.Hard, Snapshot: h.disk.Snapshot, Entries: slices.Clone(h.disk.Entries)}
	h.node = log.New(h.localTime(), o)
	h.node.SetMutations(h.s.mutations)
	h.unsynced, h.transferring = nil, false
	h.reads = make(map[uint64]uint64)
	h.restore(h.disk.Snapshot)
	h.schedule()
}

func (h *host) restore(s log.Snapshot) {
	h.lastApplied, h.lastSnapshot, h.digest = s.Index, s.Index, 0
	if len(s.Data) > 0 {
		h.digest = binary.LittleEndian.Uint64(s.Data)
	}
	if want, ok := h.s.appliedAt[s.Index]; ok && want.digest != h.digest {
		h.s.fail("host %s restores another state at %d", h.name, s.Index)
	}
}

// schedule schedules a tick at the time that the node asks for, unless an earlier
// one is scheduled already.
func (h *host) schedule() {
	wait := time.Duration(float64(h.node.NextTick().Sub(h.localTime())) / h.rate)
	at := h.s.now + max(wait, 0)
	if h.nextTick > h.s.now && h.nextTick <= at {
		return
	}
	at += h.s.randomUpTo(lease / 50)
	h.nextTick = at
	run := h.starts
	h.s.after(at-h.s.now, func() {
		if h.starts == run && h.node != nil && h.nextTick == at {
			h.step(log.Tick{})
			h.schedule()
		}
	})
}

// step processes ev now, or after the pause if the host is paused.
func (h *host) step(ev log.Event) {
	if h.node == nil {
		return
	}
	if h.pausedUntil > h.s.now {
		run := h.starts
		h.s.after(h.pausedUntil-h.s.now+h.s.randomUpTo(time.Millisecond), func() {
			if h.starts == run {
				h.step(ev)
			}
		})
		return
	}
	for _, a := range h.node.Step(h.localTime(), ev) {
		h.perform(a)
	}
	h.schedule()
	if h.lastApplied >= h.lastSnapshot+10 && h.s.rng.IntN(4) == 0 {
		h.lastSnapshot = h.lastApplied
		h.step(log.SnapshotTaken{Index: h.lastApplied, Data: binary.LittleEndian.AppendUint64(nil, h.digest)})
	}
}

func (h *host) perform(a log.Action) {
	switch a := a.(type) {
	case log.Persist:
		h.unsynced = append(h.unsynced, a)
		run := h.starts
		h.s.after(h.s.randomUpTo(h.maxSync), func() {
			if h.starts == run && h.node != nil {
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
	case log.TransferEnded:
		h.transferring = false
	case log.ReadReady:
		if want := h.reads[a.ID]; a.Index < want || h.lastApplied < want {
			h.s.fail("host %s answers a read at %d, applied %d, but %d was committed before", h.name, a.Index, h.lastApplied, want)
		}
	}
}

func (h *host) sync(sequence uint64) {
	for len(h.unsynced) > 0 && h.unsynced[0].Sequence <= sequence {
		h.write(h.unsynced[0])
		h.unsynced = h.unsynced[1:]
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
	extraDelay := s.onSend(h, s.hosts[to], m)
	if s.cut[[2]int{h.index, to}] || s.rng.Float64() < s.loss {
		return
	}
	copies := 1
	if s.rng.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		d := s.randomUpTo(s.delay)
		if s.kind == leaseFaults && (h.index == s.farHost || to == s.farHost) {
			d += 50 * time.Millisecond
		}
		if s.rng.IntN(100) == 0 {
			d = s.randomUpTo(2 * lease)
		}
		s.after(d+extraDelay, func() {
			if !s.cut[[2]int{h.index, to}] {
				s.hosts[to].step(log.Receive{Message: m})
			}
		})
	}
}

func (h *host) apply(e log.Entry) {
	if e.Index != h.lastApplied+1 {
		h.s.fail("host %s applies %d after %d", h.name, e.Index, h.lastApplied)
	}
	var b []byte
	b = binary.LittleEndian.AppendUint64(b, h.digest)
	b = binary.LittleEndian.AppendUint64(b, e.Index)
	b = append(b, e.Command...)
	h.digest, h.lastApplied = xxhash.Sum64(b), e.Index
	got := appliedEntry{e.Term, h.digest}
	if want, ok := h.s.appliedAt[e.Index]; !ok {
		h.s.appliedAt[e.Index] = got
		h.s.maxApplied = max(h.s.maxApplied, e.Index)
	} else if want != got {
		h.s.fail("host %s applies another entry at %d: term %d, not %d", h.name, e.Index, e.Term, want.term)
	}
	if e.Kind == log.Command {
		id := binary.LittleEndian.Uint64(e.Command)
		h.s.appliedIDs[id] = true
		if h.s.rejected[id] {
			h.s.fail("proposal %d was rejected but is committed at %d", id, e.Index)
		}
	}
}

func (h *host) decided(d log.Decided) {
	if d.ID == transferID {
		h.transferring = false
		return
	}
	switch d.Outcome {
	case log.Committed:
		h.s.commits++
		if _, ok := h.s.appliedAt[d.Index]; !ok {
			h.s.fail("proposal %d is reported committed at %d but not applied", d.ID, d.Index)
		}
	case log.NotLeader, log.NotCommitted:
		h.s.rejected[d.ID] = true
		if h.s.appliedIDs[d.ID] {
			h.s.fail("proposal %d is reported rejected but was committed", d.ID)
		}
	}
}
