package place

import (
	"net/netip"
	"slices"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/roles"
	"papayarock/core/roster"
)

// Request describes a request to be scheduled.
type Request struct {
	Pool     string
	Customer fleet.Customer // among which requests of one rank are shared fairly; empty if there is none
	Rank     int            // zero is the most urgent
	Affinity string         // shared prompt prefix; empty for none
	Split    bool           // a separate prefill engine may process the prompt
	Exclude  []fleet.TargetName
	// Resumes says that the request is the rest of a stream whose target has failed. TakeSpare
	// lets it go ahead of queued requests, and to targets that have refused the last request
	// once their pause is over.
	Resumes   bool
	Objective time.Duration // for the time to first event; zero means none
	MaxPause  time.Duration // objective for the longest pause between events; zero means none
	Prompt    Prompt
	Batch     Batch     // of the engines of the pool; zero if it has none
	Events    float64   // expected number of events of the response; zero if unknown
	Start     time.Time // when the caller sent the request
	// FirstSent is when the caller first sent the request, if it has repeated it after a
	// refusal. Zero means Start.
	FirstSent time.Time
	Deadline  time.Time // after which a response is useless
	// CacheFrom is the data centre that holds the KV cache to transfer, or empty
	// if there is none. TransferTime is the time to transfer the KV cache of the whole
	// prompt within a data centre.
	CacheFrom    fleet.DataCentre
	TransferTime time.Duration
}

// Prompt is the size of a prompt. The zero value is that of a request without one.
type Prompt struct {
	Tokens int
	Unique int // tokens that no other request shares, so that no target has them cached
}

// FirstEvent is a sample of the time to first event.
type FirstEvent struct {
	Took      time.Duration // from sending the request
	Connect   time.Duration // part of Took spent connecting, or zero
	Objective time.Duration
	Prompt    Prompt // processed by the target; zero if it imported the KV cache
	Uncached  int    // as in the Choice
	Affinity  string // as in the Request
	MaxPause  time.Duration
	Expected  time.Duration // as in the Choice
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
	Choice  Choice    // if Action is Send
	Reason  Reason    // if Action is Refuse
	RetryAt time.Time // if Action is Refuse: when capacity is expected
	Until   time.Time // if Action is Wait: when to withdraw the request
	Queue   int       // number of requests queued ahead
}

// Choice is the target of a request. FetchFrom is the engine that is expected to have the
// shared part of the prompt cached, from which the target should fetch it. It is invalid
// if the target is that engine.
type Choice struct {
	Target    roster.Record
	FetchFrom netip.AddrPort
	Uncached  int // prompt tokens that the target is expected to process
	// Transfer is the expected time to import the KV cache of the prompt, or zero if the
	// target does not import one.
	Transfer time.Duration
	// Expected is the expected time from the arrival of the request at the target to its
	// first event, or zero if it is not known.
	Expected time.Duration
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
	Choice Choice
}

// Placer schedules the requests of one gateway. It is not safe for concurrent
// use.
type Placer struct {
	self     fleet.DataCentre
	regions  map[fleet.DataCentre]fleet.Region
	gateways int
	// limitGateways is the number of gateways by which named limits are divided, and
	// limitGatewaysAt when at least that many were last reported.
	limitGateways   int
	limitGatewaysAt time.Time
	targets         map[fleet.TargetName]*target
	pools           map[string]*pool
	// backlogsUntil is until when the backlogs of the other gateways are current.
	backlogsUntil time.Time
	reportAge     reportAge // of the backlogs
	holders       holders
	sightings     []Sighting // to be told to the other gateways
}

// pool is a set of interchangeable targets and the queue of requests for them.
type pool struct {
	targets []*target
	waiting []waiter // by rank and expiry
	fair    fairness // the order of service where customers compete
	// lastRetryAt is the retry time given to the last refused caller. Retry
	// times are spaced so that refused callers do not return all at once.
	lastRetryAt time.Time
	speed       prefillSpeed // of the prefill engines
	overhead    baseLatency  // time of a prefill engine for one prompt, besides its tokens
	meanUnique  float64      // moving average of the unique tokens of long prompts
	counters    roles.Counters
	inflow      inflow        // to prefill engines
	sized       int           // requests whose size is known
	meanTokens  float64       // moving average of the tokens of all prompts
	byWork      bool          // requests are placed by work once the speed of the engines is known
	slowdown    float64       // of all engines relative to speed; zero if unknown
	maxPause    time.Duration // the objective of the last request with a known size that has one
}

