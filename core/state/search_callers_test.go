package state

import (
	"fmt"
	"reflect"
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// usageReporter is an agent that produces usage records and resends each until
// it is counted. It also checks what is reported to the platform.
type usageReporter struct {
	sim         *simulation
	incarnation fleet.Incarnation
	sequence    uint64
	uncounted   []UsageRecord
	produced    map[fleet.Customer]uint64 // output tokens by customer
	reported    map[uint64][]UsageFigure  // first report to the platform, by window
}

func newUsageReporter(sim *simulation) *usageReporter {
	return &usageReporter{sim: sim, incarnation: 1, produced: make(map[fleet.Customer]uint64), reported: make(map[uint64][]UsageFigure)}
}

func (u *usageReporter) step() {
	switch u.sim.IntN(10) {
	case 0:
		u.incarnation, u.sequence = u.incarnation+1, 0
	case 1, 2, 3:
		u.sequence++
		r := UsageRecord{
			ID:       UsageID{Node: "h", Incarnation: u.incarnation, Sequence: u.sequence},
			Customer: fleet.Customer(fmt.Sprint("c", u.sim.IntN(3))), OutputTokens: uint64(1 + u.sim.IntN(100)),
		}
		u.produced[r.Customer] += r.OutputTokens
		u.uncounted = append(u.uncounted, r)
	default:
		if len(u.uncounted) > 0 {
			from := u.sim.IntN(len(u.uncounted))
			records := append([]UsageRecord(nil), u.uncounted[from:]...)
			u.sim.forward(ReportUsage{Records: records}, func(r Result) { u.drop(records, r.(UsageResult)) })
		}
	}
}

// drop removes the records that need not be sent again.
func (u *usageReporter) drop(records []UsageRecord, r UsageResult) {
	done := make(map[UsageID]bool)
	for _, x := range records {
		done[x.ID] = true
	}
	if !u.sim.variant.dropRefused {
		for _, id := range r.Refused {
			delete(done, id)
		}
	}
	if len(r.TooLate) > 0 {
		u.sim.failf("usage lost: %v", r.TooLate)
	}
	var left []UsageRecord
	for _, x := range u.uncounted {
		if !done[x.ID] {
			left = append(left, x)
		}
	}
	u.uncounted = left
}

// report simulates the platform and checks that the figures of a window never
// change.
func (u *usageReporter) report(win UsageWindow) {
	first, ok := u.reported[win.Number]
	if !ok {
		u.reported[win.Number] = win.Figures
		u.sim.checks.counts.windows++
	} else if !reflect.DeepEqual(first, win.Figures) {
		u.sim.failf("window %d is reported as %v and as %v", win.Number, first, win.Figures)
	}
	u.sim.forward(AcknowledgeUsage{Window: win.Number}, nil)
}

// finish ends a schedule: it delivers all records, seals and reports all
// windows, and checks that each token is billed exactly once.
func (u *usageReporter) finish() {
	for len(u.uncounted) > 0 && u.sim.violation == "" {
		records := u.uncounted
		u.drop(records, u.sim.apply(ReportUsage{Records: records}).(UsageResult))
	}
	for range 2 { // the first round makes room for the last window
		number, _ := u.sim.m.OpenWindow()
		u.sim.apply(SealUsage{Window: number, Until: u.sim.now})
		for _, win := range u.sim.m.UnacknowledgedWindows() {
			u.report(win)
			u.sim.apply(AcknowledgeUsage{Window: win.Number})
		}
	}
	billed := make(map[fleet.Customer]uint64)
	for _, figures := range u.reported {
		for _, f := range figures {
			billed[f.Customer] += f.OutputTokens
		}
	}
	if u.sim.violation == "" && !reflect.DeepEqual(billed, u.produced) {
		u.sim.failf("billed %v, produced %v", billed, u.produced)
	}
}

// entryNodes simulates entries that claim, forward and settle
// non-idempotent requests, and renew shares of the limits.
type entryNodes struct {
	sim        *simulation
	requests   map[fleet.RequestID]*attempt
	dispatched map[ClaimKey][]*attempt
	next       byte
	shares     [3]Share
}

type attempt struct {
	claim      Claim
	dispatched bool
	barred     bool // the agent will never run it
}

func newEntryNodes(sim *simulation) *entryNodes {
	return &entryNodes{sim: sim, requests: make(map[fleet.RequestID]*attempt), dispatched: make(map[ClaimKey][]*attempt)}
}

func (e *entryNodes) step() {
	if e.sim.chance(40) {
		e.register(e.sim.IntN(len(e.shares)))
		return
	}
	e.next++
	a := &attempt{claim: Claim{
		Key:     ClaimKey{"c", fmt.Sprint("key-", e.sim.IntN(4))},
		Request: fleet.RequestID{e.next}, Expires: e.sim.now.Add(MaxClaimRetention - time.Hour),
	}}
	e.requests[a.claim.Request] = a
	e.sim.forward(a.claim, func(r Result) {
		if r.(ClaimResult).Outcome == ClaimGranted {
			e.dispatch(a)
		}
	})
}

// dispatch forwards a request to a target, which may run it unless it is
// barred.
func (e *entryNodes) dispatch(a *attempt) {
	if a.dispatched || a.barred {
		return
	}
	a.dispatched = true
	for _, o := range e.dispatched[a.claim.Key] {
		if !o.barred {
			e.sim.failf("key %v: requests %v and %v may both run", a.claim.Key, o.claim.Request, a.claim.Request)
		}
	}
	e.dispatched[a.claim.Key] = append(e.dispatched[a.claim.Key], a)
	s := Settle{Key: a.claim.Key, Request: a.claim.Request, Settlement: Settlement(e.sim.IntN(3))}
	if s.Settlement == SettledCompleted && e.sim.chance(50) {
		s.Answer = &StoredAnswer{Status: 200}
	}
	a.barred = s.Settlement == SettledBarred
	e.sim.forward(s, nil)
}

// register renews a share. The clock of the entry lags by up to half of
// shareGrace.
func (e *entryNodes) register(i int) {
	c := RegisterEntry{Entry: fleet.Host(fmt.Sprint("entry", i)), Time: e.sim.now, Until: e.sim.now.Add(4 * time.Second), CurrentParts: e.shares[i].Parts}
	e.sim.forward(c, func(r Result) {
		if s := r.(ShareResult); s.Granted {
			e.shares[i] = s.Share
		}
		var sum uint32
		for _, s := range e.shares {
			if e.sim.now.Before(s.Expires.Add(shareGrace / 2)) {
				sum += s.Parts
			}
		}
		if sum > ShareUnit {
			e.sim.failf("shares in use add up to %d of %d", sum, ShareUnit)
		}
	})
}

// operatorStep sends an operator's change. Some ids collide, and the base is a
// recent revision.
func (sim *simulation) operatorStep() {
	rev := sim.m.Config().Revision
	c := Change{
		ID: fmt.Sprint("change", sim.IntN(30)), Base: rev - min(rev, uint64(sim.IntN(3))),
		Operator: fmt.Sprint("op", sim.IntN(3)), Time: sim.now,
	}
	k := byte(1 + sim.IntN(5))
	switch sim.IntN(4) {
	case 0:
		d := document("a", fleet.Customer(fmt.Sprint("b", sim.IntN(3))))
		c.Action = ReplaceDocument{d}
		if sim.chance(70) {
			x := sim.m.Config()
			if sim.staleConfig != nil && sim.chance(30) {
				x = sim.staleConfig // a copy of an earlier revision
			}
			c.Action, _ = EditAction(x, d)
			sim.staleConfig = sim.m.Config()
			if a, ok := c.Action.(EditDocument); ok && sim.chance(50) { // in pieces, each delayed separately
				for _, p := range a.Split(1) {
					c.Action = p
					sim.forward(c, nil)
				}
				return
			}
		}
	case 1:
		c.Action = WithdrawKey{ID: fmt.Sprint("k", k)}
	case 2:
		c.Action = SetRole{Target: "e0", Role: fleet.Role(sim.IntN(3)), Until: sim.now.Add(time.Second)}
	default:
		c.Action = IssueKey{ID: fmt.Sprint("k", k), Digest: config.Digest{k}, Customer: "a"}
	}
	sim.forward(c, nil)
}
