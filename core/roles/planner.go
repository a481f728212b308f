package roles

import (
	"cmp"
	"math"
	"slices"
	"time"

	"papayarock/core/fleet"
)

const (
	// minPrompts is the number of prompts in a window below which the share of delayed
	// ones says little.
	minPrompts = 8
	// maxDelayedShare is the share of delayed prompts above which more engines should
	// prefill.
	maxDelayedShare = 0.25
	// idleDelayedShare is the share of delayed prompts up to which prefill engines can
	// be spared.
	idleDelayedShare = 0.02
	// decodeOccupancy is the share of the slots of decode engines, and of the objective
	// for pauses, that streams may use after engines have left the role. The rest is for
	// bursts and for the loss of an engine.
	decodeOccupancy = 0.5
	// fullOccupancy is the share of the slots or of the objective for pauses above which
	// more engines should decode.
	fullOccupancy = 0.85
	// batchShare is the part of the pause between events that grows in proportion to the
	// streams of an engine. The rest is the time of a step without streams.
	batchShare = 0.5
	// linkOccupancy is the share of the time for which the links of decode engines may be
	// busy with KV cache transfers after engines have left the role. An engine transfers
	// one cache after the other, so that they wait for each other at higher shares.
	linkOccupancy = 0.4
	// fullLinkOccupancy is the share above which more engines should decode.
	fullLinkOccupancy = 0.7
	// maxRefusedShare is the share of refused KV cache imports above which more engines
	// should decode if their links are busier than linkOccupancy. Each of them has cost a
	// prefill in vain.
	maxRefusedShare = 0.1
	// settleTime is how long after a change the load is observed before the next
	// decision. It covers one window and the delay of reports.
	settleTime = 3 * time.Second
	// changeTimeout limits, beyond the time that a role change takes, how long the
	// planner waits for engines to announce their new roles. Streams that run on them
	// have to end first.
	changeTimeout = 10 * time.Second
)

// Engine is one engine of a pool.
type Engine struct {
	Target  fleet.TargetName
	Started time.Time // identifies the run
	Region  fleet.Region
	Role    fleet.Role
	Slots   int
	pace    Pace // zero if unknown
}

// Change orders a run of an engine to take a role.
type Change struct {
	Target  fleet.TargetName
	Started time.Time
	Role    fleet.Role
}

// Planner decides on the roles of the engines of one pool. The zero value is ready to
// use. It is not safe for concurrent use.
type Planner struct {
	pending  []Change
	deadline time.Time // until which the pending changes are waited for
	settled  time.Time // when the load shows the effect of the last change
	peak     peakLoad
}

// Plan returns the changes to order now. engines are the engines that are ready, and
// roleChange is how long a change makes an engine unavailable.
func (p *Planner) Plan(now time.Time, engines []Engine, load Load, roleChange time.Duration) []Change {
	prompts := load.Prefills + load.Delayed
	p.peak.observe(now, load)
	if p.settled.IsZero() && prompts > 0 {
		p.settled = now.Add(meterWindow) // caches are empty at first
	}
	if !p.changesEnded(now, engines) || p.settled.IsZero() || now.Before(p.settled) {
		return nil
	}
	prefill, decode := split(engines)
	if len(prefill) == 0 || len(decode) == 0 {
		return nil
	}
	if load.Paces != nil && p.peak.busy > 0 {
		return p.order(now, planByWork(prefill, withPaces(decode, load), p.peak, load), roleChange)
	}
	delayed := load.Delayed / max(1, prompts)
	occupancy := load.Streams / float64(totalSlots(decode))
	refused := load.RefusedImports / max(1, load.Imports)
	var out []Change
	switch {
	case load.Imports >= minPrompts && refused > maxRefusedShare && linksNeeded(load) > len(decode),
		load.Transfers > fullLinkOccupancy*float64(len(decode)):
		// Requests that decode engines refuse are not streams, and their callers repeat
		// them, so that neither delays nor occupancy show the shortage. Engines whose
		// links have time to spare refuse caches that have expired early.
		out = pick(prefill, decode, min(linksNeeded(load)-len(decode), len(decode)), fleet.Decode)
	case prompts >= minPrompts && delayed > maxDelayedShare:
		out = pick(decode, prefill, min(len(decode)-decodeNeeded(decode, load), len(prefill)), fleet.Prefill)
	case delayed <= idleDelayedShare && max(occupancy, load.Pace) > fullOccupancy:
		out = pick(prefill, decode, 1, fleet.Decode)
	}
	return p.order(now, out, roleChange)
}