// New returns a Placer for a gateway in data centre self. regions holds the region of
// each data centre.
func New(self fleet.DataCentre, regions map[fleet.DataCentre]fleet.Region) *Placer {
	return &Placer{
		self: self, regions: regions, gateways: 1, limitGateways: 1, targets: make(map[fleet.TargetName]*target),
		pools: make(map[string]*pool),
	}
}

// SetGateways sets the number of gateways that share the targets, as reported at now.
func (p *Placer) SetGateways(now time.Time, n int) {
	p.gateways = max(1, n)
	p.setLimitGateways(now, p.gateways)
}

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
	p.holders.drop(t.record.Target)
	x := p.pool(t.record.Pool)
	x.targets = slices.DeleteFunc(x.targets, func(o *target) bool { return o == t })
}

// idleRetention is how much longer Expire keeps a target that has not failed.
const idleRetention = time.Hour

// Expire drops the targets that have crashed without a word: they have not announced
// themselves since before, others of their pool have, and requests to them fail. Those to
// which no requests are sent are dropped later. While no target of a pool is heard of, the
// registry cannot be reached, and all are kept.
func (p *Placer) Expire(before time.Time) (dropped []fleet.TargetName) {
	for _, x := range p.pools {
		if !slices.ContainsFunc(x.targets, func(t *target) bool { return t.record.Heard.After(before) }) {
			continue
		}
		for _, t := range slices.Clone(x.targets) {
			heard := t.record.Heard
			failing := t.failures >= failuresToEject
			if heard.Before(before) && failing || heard.Before(before.Add(-idleRetention)) {
				dropped = append(dropped, t.record.Target)
				p.drop(t)
			}
		}
	}
	return dropped
}

// RecordFirstEvent records that a request to the given run of a target received its
// first event, and returns the queued requests that can be admitted as a result.
func (p *Placer) RecordFirstEvent(now time.Time, r roster.Record, e FirstEvent) []Grant {
	t := p.find(r)
	if t == nil {
		return nil
	}
	t.unanswered = max(0, t.unanswered-1)
	t.own = t.own.without(e.Uncached)
	if e.Connect > 0 && (t.rtt == 0 || e.Connect < t.rtt) {
		t.rtt = e.Connect
	}
	x := p.pool(r.Pool)
	x.recordSlowdown(t, e)
	if r.Role == fleet.Prefill {
		x.speed.add(now, p.processedTokens(r, e), e.Took-t.rtt)
		if read, ok := x.speed.time(e.Prompt.Unique); ok {
			x.overhead.add(now, max(0, e.Took-t.rtt-read))
		}
		x.counters.Prefills++
		p.recordSighting(now, r, e.Affinity)
	}
	if queued := t.adaptLimit(now, e, &x.speed); queued && r.Role == fleet.Prefill && x.longPrompts(e.MaxPause) {
		x.counters.Delayed++
	}
	return p.grantWaiting(now, x)
}

// processedTokens returns the number of tokens of a prompt that an engine has processed:
// all of them if no engine was known to have the shared tokens before.
func (p *Placer) processedTokens(r roster.Record, e FirstEvent) int {
	if e.Affinity == "" || p.holders.seen(NewPrefix(r.Pool, e.Affinity)) {
		return e.Prompt.Unique
	}
	return e.Prompt.Tokens
}

// recordSighting records that a prefill engine has processed a prompt.
func (p *Placer) recordSighting(now time.Time, r roster.Record, affinity string) {
	if affinity == "" {
		return
	}
	s := Sighting{r.Target, NewPrefix(r.Pool, affinity)}
	if p.holders.add(now, s) && len(p.sightings) < maxPrefixes {
		p.sightings = append(p.sightings, s)
	}
}

