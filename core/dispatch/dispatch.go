package dispatch

import (
	"time"

	"papayarock/core/authority"
	"papayarock/core/fleet"
	"papayarock/core/state"
)

const (
	// actionTime bounds one external action. It is below the lease, so that an
	// action can begin under a lease that was just renewed.
	actionTime = time.Second
	// minActionTime is the least time an action is begun with; an action under
	// the last moments of a lease would only fail.
	minActionTime = 200 * time.Millisecond
	// leaseReserve is what is left of the lease when an action has to end.
	leaseReserve = 10 * time.Millisecond
	// retryDelay is the pause after an action that did not change the state.
	retryDelay = time.Second
	// orderGrace is how long after its deadline an order is still resent before
	// its target counts as unknown.
	orderGrace = 5 * time.Second
	// orderTime is the time an engine gets to carry out an order.
	orderTime = 2 * time.Minute
	// settleTime bounds the phases that wait for the agent's next sign.
	settleTime = 10 * time.Minute
	// stopAhead is how long before its deadline a leaving target is stopped even
	// if it still runs requests.
	stopAhead = 3 * time.Second
	// tickPeriod keeps the clock of the state machine going when no deadline
	// is due.
	tickPeriod = 5 * time.Second
	// maxLoads bounds the engines of one pool that load weights at once, since
	// the weight store is rate-limited.
	maxLoads = 2
)

// Dispatcher decides the actions of one leader. Use New.
type Dispatcher struct {
	usageWindow time.Duration
	platform    bool
	busy        map[Key]time.Time // no new attempt before this
}

// Options configure a Dispatcher.
type Options struct {
	UsageWindow time.Duration // length of a usage window
	Platform    bool          // the platform starts and stops targets
}

// New returns a Dispatcher that has begun nothing.
func New(o Options) *Dispatcher {
	return &Dispatcher{usageWindow: o.UsageWindow, platform: o.Platform, busy: make(map[Key]time.Time)}
}

// Done tells that the action under k has ended. The next attempt, if the state
// still calls for one, comes after a pause.
func (d *Dispatcher) Done(now time.Time, k Key) { d.busy[k] = now.Add(retryDelay) }

// Step returns the actions to begin now. Without a held lease there are none.
func (d *Dispatcher) Step(now time.Time, lease authority.Gate, v View) []Action {
	if !lease.Held || now.Before(lease.NotBefore) || !now.Before(lease.Expires) {
		return nil
	}
	d.forget(now)
	s := step{Dispatcher: d, now: now, lease: lease, view: v}
	for _, r := range v.Targets {
		s.target(r)
	}
	for _, o := range v.Platform {
		s.external(Key{kind: platform, number: o.Number}, func(k Key, by time.Time) Action {
			return SendPlatform{Key: k, Order: o, Deadline: by}
		})
	}
	for _, w := range v.Windows {
		s.external(Key{kind: usage, window: w.Number}, func(k Key, by time.Time) Action {
			return SendUsage{Key: k, Window: w, Deadline: by}
		})
	}
	s.seal()
	s.tick()
	return s.actions
}

func (d *Dispatcher) forget(now time.Time) {
	for k, until := range d.busy {
		if until.Add(time.Minute).Before(now) {
			delete(d.busy, k)
		}
	}
}

type step struct {
	*Dispatcher
	now     time.Time
	lease   authority.Gate
	view    View
	actions []Action
}

// external begins an action that has an effect outside, if the lease leaves
// enough time for it.
func (s *step) external(k Key, make func(k Key, deadline time.Time) Action) {
	deadline := s.now.Add(actionTime)
	if end := s.lease.Expires.Add(-leaseReserve); end.Before(deadline) {
		deadline = end
	}
	if deadline.Sub(s.now) < minActionTime || s.now.Before(s.busy[k]) || s.lease.Begin(s.now, deadline) != nil {
		return
	}
	s.busy[k] = deadline.Add(retryDelay)
	s.actions = append(s.actions, make(k, deadline))
}

func (s *step) propose(k Key, c state.Command) {
	if s.now.Before(s.busy[k]) {
		return
	}
	s.busy[k] = s.now.Add(actionTime)
	s.actions = append(s.actions, Propose{Key: k, Command: c})
}

func (s *step) seal() {
	end := s.view.OpenFrom.Add(s.usageWindow)
	if s.usageWindow <= 0 || s.now.Before(end) {
		return
	}
	s.propose(Key{kind: seal, window: s.view.OpenWindow}, state.SealUsage{Window: s.view.OpenWindow, Until: s.now})
}

// tick advances the clock of the state machine when a deadline is due, and from
// time to time for the deadlines that the view does not show.
func (s *step) tick() {
	due := s.now.Sub(s.view.Ticked) >= tickPeriod
	for _, r := range s.view.Targets {
		until := r.Target.PhaseUntil
		if !until.IsZero() && !until.After(s.now) && until.After(s.view.Ticked) {
			due = true
		}
	}
	if due {
		s.propose(Key{kind: tick}, state.Tick{Now: s.now})
	}
}

// phase proposes that r enter p.
func (s *step) phase(r state.TargetRecord, p fleet.Phase, until time.Time) {
	s.propose(Key{kind: propose, target: r.Target.Name, phase: p}, state.TargetPhase{
		Target: r.Target.Name, Incarnation: r.Target.Incarnation, Phase: p, Until: until, Time: s.now,
	})
}
