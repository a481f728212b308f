package soak_test

import (
	"syscall"
	"testing"
	"time"

	"papayarock/platform/standin"
)

// Guards against more repeated requests than the gateways may send together while targets fail
// and processes are killed, stopped or cut off.
func TestRepeatsOfProcesses(t *testing.T) {
	binary := buildBinary(t)
	const ms = time.Millisecond
	plain := []string{"/read/"}
	resets := standin.Behaviour{Duration: 10 * ms, ResetPercent: 80}
	for name, test := range map[string]struct {
		paths     []string
		behaviour standin.Behaviour
		plan      func(r *plannedRun, step int)
	}{
		"gateways killed in turn, resets":           {plain, resets, (*plannedRun).killGateway},
		"all gateways killed, rejections":           {plain, standin.Behaviour{Duration: 10 * ms, RejectPercent: 80}, (*plannedRun).killAllGateways},
		"replicas suspended, gateways stop, resets": {plain, resets, (*plannedRun).cutOffGateways},
		"streams cut, gateways stop":                {[]string{"/stream/"}, standin.Behaviour{Duration: 10 * ms, TruncatePercent: 80}, (*plannedRun).stopGateway},
	} {
		t.Run(name, func(t *testing.T) {
			r := newPlannedRun(t, binary, map[string]any{"timeout_ms": 2000, "target_latency_ms": 500}, standin.Behaviour{Duration: 10 * ms})
			r.play(test.paths, func(r *plannedRun, step int) {
				if step == failStep {
					for _, target := range r.targets {
						target.SetBehaviour(test.behaviour)
					}
				}
				test.plan(r, step)
			})
			repeats := r.checkRepeats()
			t.Logf("%d requests, %d repeats", len(r.outcomes), repeats)
		})
	}
}

// failStep is the step of 0.1 s from which the targets fail.
const failStep = 20

// killGateway kills one gateway after the other.
func (r *plannedRun) killGateway(step int) {
	if step%5 == 0 {
		r.restart(r.gateways[step/5%len(r.gateways)], syscall.SIGKILL, 0, &r.pending)
	}
}

// killAllGateways kills all gateways each 3.5 s.
func (r *plannedRun) killAllGateways(step int) {
	if step%35 == 0 {
		for _, p := range r.gateways {
			r.restart(p, syscall.SIGKILL, 0, &r.pending)
		}
	}
}

// cutOffGateways suspends all replicas for 3 s in every 6 s and stops gateways meanwhile, so that
// the others have an old number of gateways.
func (r *plannedRun) cutOffGateways(step int) {
	if step%60 == 10 {
		for _, p := range r.replicas {
			r.pause(p, 3*time.Second, &r.pending)
		}
	}
	r.stopGateway(step)
}
