package agent

import (
	"context"
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/watch"
)

const (
	// checkInterval is how often the agent checks that its target answers.
	checkInterval = time.Second
	// checkTimeout bounds one check.
	checkTimeout = 900 * time.Millisecond
	// checkFailures is how many checks in a row must fail before the target
	// counts as not answering: a single slow answer is no crash.
	checkFailures = 3
)

// check keeps the sign of the target up to date.
func (a *Agent) check(ctx context.Context) {
	failed := checkFailures
	for {
		one, cancel := context.WithTimeout(ctx, checkTimeout)
		_, err := a.targetState(one)
		cancel()
		if err == nil {
			failed = 0
		} else {
			failed++
		}
		a.mu.Lock()
		if was := a.answers; was != (failed < checkFailures) {
			a.answers = !was
			a.Log.Info("target checked", "target", a.Announcement.Name, "answers", a.answers, "error", err)
		}
		a.mu.Unlock()
		if !pause(ctx, checkInterval) {
			return
		}
	}
}

// Sign is what the agent says of its target with each poll of control.
func (a *Agent) Sign() watch.AgentStatus {
	a.once.Do(a.init)
	a.mu.Lock()
	defer a.mu.Unlock()
	s := watch.AgentStatus{
		Name: a.Announcement.Name, Incarnation: a.Announcement.Incarnation,
		Ready: a.answers && !a.stopping, Running: uint32(a.working()), Refusing: a.refusing(),
	}
	// A figure that is no number would spoil what the leader learns.
	if t := a.target; t.PrefillSpeed > 0 && t.DecodeSpeed >= 0 || t.DecodeSpeed > 0 && t.PrefillSpeed >= 0 {
		s.Prefill, s.Decode = t.PrefillSpeed, t.DecodeSpeed
	}
	s.Load = a.backlog()
	return s
}

// refusing says whether new requests are refused.
func (a *Agent) refusing() bool {
	return a.stopping || a.changing || a.phase == fleet.Draining || a.phase == fleet.Leaving
}

// working is the number of requests that run, and of prompts that are processed
// for other engines. Stops, drains and orders wait for both. The caller holds
// the mutex.
func (a *Agent) working() int { return len(a.running) + a.prompts.prefills }

// Configured tells the agent of a new configuration. It takes over the phase of
// its target, so that no request starts at a target that is drained.
func (a *Agent) Configured(x *config.Index) {
	a.once.Do(a.init)
	t, ok := x.Target(a.Announcement.Name)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.registered = ok && t.Incarnation == a.Announcement.Incarnation && t.Phase != fleet.Lost && t.Phase != fleet.Gone
	a.phase = t.Phase
}
