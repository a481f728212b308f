package soak_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"papayarock/internal/fake"
	"papayarock/platform/standin"
)

const (
	plannedTargets = 5
	silencePeriod  = 4 * time.Second // from one silence of a target to its next one
	patientCallers = 24
	patience       = 8 * time.Second // of the callers, and of the routes
	// maxRunOverlap is how long a run may go on beside a later run of the same stream.
	maxRunOverlap = 400 * time.Millisecond
	// lossSlack is how long after it was sent a request may have crossed the end of its
	// connection.
	lossSlack = 200 * time.Millisecond
)

// Guards against requests that are cut or repeated because a sound target is silent for 1.3 s:
// streams whose other targets are full, and plain requests, beside planned changes.
func TestSilentTargets(t *testing.T) {
	binary := buildBinary(t)
	const ms = time.Millisecond
	streamPath := []string{"/stream/"}
	plain := map[string]any{"timeout_ms": patience.Milliseconds()}
	streams := map[string]any{"timeout_ms": patience.Milliseconds(), "target_latency_ms": 500}
	fixed := map[string]any{"timeout_ms": patience.Milliseconds(), "target_latency_ms": 500, "resumable": false, "attempts": 1}
	for name, test := range map[string]struct {
		paths    []string
		routes   map[string]any
		room     int
		interval time.Duration // of the events of a stream
		length   time.Duration // of each silence
		plan     func(r *plannedRun, step int)
	}{
		"resumable, room for six":                {streamPath, streams, 6, 250 * ms, 1300 * ms, nil},
		"resumable, room for six, changes":       {streamPath, streams, 6, 250 * ms, 1300 * ms, (*plannedRun).change},
		"resumable, room for six, long silences": {streamPath, streams, 6, 250 * ms, 1900 * ms, (*plannedRun).change},
		"resumable, room for all, SIGHUP":        {streamPath, streams, 0, 250 * ms, 1300 * ms, (*plannedRun).reload},
		"resumable, room for six, SIGTERM":       {streamPath, streams, 6, 100 * ms, 1300 * ms, (*plannedRun).stopGateway},
		"resumable, connections held, changes":   {streamPath, streams, 6, 250 * ms, 0, (*plannedRun).holdTarget},
		"not resumable, SIGTERM":                 {streamPath, fixed, 0, 100 * ms, 1300 * ms, (*plannedRun).stopGateway},
		"plain, changes":                         {[]string{"/read/", "/order/"}, plain, 0, 0, 1300 * ms, (*plannedRun).change},
	} {
		t.Run(name, func(t *testing.T) {
			r := newPlannedRun(t, binary, test.routes, standin.Behaviour{
				Duration: 10 * time.Millisecond, EventInterval: test.interval, Room: test.room,
				Silence: standin.Silence{Every: silencePeriod, Length: test.length},
			})
			r.play(test.paths, test.plan)
			r.check()
		})
	}
}

// plannedRun is a deployment with faults and changes at set times.
type plannedRun struct {
	*soakRun
	routes  map[string]any // settings of the routes
	version uint64
	pending sync.WaitGroup
}

// newPlannedRun starts a deployment whose targets have the given behaviour, but are silent one
// after the other.
func newPlannedRun(t *testing.T, binary string, routes map[string]any, b standin.Behaviour) *plannedRun {
	percents := newPercents(*firstSeed)
	d := newDeployment(t, binary, percents)
	for len(d.targets) < plannedTargets {
		d.addTarget(percents)
	}
	for i, target := range d.targets {
		b.Silence.Shift = time.Duration(i) * silencePeriod / plannedTargets
		target.SetBehaviour(b)
	}
	return &plannedRun{soakRun: &soakRun{deployment: d, t: t, sent: make(map[uint64][]byte)}, routes: routes}
}

// play sends requests until the length of the test has passed, while plan is called with the
// number of each step of 0.1 s.
func (r *plannedRun) play(paths []string, plan func(r *plannedRun, step int)) {
	r.change(0)
	r.pending.Wait()
	client := &http.Client{Timeout: patience}
	for i, g := range r.gatewayAddresses { // until the gateways know the targets
		for n := 0; standin.SendRequest(r.ctx, client, g, fmt.Sprintf("first-%d-%d", i, n), "/read/", "key-1").Status != http.StatusOK; n++ {
			time.Sleep(50 * time.Millisecond)
		}
	}
	ctx, stop := context.WithTimeout(r.ctx, *length)
	defer stop()
	var clients sync.WaitGroup
	for i := range patientCallers {
		clients.Go(func() { r.call(ctx, paths, i) })
	}
	for step := 1; ctx.Err() == nil; step++ {
		if plan != nil {
			plan(r, step)
		}
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	r.pending.Wait()
}

// call sends one request after the other until ctx is done.
func (r *plannedRun) call(ctx context.Context, paths []string, caller int) {
	random := rand.New(rand.NewPCG(*firstSeed, uint64(caller)))
	client := &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true,
	}, Timeout: patience + time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id, path := fmt.Sprintf("c%d-%d", caller, n), paths[random.IntN(len(paths))]
		g := r.gatewayAddresses[random.IntN(len(r.gatewayAddresses))]
		o := standin.SendRequestUntil(context.Background(), client, g, id, path, "key-1", time.Now().Add(patience))
		r.mu.Lock()
		r.outcomes = append(r.outcomes, o)
		r.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
}

