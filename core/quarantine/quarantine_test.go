package quarantine_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/quarantine"
)

var seed = flag.Uint64("seed", 1, "seed of the simulated load")

// load is a simulated load on the decode engines of a pool.
type load struct {
	gateways, engines, slots int
	perSecond                int // prompts
	subjects                 int // segments that are shared by few prompts
	deadlyShare              float64
	deadlyFrom               time.Duration
	deadlySubject            bool // a subject that was sound before is the deadly segment
	noHeader                 bool // engines crash before they send the response header
	crashAll                 bool // all engines crash once, at three seconds, without a deadly segment
	newLeader                time.Duration
}

// simEngine is an engine with the requests that it runs.
type simEngine struct {
	run     quarantine.Run
	upAt    time.Time
	running []simRequest
}

type simRequest struct {
	gateway  int
	segments []quarantine.Segment
	startsAt time.Time // when the engine begins to respond
	endsAt   time.Time
	deadly   bool
}

const (
	pool         = "pool"
	simStep      = 5 * time.Millisecond
	reportPeriod = 500 * time.Millisecond
	downTime     = 3 * time.Second
)

// simulation runs a load against observers and a judge.
type simulation struct {
	load
	random    *rand.Rand
	now       time.Time
	engines   []*simEngine
	observers []*quarantine.Observer
	judge     *quarantine.Judge[int]
	applied   []uint64 // sequence of the verdict that each gateway has applied
	deadly    quarantine.Segment
	crashes   []time.Time
	sent      []time.Time                 // deadly requests that reached engines
	convicted map[quarantine.Segment]bool // by a judge
	rejected  int                         // sound requests
}

func newSimulation(l load, seed uint64) *simulation {
	s := &simulation{
		load: l, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_000_000, 0), judge: &quarantine.Judge[int]{},
		deadly: quarantine.NewSegment(pool, "deadly"), convicted: make(map[quarantine.Segment]bool), applied: make([]uint64, l.gateways),
	}
	if l.deadlySubject {
		s.deadly = subject(0)
	}
	for i := range l.engines {
		s.engines = append(s.engines, &simEngine{run: quarantine.Run{Target: fleet.TargetName(fmt.Sprint("engine-", i)), Started: s.now}})
	}
	for range l.gateways {
		s.observers = append(s.observers, &quarantine.Observer{})
	}
	return s
}

func subject(i int) quarantine.Segment { return quarantine.NewSegment(pool, fmt.Sprint("subject-", i)) }

func (s *simulation) run(length time.Duration) {
	start := s.now
	arrivals := 0.0
	for ; s.now.Sub(start) < length; s.now = s.now.Add(simStep) {
		at := s.now.Sub(start)
		if s.crashAll && at == 3*time.Second {
			for _, e := range s.engines {
				s.crash(e)
			}
		}
		if s.newLeader > 0 && at == s.newLeader {
			s.judge, s.applied = &quarantine.Judge[int]{}, make([]uint64, s.gateways)
		}
		for arrivals += float64(s.perSecond) * simStep.Seconds(); arrivals >= 1; arrivals-- {
			s.arrive(s.deadlyShare > 0 && at >= s.deadlyFrom && s.random.Float64() < s.deadlyShare)
		}
		for _, e := range s.engines {
			s.advance(e)
		}
		for i := range s.observers {
			offset := reportPeriod * time.Duration(i) / time.Duration(s.gateways)
			if (at+offset.Truncate(simStep))%reportPeriod == 0 {
				s.report(i)
			}
			if v, changed := s.judge.VerdictSince(s.applied[i]); changed && at%(100*time.Millisecond) == 0 {
				s.observers[i].Apply(s.now, v)
				s.applied[i] = v.Sequence
			}
		}
	}
}

func (s *simulation) report(gateway int) {
	r, _ := s.observers[gateway].Report(s.now)
	for _, x := range s.judge.Add(s.now, gateway, s.gateways, s.applied[gateway], r) {
		s.convicted[x] = true
	}
}

// arrive sends a request to a random engine that runs.
func (s *simulation) arrive(deadly bool) {
	r := simRequest{gateway: s.random.IntN(s.gateways), deadly: deadly}
	shared := quarantine.NewSegment(pool, fmt.Sprint("shared-", s.random.IntN(4)))
	switch {
	case deadly && s.deadlySubject:
		r.segments = []quarantine.Segment{shared, s.deadly}
	case deadly:
		r.segments = []quarantine.Segment{quarantine.NewSegment(pool, "shared-0"), s.deadly, subject(0)}
	default:
		r.segments = []quarantine.Segment{shared, subject(s.random.IntN(s.subjects))}
	}
	if s.deadlySubject && r.segments[1] == s.deadly {
		// As a part of the deadly requests, so that the share of these is a little larger.
		r.deadly = len(s.crashes) > 0 || deadly
	}
	if _, rejected := s.observers[r.gateway].Rejects(s.now, r.segments); rejected {
		if !r.deadly {
			s.rejected++
		}
		return
	}
	up := slices.DeleteFunc(slices.Clone(s.engines), func(e *simEngine) bool { return s.now.Before(e.upAt) || len(e.running) >= 2*s.slots })
	if len(up) == 0 {
		return
	}
	if r.deadly {
		s.sent = append(s.sent, s.now)
	}
	e := up[s.random.IntN(len(up))]
	wait := time.Duration(len(e.running)/s.slots) * 50 * time.Millisecond
	r.startsAt = s.now.Add(wait + time.Duration(20+s.random.IntN(60))*time.Millisecond)
	r.endsAt = r.startsAt.Add(time.Duration(s.random.IntN(100)) * time.Millisecond)
	e.running = append(e.running, r)
}

