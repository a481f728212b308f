package state

import (
	"time"

	"papayarock/core/fleet"
)

// variant breaks one rule.
type variant struct {
	finds                       string                    // part of the fault that shows the broken rule
	before                      func(w *world, c Command) // runs before a command is applied
	ignoreGate, electEarly      bool
	forgetFence, anyIncarnation bool
	ignoreBusy, readUnfenced    bool
	alter                       bool
	reportOpen, dropRefused     bool
}

// on runs f before commands of one type.
func on[C Command](finds string, f func(m *Machine, c C)) variant {
	return variant{finds: finds, before: func(w *world, c Command) {
		if c, ok := c.(C); ok {
			f(w.m, c)
		}
	}}
}

// onTarget runs f on a target before commands that concern it.
func onTarget[C Command](finds string, name func(C) fleet.TargetName, f func(r *TargetRecord, c C)) variant {
	return on(finds, func(m *Machine, c C) {
		if r := m.targets[name(c)]; r != nil {
			f(r, c)
		}
	})
}

// onClaim runs f on a claim before commands that concern it.
func onClaim[C Command](finds string, key func(C) ClaimKey, f func(r *ClaimRecord, c C)) variant {
	return on(finds, func(m *Machine, c C) {
		if r := m.claims.byKey[key(c)]; r != nil {
			f(r, c)
		}
	})
}

func placed(c PlaceOrder) fleet.TargetName  { return c.Target }
func adapted(c Adapt) fleet.TargetName      { return c.Target }
func announced(c Announce) fleet.TargetName { return c.Target.Name }
func claimed(c Claim) ClaimKey              { return c.Key }

// twoOrders breaks the rule of one open order in the state machine and the
// second defence against it, in the fence.
func twoOrders() variant {
	v := onTarget("carries out", placed, func(r *TargetRecord, _ PlaceOrder) { r.Open = nil })
	v.ignoreBusy = true
	return v
}

var variants = map[string]variant{
	"action without a lease":              {finds: "act at once", ignoreGate: true},
	"election before the lease ends":      {finds: "act at once", electEarly: true},
	"fence forgets":                       {finds: "has effect after", forgetFence: true},
	"fence takes any incarnation":         {finds: "has effect after", anyIncarnation: true},
	"read while an order runs":            {finds: "has effect after", ignoreBusy: true},
	"two orders run":                      twoOrders(),
	"read does not shut out older orders": {finds: "has effect after", readUnfenced: true},
	"content changes when resent":         {finds: "is {", alter: true},
	"open window is reported":             {finds: "is reported as", reportOpen: true},
	"refused usage is not resent":         {finds: "billed", dropRefused: true},
	"open order is forgotten": onTarget("has the open orders", placed, func(r *TargetRecord, _ PlaceOrder) {
		r.Open = nil
	}),
	"unknown target is not read": onTarget("before it is read", placed, func(r *TargetRecord, _ PlaceOrder) {
		if r.Unread {
			r.Unread, r.Target.Phase = false, fleet.Announced
		}
	}),
	"older incarnation is taken": onTarget("goes back", announced, func(r *TargetRecord, c Announce) {
		r.Target.Incarnation = min(r.Target.Incarnation, c.Target.Incarnation)
	}),
	"new incarnation is not read": onTarget("gets order", announced, func(r *TargetRecord, c Announce) {
		if c.Target.Incarnation > r.Target.Incarnation {
			r.Target.Incarnation, r.Open = c.Target.Incarnation, nil
		}
	}),
	"role of a repeated announcement is taken": onTarget("while its state is", announced, func(r *TargetRecord, c Announce) {
		r.Target.Role = c.Target.Role
	}),
	"drain by an operator is forgotten": onTarget("which an operator drains", adapted, func(r *TargetRecord, _ Adapt) {
		r.Wanted = WantedServing
		r.enter(fleet.Ready, time.Time{})
	}),
	"adaptation moves the base":  on("moves the base", func(m *Machine, _ Adapt) { m.changes.revision++ }),
	"platform ids are forgotten": on("started", func(m *Machine, _ PlacePlatformOrder) { clear(m.platform.byID) }),
	"claims are forgotten":       on("may both run", func(m *Machine, _ Claim) { clear(m.claims.byKey) }),
	"unknown claims are granted again": onClaim("may both run", claimed, func(r *ClaimRecord, _ Claim) {
		if r.Phase == PhaseUnknown {
			r.Phase = PhaseFree
		}
	}),
	"barred requests are granted again": onClaim("after it was barred", claimed, func(r *ClaimRecord, _ Claim) {
		r.Barred = nil
	}),
	"any request settles": onClaim("may both run", func(c Settle) ClaimKey { return c.Key }, func(r *ClaimRecord, c Settle) {
		r.Claim.Request = c.Request
		r.Barred = nil
	}),
	"usage dedupe is forgotten": on("billed", func(m *Machine, _ ReportUsage) { clear(m.usage.sources) }),
	"window changes after its seal": on("is reported as", func(m *Machine, _ ReportUsage) {
		if n := len(m.usage.sealed); n > 0 && len(m.usage.sealed[n-1].Figures) > 0 {
			f := append([]UsageFigure(nil), m.usage.sealed[n-1].Figures...)
			f[0].OutputTokens++
			m.usage.sealed[n-1].Figures = f
		}
	}),
	"base of changes is ignored":    on("accepted on base", func(m *Machine, _ Change) { m.changes.revision = 0 }),
	"ids of changes are forgotten":  on("is answered", func(m *Machine, _ Change) { clear(m.changes.byID) }),
	"shares in force are forgotten": on("add up to", func(m *Machine, c RegisterEntry) { delete(m.shares, c.Entry) }),
}