// End is how a request at a target ended.
type End struct {
	Outcome  Outcome
	Answered bool          // RecordFirstEvent was called for the request
	Uncached int           // as in the Choice
	Transfer time.Duration // as in the Choice
}

// Finish records the end of a request to the given run of a target and returns the
// queued requests that can be admitted as a result.
func (p *Placer) Finish(now time.Time, r roster.Record, e End) []Grant {
	t := p.find(r)
	if t == nil {
		return nil
	}
	t.inFlight = max(0, t.inFlight-1)
	if !e.Answered {
		t.unanswered = max(0, t.unanswered-1)
		t.own = t.own.without(e.Uncached)
	}
	if e.Transfer > 0 {
		p.pool(r.Pool).countImport(e)
	}
	t.recordOutcome(now, e.Outcome)
	return p.grantWaiting(now, p.pool(r.Pool))
}

// RecordLeaving records that the given run of a target has said that it is leaving. It gets
// no further requests. RecordLeaving returns false if that is known already.
func (p *Placer) RecordLeaving(r roster.Record) bool {
	t := p.find(r)
	if t == nil || t.leaving {
		return false
	}
	t.leaving = true
	return true
}

// RecordRetryAt records that the given run of a target wants no requests before a time. It
// gets none until then, not even if there is no other target.
func (p *Placer) RecordRetryAt(r roster.Record, at time.Time) {
	if t := p.find(r); t != nil && at.After(t.retryAt) {
		t.retryAt = at
	}
}

// Paused reports whether the given run of a target wants no requests now, or has named a
// limit, of which calls that serve no caller would use up a part.
func (p *Placer) Paused(now time.Time, r roster.Record) bool {
	t := p.find(r)
	return t != nil && (now.Before(t.retryAt) || t.namedLimit.perSecond > 0)
}

// countImport counts a KV cache that was offered to a decode engine.
func (x *pool) countImport(e End) {
	x.counters.Imports++
	switch {
	case e.Outcome == RejectedFull:
		x.counters.RefusedImports++
	case e.Answered:
		x.counters.TransferMicros += uint64(e.Transfer.Microseconds())
	}
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

// RecordPause records the mean pause between the events of a stream of the given pool,
// whose objective for the longest pause is maxPause.
func (p *Placer) RecordPause(poolName string, mean, maxPause time.Duration) {
	c := &p.pool(poolName).counters
	c.Paced++
	c.PaceSum += uint64(1000 * mean / maxPause)
}

// Counters returns the load on the engines by pool at now. Pools without prefill engines are
// left out.
func (p *Placer) Counters(now time.Time) map[string]roles.Counters {
	out := make(map[string]roles.Counters)
	for name, x := range p.pools {
		c, prefill := x.counters, false
		c.Streams = 0
		if x.placesByWork() {
			c.PrefillSpeed = x.speed.perSecond
			c.Paces = x.paces(now)
		}
		for _, t := range x.targets {
			switch t.record.Role {
			case fleet.Prefill:
				prefill = true
			case fleet.Decode, fleet.Mixed:
				c.Streams += uint64(t.inFlight)
			}
		}
		if prefill {
			out[name] = c
		}
	}
	return out
}

// RoleChange says that a run of an engine has been ordered to take another role. It
// rejects requests until it has announced that role. Expires is when the change is
// assumed to have failed.
type RoleChange struct {
	Target  fleet.TargetName
	Started time.Time
	Role    fleet.Role
	Expires time.Time
}

// SetRoleChanges replaces the role changes in progress. Their engines get no requests.
func (p *Placer) SetRoleChanges(list []RoleChange) {
	for _, t := range p.targets {
		t.change = RoleChange{}
	}
	for _, c := range list {
		if t := p.targets[c.Target]; t != nil && t.record.Started.Equal(c.Started) {
			t.change = c
		}
	}
}

// Waiting returns the number of queued requests.
func (p *Placer) Waiting() int {
	n := 0
	for _, x := range p.pools {
		n += len(x.waiting)
	}
	return n
}
