package state

import (
	"time"

	"papayarock/core/fleet"
)

// variant is a simulation in which one rule is broken.
type variant struct {
	expected                   string                           // part of the message that reports the broken rule
	before                     func(sim *simulation, c Command) // runs before a command is applied
	ignoreGate, electEarly     bool                             // lease of the leader
	resetFence, anyIncarnation bool                             // fence of the agent
	ignoreBusy, readUnfenced   bool                             // fence of the agent, while an order runs and on a read
	alterContent               bool                             // content of a resent order
	reportOpen, dropRefused    bool                             // usage reports
}

// beforeCommand runs f before commands of one type.
func beforeCommand[C Command](expected string, f func(m *Machine, c C)) variant {
	return variant{expected: expected, before: func(sim *simulation, c Command) {
		if c, ok := c.(C); ok {
			f(sim.m, c)
		}
	}}
}

// beforeTargetCommand runs f on a target before commands of one type that
// concern it.
func beforeTargetCommand[C Command](expected string, name func(C) fleet.TargetName, f func(r *TargetRecord, c C)) variant {
	return beforeCommand(expected, func(m *Machine, c C) {
		if r := m.targets[name(c)]; r != nil {
			f(r, c)
		}
	})
}

// beforeClaimCommand runs f on a claim before commands of one type that concern
// it.
func beforeClaimCommand[C Command](expected string, key func(C) ClaimKey, f func(r *ClaimRecord, c C)) variant {
	return beforeCommand(expected, func(m *Machine, c C) {
		if r := m.claims.byKey[key(c)]; r != nil {
			f(r, c)
		}
	})
}

func placeOrderTarget(c PlaceOrder) fleet.TargetName { return c.Target }
func adaptTarget(c Adapt) fleet.TargetName           { return c.Target }
func announceTarget(c Announce) fleet.TargetName     { return c.Target.Name }
func claimKey(c Claim) ClaimKey                      { return c.Key }

// twoOpenOrders lets a second order be opened in the state machine and also
// disables the fence in the agent, which would otherwise stop it.
func twoOpenOrders() variant {
	v := beforeTargetCommand("carries out", placeOrderTarget, func(r *TargetRecord, _ PlaceOrder) { r.Open = nil })
	v.ignoreBusy = true
	return v
}

var variants = map[string]variant{
	"action without a lease":               {expected: "act at once", ignoreGate: true},
	"election before the lease ends":       {expected: "act at once", electEarly: true},
	"fence state is lost":                  {expected: "has effect after", resetFence: true},
	"fence accepts any incarnation":        {expected: "has effect after", anyIncarnation: true},
	"read while an order runs":             {expected: "has effect after", ignoreBusy: true},
	"two orders run":                       twoOpenOrders(),
	"read does not fence off older orders": {expected: "has effect after", readUnfenced: true},
	"content changes when resent":          {expected: "has two contents", alterContent: true},
	"open window is reported":              {expected: "is reported as", reportOpen: true},
	"refused usage is not resent":          {expected: "billed", dropRefused: true},
	"open order is dropped": beforeTargetCommand("has the open orders", placeOrderTarget, func(r *TargetRecord, _ PlaceOrder) {
		r.Open = nil
	}),
	"unknown target is not read": beforeTargetCommand("before it is read", placeOrderTarget, func(r *TargetRecord, _ PlaceOrder) {
		if r.ReadRequired {
			r.ReadRequired, r.Target.Phase = false, fleet.Announced
		}
	}),
	"older incarnation is accepted": beforeTargetCommand("goes back", announceTarget, func(r *TargetRecord, c Announce) {
		r.Target.Incarnation = min(r.Target.Incarnation, c.Target.Incarnation)
	}),
	"new incarnation is not read": beforeTargetCommand("gets order", announceTarget, func(r *TargetRecord, c Announce) {
		if c.Target.Incarnation > r.Target.Incarnation {
			r.Target.Incarnation, r.Open = c.Target.Incarnation, nil
		}
	}),
	"role of a repeated announcement is applied": beforeTargetCommand("while its state is", announceTarget, func(r *TargetRecord, c Announce) {
		r.Target.Role = c.Target.Role
	}),
	"drain by an operator is dropped": beforeTargetCommand("which an operator drains", adaptTarget, func(r *TargetRecord, _ Adapt) {
		r.Desired = DesiredServing
		r.setPhase(fleet.Ready, time.Time{})
	}),
	"adaptation changes the base": beforeCommand("changed the base", func(m *Machine, _ Adapt) { m.changes.revision++ }),
	"platform ids are dropped":    beforeCommand("started", func(m *Machine, _ PlacePlatformOrder) { clear(m.platform.byID) }),
	"claims are dropped":          beforeCommand("may both run", func(m *Machine, _ Claim) { clear(m.claims.byKey) }),
	"unknown claims are granted again": beforeClaimCommand("may both run", claimKey, func(r *ClaimRecord, _ Claim) {
		if r.Phase == ClaimPhaseUnknown {
			r.Phase = ClaimPhaseReleased
		}
	}),
	"barred requests are granted again": beforeClaimCommand("after it was barred", claimKey, func(r *ClaimRecord, _ Claim) {
		r.Barred = nil
	}),
	"any request settles": beforeClaimCommand("may both run", func(c Settle) ClaimKey { return c.Key }, func(r *ClaimRecord, c Settle) {
		r.Claim.Request = c.Request
		r.Barred = nil
	}),
	"usage deduplication state is dropped": beforeCommand("billed", func(m *Machine, _ ReportUsage) { clear(m.usage.sources) }),
	"window changes after its seal": beforeCommand("is reported as", func(m *Machine, _ ReportUsage) {
		if n := len(m.usage.sealed); n > 0 && len(m.usage.sealed[n-1].Figures) > 0 {
			f := append([]UsageFigure(nil), m.usage.sealed[n-1].Figures...)
			f[0].OutputTokens++
			m.usage.sealed[n-1].Figures = f
		}
	}),
	"base of changes is ignored": beforeCommand("accepted on base", func(m *Machine, _ Change) { m.changes.revision = 0 }),
	"ids of changes are dropped": beforeCommand("has the results", func(m *Machine, _ Change) { clear(m.changes.byID) }),
	"shares in use are dropped":  beforeCommand("add up to", func(m *Machine, c RegisterEntry) { delete(m.shares, c.Entry) }),
}