// advance ends the requests of an engine, or crashes it.
func (s *simulation) advance(e *simEngine) {
	for _, r := range e.running {
		if r.deadly && !s.now.Before(r.startsAt) {
			s.crashes = append(s.crashes, s.now)
			s.crash(e)
			return
		}
	}
	e.running = slices.DeleteFunc(e.running, func(r simRequest) bool {
		ended := !s.now.Before(r.endsAt)
		if ended {
			s.observers[r.gateway].RecordServed(s.now, pool, r.segments)
		}
		return ended
	})
}

func (s *simulation) crash(e *simEngine) {
	for _, r := range e.running {
		phase := quarantine.Queued
		if !s.noHeader && !s.now.Before(r.startsAt) {
			if !r.deadly && s.now.Sub(r.startsAt) > simStep {
				continue // it has received an event
			}
			phase = quarantine.Starting
		}
		s.observers[r.gateway].RecordBreak(s.now, pool, e.run, phase, r.segments)
	}
	e.running = nil
	e.run.Started = s.now
	e.upAt = s.now.Add(downTime)
}

// sentAfter returns the number of deadly requests that reached engines later than delay
// after the fifth crash.
func (s *simulation) sentAfter(delay time.Duration) int {
	if len(s.crashes) < 5 {
		return 0
	}
	return len(s.sent) - len(slices.DeleteFunc(slices.Clone(s.sent), func(t time.Time) bool { return t.After(s.crashes[4].Add(delay)) }))
}

// Guards against a segment that keeps crashing engines, and against rejecting the sound
// prompts beside it, under the loads of the deployments: few or many gateways and engines,
// rare or frequent deadly prompts, and crashes without any.
func TestLoads(t *testing.T) {
	small := load{gateways: 8, engines: 4, slots: 6, perSecond: 290, subjects: 670, deadlyShare: 0.05, deadlyFrom: 4 * time.Second}
	large := load{gateways: 105, engines: 50, slots: 6, perSecond: 1080, subjects: 2000, deadlyShare: 0.05, deadlyFrom: 4 * time.Second}
	slow := load{gateways: 9, engines: 6, slots: 64, perSecond: 40, subjects: 200, deadlyShare: 0.1, deadlyFrom: 4 * time.Second}
	for name, change := range map[string]func() (l load, deadly bool){
		"small":                      func() (load, bool) { return small, true },
		"small, rare":                func() (load, bool) { l := small; l.deadlyShare = 0.01; return l, true },
		"small, frequent":            func() (load, bool) { l := small; l.deadlyShare = 0.3; return l, true },
		"small, no header":           func() (load, bool) { l := small; l.noHeader = true; return l, true },
		"small, new leader":          func() (load, bool) { l := small; l.newLeader = 8 * time.Second; return l, true },
		"small, subject turns":       func() (load, bool) { l := small; l.deadlySubject = true; return l, true },
		"small, all engines crash":   func() (load, bool) { l := small; l.deadlyShare, l.crashAll = 0, true; return l, false },
		"large":                      func() (load, bool) { return large, true },
		"large, frequent":            func() (load, bool) { l := large; l.deadlyShare = 0.2; return l, true },
		"large, no header":           func() (load, bool) { l := large; l.noHeader = true; return l, true },
		"large, all engines crash":   func() (load, bool) { l := large; l.deadlyShare, l.crashAll = 0, true; return l, false },
		"slow":                       func() (load, bool) { return slow, true },
		"slow, no header":            func() (load, bool) { l := slow; l.noHeader = true; return l, true },
		"slow, all engines crash":    func() (load, bool) { l := slow; l.deadlyShare, l.crashAll = 0, true; return l, false },
		"slow, all crash, no header": func() (load, bool) { l := slow; l.deadlyShare, l.crashAll, l.noHeader = 0, true, true; return l, false },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, deadly := change()
			s := newSimulation(l, *seed)
			s.run(30 * time.Second)
			t.Logf("seed %d: %d crashes, %d deadly requests sent, %d of them 4 s after the fifth crash, %d segments convicted, %d sound requests rejected",
				*seed, len(s.crashes), len(s.sent), s.sentAfter(4*time.Second), len(s.convicted), s.rejected)
			is.Equal(s.convicted[s.deadly], deadly)
			is.True(s.sentAfter(4*time.Second) <= 3)
			delete(s.convicted, s.deadly)
			is.True(len(s.convicted) <= 1) // sound segments in quarantine
			is.True(s.rejected*100 <= l.perSecond*30)
		})
	}
}
