package state

import (
	"cmp"
	"slices"
	"time"

	"papayarock/core/fleet"
)

// usage counts records into the open window and keeps sealed windows until they
// are acknowledged.
type usage struct {
	dedupe
	number  uint64                     // number of the open window
	from    time.Time                  // start of the open window
	figures map[figureKey]*UsageFigure // figures of the open window
	sealed  []UsageWindow              // ascending, without gaps up to number-1
}

type figureKey struct {
	customer fleet.Customer
	route    string
}

// report counts each record once, always into the open window, even if the
// request was served earlier: the figures of a sealed window never change.
func (u *usage) report(now time.Time, c ReportUsage, l limits) Result {
	res := UsageResult{Window: u.number}
	for _, r := range c.Records {
		status := u.check(r.ID, l)
		key := figureKey{r.Customer, r.Route}
		if status == recordNew && u.figures[key] == nil && len(u.figures) >= l.figures {
			status = recordNoCapacity
		}
		switch status {
		case recordNew:
			u.markCounted(r.ID, now)
			u.count(key, r)
			res.Counted++
		case recordNoCapacity:
			res.Refused = append(res.Refused, r.ID)
		case recordRejected:
			res.TooLate = append(res.TooLate, r.ID)
		}
	}
	return res
}

func (u *usage) count(key figureKey, r UsageRecord) {
	f := u.figures[key]
	if f == nil {
		f = &UsageFigure{Customer: r.Customer, Route: r.Route}
		u.figures[key] = f
	}
	f.Requests++
	f.PromptTokens += r.PromptTokens
	f.OutputTokens += r.OutputTokens
}

func (u *usage) open() UsageWindow {
	w := UsageWindow{Number: u.number, From: u.from}
	for _, f := range u.figures {
		w.Figures = append(w.Figures, *f)
	}
	slices.SortFunc(w.Figures, func(a, b UsageFigure) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Route, b.Route))
	})
	return w
}

// seal closes the open window with its final figures. Sealing a window again
// returns the same result until the window is acknowledged. A window never ends
// before it starts, whatever time the command carries.
func (u *usage) seal(c SealUsage, l limits) Result {
	switch {
	case c.Window > u.number:
		return WindowResult{Outcome: WindowNotOpen}
	case c.Window < u.number:
		return u.sealedWindow(c.Window)
	case !u.canSeal(l):
		return WindowResult{Outcome: WindowLimit}
	}
	w := u.open()
	w.Until = c.Until
	if w.Until.Before(w.From) {
		w.Until = w.From
	}
	u.sealed = append(u.sealed, w)
	u.number, u.from = u.number+1, w.Until
	u.figures = make(map[figureKey]*UsageFigure)
	return WindowResult{Outcome: WindowSealed, Window: w}
}

// canSeal reports whether another window may wait for its acknowledgement.
// Otherwise the open window continues and no usage is lost. If no other window
// waits, its figures are within the limit, because report keeps to it.
func (u *usage) canSeal(l limits) bool {
	windows, figures := 0, len(u.figures)
	for _, w := range u.sealed {
		if !w.Acknowledged {
			windows++
			figures += len(w.Figures)
		}
	}
	return windows < l.unacknowledged && (windows == 0 || figures <= l.figures)
}

func (u *usage) sealedWindow(number uint64) WindowResult {
	if len(u.sealed) == 0 || number < u.sealed[0].Number || number-u.sealed[0].Number >= uint64(len(u.sealed)) {
		return WindowResult{Outcome: WindowPruned}
	}
	w := u.sealed[number-u.sealed[0].Number]
	if w.Acknowledged {
		return WindowResult{Outcome: WindowAcknowledged, Window: w}
	}
	return WindowResult{Outcome: WindowSealed, Window: w}
}

// acknowledge marks a window as reported and drops its figures.
func (u *usage) acknowledge(c AcknowledgeUsage, l limits) Result {
	if c.Window > u.number {
		return WindowResult{Outcome: WindowNotOpen}
	}
	if c.Window == u.number {
		return WindowResult{Outcome: WindowNotSealed}
	}
	res := u.sealedWindow(c.Window)
	if res.Outcome != WindowSealed {
		return res
	}
	w := &u.sealed[c.Window-u.sealed[0].Number]
	w.Acknowledged, w.Figures = true, nil
	res = WindowResult{Outcome: WindowAcknowledged, Window: *w}
	for len(u.sealed) > l.acknowledged && u.sealed[0].Acknowledged {
		u.sealed = u.sealed[1:]
	}
	return res
}

// UnacknowledgedWindows returns the sealed windows that the platform has not
// acknowledged, oldest first.
func (m *Machine) UnacknowledgedWindows() []UsageWindow {
	var out []UsageWindow
	for _, w := range m.usage.sealed {
		if !w.Acknowledged {
			out = append(out, w)
		}
	}
	return out
}

// OpenWindow returns the number and start time of the window that usage is
// counted in.
func (m *Machine) OpenWindow() (number uint64, from time.Time) {
	return m.usage.number, m.usage.from
}
