package state

import (
	"fmt"
	"reflect"
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// meters produce usage records and hold each until it is acknowledged.
type meters struct {
	w           *world
	incarnation fleet.Incarnation
	sequence    uint64
	unsent      []UsageRecord
	produced    map[fleet.Customer]uint64 // output tokens
	reported    map[uint64][]UsageFigure  // what the platform was told first, by window
}

func newMeters(w *world) *meters {
	return &meters{w: w, incarnation: 1, produced: make(map[fleet.Customer]uint64), reported: make(map[uint64][]UsageFigure)}
}

func (u *meters) step() {
	switch u.w.IntN(10) {
	case 0:
		u.incarnation, u.sequence = u.incarnation+1, 0
	case 1, 2, 3:
		u.sequence++
		r := UsageRecord{
			ID:       UsageID{Node: "h", Incarnation: u.incarnation, Sequence: u.sequence},
			Customer: fleet.Customer(fmt.Sprint("c", u.w.IntN(3))), OutputTokens: uint64(1 + u.w.IntN(100)),
		}
		u.produced[r.Customer] += r.OutputTokens
		u.unsent = append(u.unsent, r)
	default:
		if len(u.unsent) > 0 {
			from := u.w.IntN(len(u.unsent))
			records := append([]UsageRecord(nil), u.unsent[from:]...)
			u.w.forward(ReportUsage{Records: records}, func(r Result) { u.drop(records, r.(UsageResult)) })
		}
	}
}

// drop forgets the records that need not be sent again.
func (u *meters) drop(records []UsageRecord, r UsageResult) {
	done := make(map[UsageID]bool)
	for _, x := range records {
		done[x.ID] = true
	}
	if !u.w.v.dropRefused {
		for _, id := range r.Refused {
			delete(done, id)
		}
	}
	if len(r.TooLate) > 0 {
		u.w.failf("usage lost: %v", r.TooLate)
	}
	var left []UsageRecord
	for _, x := range u.unsent {
		if !done[x.ID] {
			left = append(left, x)
		}
	}
	u.unsent = left
}

// report is the platform: a window's figures never change.
func (u *meters) report(win UsageWindow) {
	first, ok := u.reported[win.Number]
	if !ok {
		u.reported[win.Number] = win.Figures
		u.w.checks.counts.windows++
	} else if !reflect.DeepEqual(first, win.Figures) {
		u.w.failf("window %d is reported as %v and as %v", win.Number, first, win.Figures)
	}
	u.w.forward(AcknowledgeUsage{Window: win.Number}, nil)
}

// settle ends a schedule: everything is delivered, sealed and reported, and
// each token must have been billed once.
func (u *meters) settle() {
	for len(u.unsent) > 0 && u.w.fault == "" {
		records := u.unsent
		u.drop(records, u.w.apply(ReportUsage{Records: records}).(UsageResult))
	}
	for range 2 { // the first round makes room for the last window
		number, _ := u.w.m.OpenWindow()
		u.w.apply(SealUsage{Window: number, Until: u.w.now})
		for _, win := range u.w.m.Unreported() {
			u.report(win)
			u.w.apply(AcknowledgeUsage{Window: win.Number})
		}
	}
	billed := make(map[fleet.Customer]uint64)
	for _, figures := range u.reported {
		for _, f := range figures {
			billed[f.Customer] += f.OutputTokens
		}
	}
	if u.w.fault == "" && !reflect.DeepEqual(billed, u.produced) {
		u.w.failf("billed %v, produced %v", billed, u.produced)
	}
}

// entries claim, hand over and settle non-idempotent requests, and spend
// shares of the limits.
type entries struct {
	w        *world
	requests map[fleet.RequestID]*attempt
	handed   map[ClaimKey][]*attempt
	next     byte
	shares   [3]Share
}

type attempt struct {
	claim  Claim
	handed bool
	barred bool // the agent will never run it
}

func newEntries(w *world) *entries {
	return &entries{w: w, requests: make(map[fleet.RequestID]*attempt), handed: make(map[ClaimKey][]*attempt)}
}

func (e *entries) step() {
	if e.w.chance(40) {
		e.register(e.w.IntN(len(e.shares)))
		return
	}
	e.next++
	a := &attempt{claim: Claim{
		Key:     ClaimKey{"c", fmt.Sprint("key-", e.w.IntN(4))},
		Request: fleet.RequestID{e.next}, Expires: e.w.now.Add(MaxClaimRetention - time.Hour),
	}}
	e.requests[a.claim.Request] = a
	e.w.forward(a.claim, func(r Result) {
		if r.(ClaimResult).Outcome == ClaimGranted {
			e.handOver(a)
		}
	})
}

// handOver gives a request to a target; it may run unless it is barred.
func (e *entries) handOver(a *attempt) {
	if a.handed || a.barred {
		return
	}
	a.handed = true
	for _, o := range e.handed[a.claim.Key] {
		if !o.barred {
			e.w.failf("key %v: requests %v and %v may both run", a.claim.Key, o.claim.Request, a.claim.Request)
		}
	}
	e.handed[a.claim.Key] = append(e.handed[a.claim.Key], a)
	s := Settle{Key: a.claim.Key, Request: a.claim.Request, Settlement: Settlement(e.w.IntN(3))}
	if s.Settlement == SettledRan && e.w.chance(50) {
		s.Answer = &KeptAnswer{Status: 200}
	}
	a.barred = s.Settlement == SettledBarred
	e.w.forward(s, nil)
}

// register renews a share. The entry's clock is up to half the grace late.
func (e *entries) register(i int) {
	c := RegisterEntry{Entry: fleet.Host(fmt.Sprint("entry", i)), Time: e.w.now, Until: e.w.now.Add(4 * time.Second), Held: e.shares[i].Parts}
	e.w.forward(c, func(r Result) {
		if s := r.(ShareResult); s.Granted {
			e.shares[i] = s.Share
		}
		var sum uint32
		for _, s := range e.shares {
			if e.w.now.Before(s.Expires.Add(shareGrace / 2)) {
				sum += s.Parts
			}
		}
		if sum > ShareUnit {
			e.w.failf("shares in force add up to %d of %d", sum, ShareUnit)
		}
	})
}

// operate sends an operator's change. Ids collide now and then, and the base
// is a recent revision.
func (w *world) operate() {
	rev := w.m.Config().Revision
	c := Change{
		ID: fmt.Sprint("change", w.IntN(30)), Base: rev - min(rev, uint64(w.IntN(3))),
		Operator: fmt.Sprint("op", w.IntN(3)), Time: w.now,
	}
	k := byte(1 + w.IntN(5))
	switch w.IntN(4) {
	case 0:
		d := document("a", fleet.Customer(fmt.Sprint("b", w.IntN(3))))
		c.Action = ReplaceDocument{d}
		if w.chance(70) {
			x := w.m.Config()
			if w.seen != nil && w.chance(30) {
				x = w.seen // a copy of an earlier revision
			}
			c.Action, _ = Edit(x, d)
			w.seen = w.m.Config()
			if a, ok := c.Action.(EditDocument); ok && w.chance(50) { // in pieces, each with its own delays
				for _, p := range a.Split(1) {
					c.Action = p
					w.forward(c, nil)
				}
				return
			}
		}
	case 1:
		c.Action = WithdrawKey{ID: fmt.Sprint("k", k)}
	case 2:
		c.Action = SetRole{Target: "e0", Role: fleet.Role(w.IntN(3)), Until: w.now.Add(time.Second)}
	default:
		c.Action = IssueKey{ID: fmt.Sprint("k", k), Digest: config.Digest{k}, Customer: "a"}
	}
	w.forward(c, nil)
}
