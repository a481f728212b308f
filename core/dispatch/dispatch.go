package dispatch

import (
	"time"

	"papayarock/core/authority"
	"papayarock/core/fleet"
	"papayarock/core/state"
)

const (
	// actionTimeout is the time limit of an external action. It is shorter than
	// the lease, so that an action can begin under a lease that was just
	// renewed.
	actionTimeout = time.Second
	// minActionTimeout is the shortest time limit with which an action begins.
	// An action at the very end of a lease would only fail.
	minActionTimeout = 200 * time.Millisecond
	// leaseMargin is the time between the end of an action and the end of the
	// lease.
	leaseMargin = 10 * time.Millisecond
	// retryDelay is the pause after an action that did not change the state.
	retryDelay = time.Second
	// orderGrace is the time after the deadline of an order for which it is
	// still resent. After that, its target enters phase unknown.
	orderGrace = 5 * time.Second
	// orderTimeout is the time limit for an engine to carry out an order.
	orderTimeout = 2 * time.Minute
	// phaseTimeout is the time limit of phases that wait for a poll from the
	// agent.
	phaseTimeout = 10 * time.Minute
	// stopLead is the time before its deadline at which a leaving target is
	// stopped even if it still runs requests.
	stopLead = 3 * time.Second
	// tickPeriod is the interval at which the clock of the state machine
	// advances while no deadline is due.
	tickPeriod = 5 * time.Second
	// maxConcurrentLoads is the maximum number of engines of a pool that load
	// weights at the same time. The weight store is rate-limited.
	maxConcurrentLoads = 2
)

// Dispatcher decides the actions of one leader.
type Dispatcher struct {
	usageWindow time.Duration
	platform    bool
	nextAttempt map[Key]time.Time // earliest time of the next attempt
}

// Options configure a Dispatcher.
type Options struct {
	UsageWindow time.Duration // length of a usage window
	Platform    bool          // whether the platform starts and stops targets
}

// New returns a Dispatcher with no actions in progress.
func New(o Options) *Dispatcher {
	return &Dispatcher{usageWindow: o.UsageWindow, platform: o.Platform, nextAttempt: make(map[Key]time.Time)}
}

// ActionDone records that action k has ended. If the state still requires the
// action, it is attempted again after retryDelay (1 s).
func (d *Dispatcher) ActionDone(now time.Time, k Key) { d.nextAttempt[k] = now.Add(retryDelay) }

// Step returns the actions to begin now. It returns none unless the lease is
// held.
func (d *Dispatcher) Step(now time.Time, lease authority.Gate, v View) []Action {
	if !lease.Held || now.Before(lease.NotBefore) || !now.Before(lease.Expires) {
		return nil
	}
	d.forgetExpired(now)
	s := step{Dispatcher: d, now: now, lease: lease, view: v}
	for _, r := range v.Targets {
		s.stepTarget(r)
	}
	for _, o := range v.Platform {
		s.beginExternal(Key{kind: kindPlatform, number: o.Number}, func(k Key, by time.Time) Action {
			return SendPlatform{Key: k, Order: o, Deadline: by}
		})
	}
	for _, w := range v.Windows {
		s.beginExternal(Key{kind: kindUsage, window: w.Number}, func(k Key, by time.Time) Action {
			return SendUsage{Key: k, Window: w, Deadline: by}
		})
	}
	s.sealUsage()
	s.tickClock()
	return s.actions
}

// forgetExpired removes keys whose next attempt has been possible for a minute.
func (d *Dispatcher) forgetExpired(now time.Time) {
	for k, at := range d.nextAttempt {
		if at.Add(time.Minute).Before(now) {
			delete(d.nextAttempt, k)
		}
	}
}

// step collects the actions of one call of Dispatcher.Step.
type step struct {
	*Dispatcher
	now     time.Time
	lease   authority.Gate
	view    View
	actions []Action
}

// beginExternal begins an action with external effects if the lease leaves
// enough time for it.
func (s *step) beginExternal(k Key, newAction func(k Key, deadline time.Time) Action) {
	deadline := s.now.Add(actionTimeout)
	if end := s.lease.Expires.Add(-leaseMargin); end.Before(deadline) {
		deadline = end
	}
	if deadline.Sub(s.now) < minActionTimeout || s.now.Before(s.nextAttempt[k]) || s.lease.Begin(s.now, deadline) != nil {
		return
	}
	s.nextAttempt[k] = deadline.Add(retryDelay)
	s.actions = append(s.actions, newAction(k, deadline))
}

// propose proposes c unless a proposal with the same key is in progress or waits
// for its next attempt.
func (s *step) propose(k Key, c state.Command) {
	if s.now.Before(s.nextAttempt[k]) {
		return
	}
	s.nextAttempt[k] = s.now.Add(actionTimeout)
	s.actions = append(s.actions, Propose{Key: k, Command: c})
}

// sealUsage seals the open usage window at its end.
func (s *step) sealUsage() {
	end := s.view.OpenFrom.Add(s.usageWindow)
	if s.usageWindow <= 0 || s.now.Before(end) {
		return
	}
	s.propose(Key{kind: kindSeal, window: s.view.OpenWindow}, state.SealUsage{Window: s.view.OpenWindow, Until: s.now})
}

// tickClock advances the clock of the state machine if a deadline is due, and
// periodically for deadlines that are not part of the view.
func (s *step) tickClock() {
	due := s.now.Sub(s.view.LastTick) >= tickPeriod
	for _, r := range s.view.Targets {
		until := r.Target.PhaseUntil
		if !until.IsZero() && !until.After(s.now) && until.After(s.view.LastTick) {
			due = true
		}
	}
	if due {
		s.propose(Key{kind: kindTick}, state.Tick{Now: s.now})
	}
}

// proposePhase proposes that r enter phase p.
func (s *step) proposePhase(r state.TargetRecord, p fleet.Phase, until time.Time) {
	s.propose(Key{kind: kindPropose, target: r.Target.Name, phase: p}, state.TargetPhase{
		Target: r.Target.Name, Incarnation: r.Target.Incarnation, Phase: p, Until: until, Time: s.now,
	})
}
