package place

import (
	"slices"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/roster"
)

// Ask is a request for a place.
type Ask struct {
	Pool      string
	Rank      int    // zero is the most urgent
	Affinity  string // shared prefix; empty for none
	Split     bool   // a prefill engine may read the prompt
	Exclude   []fleet.TargetName
	Objective time.Duration // for the time to the first event
	Start     time.Time     // when the caller sent the request
	Deadline  time.Time     // after which no answer is of use
	// From is the data centre of the KV cache that the target takes, and
	// Transfer the time to move it within a data centre; empty for none.
	From     fleet.DataCentre
	Transfer time.Duration
}

// Step says what becomes of a request.
type Step uint8

// Steps.
const (
	Send Step = iota
	Wait
	Refuse
)

// Reason says why a request is refused.
type Reason string

// Reasons of refusals.
const (
	NoTarget Reason = "no-target"  // the pool has no target
	Full     Reason = "queue-full" // no place becomes free in time
)

// Decision is the answer to an Ask.
type Decision struct {
	Step    Step
	Target  roster.Record // with Send
	Reason  Reason        // with Refuse
	RetryAt time.Time     // with Refuse: when a place is expected
	Until   time.Time     // with Wait: when the request is to be withdrawn
	Queue   int           // requests that wait ahead
}

// Outcome is how a request at a target ended.
type Outcome uint8

// Outcomes.
const (
	Served      Outcome = iota
	NotRun              // the target was full
	Gone                // the target was another one, or is leaving
	Failed              // no whole answer
	Erred               // a whole answer that reports an error
	Unreachable         // no connection
	Abandoned           // the caller left
)

// String returns the kebab-case name of the outcome.
func (o Outcome) String() string {
	return [...]string{"served", "not-run", "gone", "failed", "erred", "unreachable", "abandoned"}[o]
}

// Grant gives a waiting request its target.
type Grant struct {
	ID     uint64
	Target roster.Record
}

// Placer places the requests of one gateway. Use New to make one; it is not
// safe for concurrent use.
type Placer struct {
	self     fleet.DataCentre
	regions  map[fleet.DataCentre]fleet.Region
	gateways int
	targets  map[fleet.TargetName]*target
	pools    map[string]*pool
}

// pool is the set of targets that serve the same requests, and the requests that
// wait for one of them.
type pool struct {
	targets []*target
	waiting []waiter // in the order of service
	// promised is when the last refused caller was told to come back. Callers are
	// told times one place apart, so that they do not come back together.
	promised time.Time
}

// New returns the placer of a gateway in data centre self.
func New(self fleet.DataCentre, regions map[fleet.DataCentre]fleet.Region) *Placer {
	return &Placer{
		self: self, regions: regions, gateways: 1, targets: make(map[fleet.TargetName]*target),
		pools: make(map[string]*pool),
	}
}

// Gateways tells how many gateways share the targets.
func (p *Placer) Gateways(n int) { p.gateways = max(1, n) }

func (p *Placer) pool(name string) *pool {
	x := p.pools[name]
	if x == nil {
		x = &pool{}
		p.pools[name] = x
	}
	return x
}

// Update takes the newest records of targets and returns the waiting requests
// that have a place by it.
func (p *Placer) Update(now time.Time, records []roster.Record) []Grant {
	pools := make(map[string]bool)
	for _, r := range records {
		t := p.targets[r.Target]
		if t != nil && !t.record.Started.Equal(r.Started) {
			p.drop(t)
			t = nil
		}
		if r.Condition == roster.Left {
			if t != nil {
				p.drop(t)
			}
			continue
		}
		if t != nil && t.record.Pool != r.Pool {
			p.drop(t)
			t = nil
		}
		if t == nil {
			t = &target{limit: firstLimit}
			p.targets[r.Target] = t
			x := p.pool(r.Pool)
			x.targets = append(x.targets, t)
		}
		if r.Heard.After(t.gone) {
			t.gone = time.Time{}
		}
		t.record = r
		pools[r.Pool] = true
	}
	var out []Grant
	for name := range pools {
		out = append(out, p.serve(now, p.pool(name))...)
	}
	return out
}

func (p *Placer) drop(t *target) {
	delete(p.targets, t.record.Target)
	x := p.pool(t.record.Pool)
	x.targets = slices.DeleteFunc(x.targets, func(o *target) bool { return o == t })
}

// Begun reports that a request at a run of a target got its first event after
// took, and returns the waiting requests that have a place by it. connect is
// the time to connect, or zero.
func (p *Placer) Begun(now time.Time, r roster.Record, took, connect, objective time.Duration) []Grant {
	t := p.find(r)
	if t == nil {
		return nil
	}
	t.reading = max(0, t.reading-1)
	if connect > 0 && (t.distance == 0 || connect < t.distance) {
		t.distance = connect
	}
	t.adapt(now, took, objective)
	return p.serve(now, p.pool(r.Pool))
}

// Finish reports the end of a request at a run of a target and returns the
// waiting requests that have a place by it. begun says whether Begun was
// reported before.
func (p *Placer) Finish(now time.Time, r roster.Record, o Outcome, begun bool) []Grant {
	t := p.find(r)
	if t == nil {
		return nil
	}
	t.running = max(0, t.running-1)
	if !begun {
		t.reading = max(0, t.reading-1)
	}
	t.judge(now, o)
	return p.serve(now, p.pool(r.Pool))
}

func (p *Placer) find(r roster.Record) *target {
	t := p.targets[r.Target]
	if t == nil || !t.record.Started.Equal(r.Started) {
		return nil
	}
	return t
}

// Waiting returns the number of waiting requests.
func (p *Placer) Waiting() int {
	n := 0
	for _, x := range p.pools {
		n += len(x.waiting)
	}
	return n
}
