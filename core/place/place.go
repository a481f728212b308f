package place

import (
	"slices"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/roster"
)

// Request describes a request to be scheduled.
type Request struct {
	Pool      string
	Rank      int    // zero is the most urgent
	Affinity  string // shared prompt prefix; empty for none
	Split     bool   // a separate prefill engine may process the prompt
	Exclude   []fleet.TargetName
	Objective time.Duration // for the time to first event; zero means none
	Start     time.Time     // when the caller sent the request
	Deadline  time.Time     // after which a response is useless
	// CacheFrom is the data centre that holds the KV cache to transfer, or empty
	// if there is none. TransferTime is the transfer time within a data centre.
	CacheFrom    fleet.DataCentre
	TransferTime time.Duration
}

// Action is the kind of a Decision.
type Action uint8

// Possible decisions.
const (
	Send Action = iota
	Wait
	Refuse
)

// Reason is why a request is refused.
type Reason string

// Reasons for refusal.
const (
	NoTarget Reason = "no-target"  // the pool has no eligible target
	Full     Reason = "queue-full" // no capacity in time
)

// Decision is the result of Offer.
type Decision struct {
	Action  Action
	Target  roster.Record // if Action is Send
	Reason  Reason        // if Action is Refuse
	RetryAt time.Time     // if Action is Refuse: when capacity is expected
	Until   time.Time     // if Action is Wait: when to withdraw the request
	Queue   int           // number of requests queued ahead
}

// Outcome is how a request to a target ended.
type Outcome uint8

// Possible outcomes.
const (
	Served       Outcome = iota
	RejectedFull         // rejected because the target was full
	Gone                 // the target is leaving, or another one has its address
	Failed               // no complete response
	Erred                // a complete response that reports an error
	Unreachable          // connection failed
	Abandoned            // cancelled by the caller
)

// String returns the name of the outcome in kebab case, as it is logged. That of
// RejectedFull is "not-run".
func (o Outcome) String() string {
	return [...]string{"served", "not-run", "gone", "failed", "erred", "unreachable", "abandoned"}[o]
}

// Grant assigns a target to a queued request.
type Grant struct {
	ID     uint64
	Target roster.Record
}

// Placer schedules the requests of one gateway. It is not safe for concurrent
// use.
type Placer struct {
	self     fleet.DataCentre
	regions  map[fleet.DataCentre]fleet.Region
	gateways int
	targets  map[fleet.TargetName]*target
	pools    map[string]*pool
}

// pool is a set of interchangeable targets and the queue of requests for them.
type pool struct {
	targets []*target
	waiting []waiter // in order of service
	// lastRetryAt is the retry time given to the last refused caller. Retry
	// times are spaced so that refused callers do not return all at once.
	lastRetryAt time.Time
}

// New returns a Placer for a gateway in data centre self. regions holds the region of
// each data centre.
func New(self fleet.DataCentre, regions map[fleet.DataCentre]fleet.Region) *Placer {
	return &Placer{
		self: self, regions: regions, gateways: 1, targets: make(map[fleet.TargetName]*target),
		pools: make(map[string]*pool),
	}
}

// SetGateways sets the number of gateways that share the targets.
func (p *Placer) SetGateways(n int) { p.gateways = max(1, n) }

// pool returns the named pool, which it creates if necessary.
func (p *Placer) pool(name string) *pool {
	x := p.pools[name]
	if x == nil {
		x = &pool{}
		p.pools[name] = x
	}
	return x
}

// Update applies new target records and returns the queued requests that can be
// admitted as a result.
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
			t = &target{limit: initialLimit}
			p.targets[r.Target] = t
			x := p.pool(r.Pool)
			x.targets = append(x.targets, t)
		}
		if r.Heard.After(t.goneAt) {
			t.goneAt = time.Time{}
		}
		t.record = r
		pools[r.Pool] = true
	}
	var out []Grant
	for name := range pools {
		out = append(out, p.grantWaiting(now, p.pool(name))...)
	}
	return out
}

// drop removes t from its pool and forgets its state.
func (p *Placer) drop(t *target) {
	delete(p.targets, t.record.Target)
	x := p.pool(t.record.Pool)
	x.targets = slices.DeleteFunc(x.targets, func(o *target) bool { return o == t })
}

// RecordFirstEvent records that a request to the given run of a target received its
// first event after took, and returns the queued requests that can be admitted
// as a result. connect is the time it took to connect, or zero.
func (p *Placer) RecordFirstEvent(now time.Time, r roster.Record, took, connect, objective time.Duration) []Grant {
	t := p.find(r)
	if t == nil {
		return nil
	}
	t.unanswered = max(0, t.unanswered-1)
	if connect > 0 && (t.rtt == 0 || connect < t.rtt) {
		t.rtt = connect
	}
	t.adaptLimit(now, took, objective)
	return p.grantWaiting(now, p.pool(r.Pool))
}

// Finish records the end of a request to the given run of a target and returns
// the queued requests that can be admitted as a result. answered reports whether
// RecordFirstEvent was called for the request.
func (p *Placer) Finish(now time.Time, r roster.Record, o Outcome, answered bool) []Grant {
	t := p.find(r)
	if t == nil {
		return nil
	}
	t.inFlight = max(0, t.inFlight-1)
	if !answered {
		t.unanswered = max(0, t.unanswered-1)
	}
	t.recordOutcome(now, o)
	return p.grantWaiting(now, p.pool(r.Pool))
}

// find returns the state of the run that r describes, or nil if it is not the
// current run of its target.
func (p *Placer) find(r roster.Record) *target {
	t := p.targets[r.Target]
	if t == nil || !t.record.Started.Equal(r.Started) {
		return nil
	}
	return t
}

// Waiting returns the number of queued requests.
func (p *Placer) Waiting() int {
	n := 0
	for _, x := range p.pools {
		n += len(x.waiting)
	}
	return n
}