// order records the changes as pending and returns them.
func (p *Planner) order(now time.Time, changes []Change, roleChange time.Duration) []Change {
	if len(changes) > 0 {
		p.pending, p.deadline = slices.Clone(changes), now.Add(roleChange+changeTimeout)
	}
	return changes
}

// Pending returns the changes that have been ordered and not announced yet.
func (p *Planner) Pending() []Change { return p.pending }

// Deadline returns the time after which pending changes are given up.
func (p *Planner) Deadline() time.Time { return p.deadline }

// Fail records that a change was not accepted.
func (p *Planner) Fail(c Change) {
	p.pending = slices.DeleteFunc(p.pending, func(x Change) bool { return x == c })
}

// changesEnded reports whether all pending changes have been announced or given up. The
// change of an engine that is not ready any more is given up at once.
func (p *Planner) changesEnded(now time.Time, engines []Engine) bool {
	if len(p.pending) == 0 {
		return true
	}
	ended := func(c Change) bool {
		return !slices.ContainsFunc(engines, func(e Engine) bool {
			return e.Target == c.Target && e.Started.Equal(c.Started) && e.Role != c.Role
		})
	}
	p.pending = slices.DeleteFunc(p.pending, ended)
	if now.After(p.deadline) {
		p.pending = nil
	}
	if len(p.pending) > 0 {
		return false
	}
	p.settled = now.Add(settleTime)
	return true
}

func split(engines []Engine) (prefill, decode []Engine) {
	for _, e := range engines {
		switch e.Role {
		case fleet.Prefill:
			prefill = append(prefill, e)
		case fleet.Decode:
			decode = append(decode, e)
		case fleet.Mixed:
		}
	}
	return prefill, decode
}

func totalSlots(list []Engine) int {
	n := 0
	for _, e := range list {
		n += e.Slots
	}
	return max(1, n)
}

// linksNeeded returns the number of decode engines that the transfers of KV caches need,
// those of the prompts that are refused now included.
func linksNeeded(load Load) int {
	transfers := load.Transfers * (load.Prefills + load.Refused) / max(1, load.Prefills)
	return int(math.Ceil(transfers / linkOccupancy))
}

// decodeNeeded returns the number of decode engines that the streams and the transfers of
// KV caches need. With fewer engines, part of the pause between events grows in
// proportion.
func decodeNeeded(decode []Engine, load Load) int {
	n := float64(len(decode))
	slots := float64(totalSlots(decode)) / n
	needed := max(1, int(math.Ceil(load.Streams/(decodeOccupancy*slots))), linksNeeded(load))
	spare := decodeOccupancy - (1-batchShare)*load.Pace
	if spare <= 0 {
		return len(decode)
	}
	return max(needed, int(math.Ceil(n*batchShare*load.Pace/spare)))
}

// pick chooses up to n engines from one role for the other. It takes them from the
// regions where the first role has the most engines relative to the second, and leaves
// one engine of the first role in each region, since transfers of KV caches between
// regions take ten times as long.
func pick(from, to []Engine, n int, role fleet.Role) []Change {
	surplus := make(map[fleet.Region]int)
	left := make(map[fleet.Region]int)
	for _, e := range from {
		surplus[e.Region]++
		left[e.Region]++
	}
	for _, e := range to {
		surplus[e.Region]--
	}
	var out []Change
	taken := make(map[fleet.TargetName]bool)
	for len(out) < n {
		var candidates []Engine
		for _, e := range from {
			if !taken[e.Target] && left[e.Region] > 1 {
				candidates = append(candidates, e)
			}
		}
		if len(candidates) == 0 {
			break
		}
		e := slices.MaxFunc(candidates, func(a, b Engine) int {
			return cmp.Or(compareForRole(a, b, role), cmp.Compare(surplus[a.Region], surplus[b.Region]), cmp.Compare(b.Target, a.Target))
		})
		taken[e.Target] = true
		left[e.Region]--
		surplus[e.Region] -= 2
		out = append(out, Change{e.Target, e.Started, role})
	}
	return out
}
