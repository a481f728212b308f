package agent

import (
	"context"
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/watch"
)

const (
	// checkInterval is the time between health checks of the target.
	checkInterval = time.Second
	// checkTimeout bounds one health check.
	checkTimeout = 900 * time.Millisecond
	// checkFailures is the number of consecutive failed checks after which the
	// target counts as not responding. A single failure may be a slow response.
	checkFailures = 3
)

// monitorTarget checks the health of the target at regular intervals. The target
// counts as not responding until the first check that succeeds. An engine that is
// executing an order fails the checks.
func (a *Agent) monitorTarget(ctx context.Context) {
	failures := checkFailures
	for {
		callCtx, cancel := context.WithTimeout(ctx, checkTimeout)
		_, err := a.targetState(callCtx)
		cancel()
		if err == nil {
			failures = 0
		} else {
			failures++
		}
		a.mu.Lock()
		if before := a.responding; before != (failures < checkFailures) {
			a.responding = !before
			a.Log.Info("target health changed", "target", a.Announcement.Name, "answers", a.responding, "error", err)
		}
		a.mu.Unlock()
		if !sleep(ctx, checkInterval) {
			return
		}
	}
}

// Status returns the status of the target. The agent's process sends it to control
// with each poll for the configuration.
func (a *Agent) Status() watch.AgentStatus {
	a.once.Do(a.init)
	a.mu.Lock()
	defer a.mu.Unlock()
	s := watch.AgentStatus{
		Name: a.Announcement.Name, Incarnation: a.Announcement.Incarnation,
		Ready: a.responding && !a.stopping, Running: uint32(a.activeWork()), Refusing: a.refusing(),
	}
	// Negative and NaN speeds are left out: they would corrupt the speeds that
	// the leader learns.
	if t := a.targetLoad; t.PrefillSpeed > 0 && t.DecodeSpeed >= 0 || t.DecodeSpeed > 0 && t.PrefillSpeed >= 0 {
		s.Prefill, s.Decode = t.PrefillSpeed, t.DecodeSpeed
	}
	s.Load = a.loadSummary()
	return s
}

// refusing reports whether new requests are refused. The caller holds the mutex.
func (a *Agent) refusing() bool {
	return a.stopping || a.executingOrder || a.phase == fleet.Draining || a.phase == fleet.Leaving
}

// activeWork returns the number of running requests plus the number of prompts
// being processed for other engines. Stops, drains and orders wait for both. The
// caller holds the mutex.
func (a *Agent) activeWork() int { return len(a.running) + a.prompts.prefills }

// ApplyConfiguration sets the phase of the target from a new configuration. No request
// may start while the target is being drained.
func (a *Agent) ApplyConfiguration(x *config.Index) {
	a.once.Do(a.init)
	t, ok := x.Target(a.Announcement.Name)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.registered = ok && t.Incarnation == a.Announcement.Incarnation && t.Phase != fleet.Lost && t.Phase != fleet.Gone
	a.phase = t.Phase
}