// change replaces the document at each seventh step.
func (r *plannedRun) change(step int) {
	if step%7 != 0 {
		return
	}
	r.version++
	document := standin.DocumentWith(r.version, pool, true, r.routes)
	r.pending.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, recoveryTimeout)
		defer cancel()
		if err := (&standin.Operator{RegistryAddresses: r.registryAddresses}).Put(ctx, document); err != nil {
			r.t.Errorf("put document: %v", err)
		}
	})
}

// reload sends SIGHUP to a gateway at each third step.
func (r *plannedRun) reload(step int) {
	if step%3 == 0 {
		r.gateways[step/3%len(r.gateways)].signal(syscall.SIGHUP)
	}
}

// holdTarget holds what one target sends for 1.3 s, and replaces the document.
func (r *plannedRun) holdTarget(step int) {
	r.change(step)
	if step%8 != 0 {
		return
	}
	target := r.targets[step/8%len(r.targets)]
	target.proxy.UpdateFaults(func(f *fake.ProxyFaults) { f.HoldFrom = true })
	r.pending.Go(func() {
		time.Sleep(1300 * time.Millisecond)
		target.proxy.UpdateFaults(func(f *fake.ProxyFaults) { f.HoldFrom = false })
	})
}

// stopGateway stops and starts one gateway after the other.
func (r *plannedRun) stopGateway(step int) {
	if step%25 == 5 {
		p := r.gateways[step/25%len(r.gateways)]
		r.restart(p, syscall.SIGTERM, 0, &r.pending)
	}
}

// check requires a complete response to each request that a target ran, and that repeats and
// runs that overlap stay within their limits.
func (r *plannedRun) check() {
	unanswered, rejected := 0, 0
	for _, o := range r.outcomes {
		runs := r.runLog.Executions(o.ID)
		want := standin.ResponseBody(o.ID)
		if o.Path == "/stream/" {
			want = standin.EventStreamBody(o.ID, 0)
		}
		switch {
		case len(runs) == 0 && o.Status == 0 && !isDialError(o.Err) && o.Ended.Sub(o.Sent) > lossSlack:
			unanswered++
			r.t.Errorf("%s %s got neither a response nor a refusal, after %v: %v", o.Path, o.ID, o.Ended.Sub(o.Sent), o.Err)
		case len(runs) == 0:
			rejected++
		case o.Status != http.StatusOK || !o.Complete || o.Body != want:
			unanswered++
			r.t.Errorf("%s %s ran but has status %d, complete %v, %d of %d bytes, after %v: %+v", o.Path, o.ID, o.Status, o.Complete, len(o.Body), len(want), o.Ended.Sub(o.Sent), runs)
		}
		for i := 1; i < len(runs); i++ {
			if overlap := runs[i-1].End.Sub(runs[i].Start); overlap > maxRunOverlap && runs[i].End.Sub(runs[i].Start) > maxRunOverlap {
				r.t.Errorf("%s %s ran at %s for %v beside %s", o.Path, o.ID, runs[i-1].Target, overlap, runs[i].Target)
			}
		}
	}
	repeats := r.checkRepeats()
	r.t.Logf("%d requests: %d ran without a complete response, %d did not run, %d repeats", len(r.outcomes), unanswered, rejected, repeats)
}

// isDialError reports whether a request failed because no connection could be opened.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// checkRepeats requires that the repeats in any window, also those that targets reject, stay
// within the limit. It returns their number.
func (r *plannedRun) checkRepeats() int {
	repeats := r.runLog.Repeats()
	slices.SortFunc(repeats, time.Time.Compare)
	sent := func(from time.Time) (n int) {
		for _, o := range r.outcomes {
			if !o.Sent.Before(from) && o.Sent.Before(from.Add(retryWindow)) {
				n++
			}
		}
		return n
	}
	worst, worstAt := 0.0, time.Time{}
	for i, from := range repeats {
		n := 0
		for _, at := range repeats[i:] {
			if at.Before(from.Add(retryWindow)) {
				n++
			}
		}
		requests := max(sent(from), sent(from.Add(-retryWindow)), sent(from.Add(-retryWindow/2)))
		if share := float64(n) / (retryShare*float64(requests) + retrySlack); share > worst {
			worst, worstAt = share, from
		}
	}
	r.t.Logf("repeats in the worst window: %.2f of the limit", worst)
	if worst > 1 {
		r.t.Errorf("repeats in the window from %v: %.2f of the limit", worstAt, worst)
	}
	return len(repeats)
}
