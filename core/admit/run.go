package admit

import (
	"math"
	"time"

	"papayarock/core/fleet"
)

const (
	urgentHeadroom       = 0.1             // share of Slots and PrefillDepth that patient requests leave free
	maxUrgentLead        = 2 * time.Second // lead of one customer's urgent requests over another's patient ones, as time of all targets
	rateWeight           = 0.2
	rateInterval         = time.Second
	overheadWeight       = 0.05
	overheadTimeConstant = 10 * time.Second // age at which the measured overhead has lost 63% of its weight
	minPromptsPerTarget  = 1.0              // allowed regardless of PrefillDepth
)

// dispatchRates measures the dispatch rate of each class, in cost per second.
type dispatchRates struct {
	rate           [classCount]float64 // moving average
	dispatchedCost [classCount]float64 // since the time in since
	since          time.Time
}

// expectedWait estimates how long a new request of the customer will wait before
// it is dispatched.
func (q *Queue) expectedWait(c *customer, req *request) time.Duration {
	totals := &q.totals[req.Class]
	b := &c.queues[req.Class]
	weights := totals.weights
	if b.empty() {
		weights += c.weight
	}
	costAhead := math.Min(b.cost*weights/c.weight, totals.waitingCost)
	if req.Class == fleet.Patient {
		costAhead += q.totals[fleet.Urgent].waitingCost
	}
	// Cost per second: the measured rate, but at least a tenth of the targets' time,
	// or all of it before the first measurement.
	rate := math.Max(q.dispatchRates.rate[req.Class], q.capacity.Targets*0.1)
	if q.dispatchRates.rate[req.Class] == 0 {
		rate = q.capacity.Targets
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(costAhead / rate * float64(time.Second))
}

// measureDispatchRates updates the moving averages once per rateInterval.
func (q *Queue) measureDispatchRates(now time.Time) {
	d := &q.dispatchRates
	if d.since.IsZero() {
		d.since = now
	}
	span := now.Sub(d.since)
	if span < rateInterval {
		return
	}
	for c := range d.rate {
		// Without a backlog, the dispatch rate equals the arrival rate and is no
		// measure of the capacity.
		if len(q.backlogs[c].elements) > 0 {
			r := d.dispatchedCost[c] / span.Seconds()
			if d.rate[c] == 0 {
				d.rate[c] = r
			}
			d.rate[c] += rateWeight * (r - d.rate[c])
		}
		d.dispatchedCost[c] = 0
	}
	d.since = now
}

// dispatch dispatches waiting requests, urgent ones first, while the targets have
// capacity.
func (q *Queue) dispatch(now time.Time) {
	q.measureDispatchRates(now)
	reserved := q.reservedShare(now)
	for {
		b := q.nextBacklog(reserved)
		if b == nil {
			return
		}
		q.dispatchNext(now, b)
	}
}

// nextBacklog returns the backlog to dispatch from, or nil. Urgent requests precede
// patient ones. The exception is an urgent backlog whose start tag is ahead of the
// patient one's by more than maxUrgentLead: without it, the urgent requests of one
// customer would starve the patient ones of another.
func (q *Queue) nextBacklog(reserved float64) *backlog {
	var urgent, patient *backlog
	if l := q.backlogs[fleet.Urgent].elements; len(l) > 0 && q.hasRoom(fleet.Urgent, reserved) {
		urgent = l[0]
	}
	if l := q.backlogs[fleet.Patient].elements; len(l) > 0 && q.hasRoom(fleet.Patient, reserved) {
		patient = l[0]
	}
	if urgent == nil || patient == nil {
		if urgent == nil {
			return patient
		}
		return urgent
	}
	weights := q.totals[fleet.Urgent].weights + q.totals[fleet.Patient].weights
	maxLead := maxUrgentLead.Seconds() * q.capacity.Targets / math.Max(weights, 1)
	if patient.owner.startTag+maxLead < urgent.owner.startTag {
		return patient
	}
	return urgent
}

// reservedShare returns the share of the capacity that patient requests must not use
// now.
func (q *Queue) reservedShare(now time.Time) float64 {
	r := urgentHeadroom
	for _, w := range q.windows {
		if !now.Before(w.Opens.Add(-q.options.WindowLead)) && now.Before(w.Closes) {
			r = math.Max(r, w.Reserved)
		}
	}
	return r
}

// hasRoom reports whether the targets can accept another request of a class.
// Engines process urgent prompts first, so patient prompts do not count against
// the prompt depth of urgent requests.
func (q *Queue) hasRoom(class fleet.Class, reserved float64) bool {
	urgent, patient := &q.totals[fleet.Urgent], &q.totals[fleet.Patient]
	depth := q.options.PrefillDepth.Seconds() * q.capacity.PrefillTargets
	minPrompts := q.capacity.PrefillTargets * minPromptsPerTarget
	running := urgent.running + patient.running
	if running >= q.capacity.Slots {
		return false
	}
	if class == fleet.Urgent {
		return urgent.promptCost < depth || urgent.running < minPrompts
	}
	if running >= q.capacity.Slots*(1-urgentHeadroom) || patient.running >= q.capacity.Slots*(1-reserved) {
		return false
	}
	return urgent.promptCost+patient.promptCost < depth*(1-reserved) || running < minPrompts
}

// dispatchNext dispatches the first request of a backlog.
func (q *Queue) dispatchNext(now time.Time, b *backlog) {
	req := b.requests[b.head]
	totals := &q.totals[b.class]
	c := req.owner
	q.virtualTime = math.Max(q.virtualTime, c.startTag)
	c.finishTag = c.startTag + req.chargedCost/c.weight
	c.startTag = c.finishTag
	q.dequeue(req)
	q.reorder(c)
	req.removed, req.dispatched, req.dispatchedAt = false, true, now
	req.owner.inFlight++
	totals.promptCost += req.promptCost
	totals.running++
	q.dispatchRates.dispatchedCost[b.class] += req.chargedCost
	q.actions = append(q.actions, Action{ID: req.ID, Decision: Dispatch, OutputTokens: req.outputTokens})
}

// reorder restores the heap order after a customer's start tag has changed.
func (q *Queue) reorder(c *customer) {
	for k := range c.queues {
		if c.queues[k].heapPosition > 0 {
			q.backlogs[k].put(&c.queues[k])
		}
	}
}

// overhead measures the time from dispatch to the first token, less the cost of
// the prompt, as moving averages in seconds.
type overhead struct {
	mean, deviation float64
	updatedAt       time.Time
}

// allowance returns the overhead to assume for a new request: the mean plus half
// the mean deviation. With the mean alone, the p99 time to the first token rose to
// 444 ms, above its deadline of 330 ms. With the mean plus the full deviation,
// requests were refused that would have met the deadline (goodput fell from 97.1
// to 93.8% under varying load). The allowance decays while there are no new
// samples: if it exceeds the deadline, all urgent requests are refused and no
// sample could correct it.
func (o overhead) allowance(now time.Time) float64 {
	return math.Max(0, o.mean+o.deviation/2) * o.weight(now)
}

// weight returns the weight of the measurement by its age. The square in the
// exponent keeps it close to 1 for the usual interval between two first tokens.
func (o overhead) weight(now time.Time) float64 {
	age := float64(now.Sub(o.updatedAt)) / float64(overheadTimeConstant)
	return math.Exp(-age * age)
}

// recordOverhead updates the overhead with the first token of an urgent request.
// The overhead covers queueing at the target, batching and the network.
func (q *Queue) recordOverhead(now time.Time, req *request) {
	if req.firstTokenSeen || req.Class != fleet.Urgent {
		return
	}
	sample := now.Sub(req.dispatchedAt).Seconds() - req.promptCost
	o := &q.overhead
	w := math.Max(overheadWeight, 1-o.weight(now))
	o.updatedAt = now
	o.mean += w * (sample - o.mean)
	o.deviation += w * (math.Abs(sample-o.mean) - o.deviation)
}

// recordFirstToken removes the prompt of a running request from the prompt work in
// progress.
func (q *Queue) recordFirstToken(req *request) {
	if req.firstTokenSeen {
		return
	}
	req.firstTokenSeen = true
	totals := &q.totals[req.Class]
	totals.promptCost = math.Max(0, totals.promptCost-req.promptCost)
}

// progress raises the estimate of a response that has exceeded it, and charges the
// customer for the difference.
func (q *Queue) progress(e Progress) {
	req := q.requests[e.ID]
	if req == nil || !req.dispatched {
		return
	}
	q.recordFirstToken(req)
	if e.OutputTokens > req.outputTokens {
		q.charge(req, req.PromptTokens, e.OutputTokens*overrunFactor)
	}
}

// charge replaces the token counts of a request and adjusts the customer's tags
// and limits by the difference.
func (q *Queue) charge(req *request, promptTokens, outputTokens float64) {
	if req.owner.limited {
		q.options.Limits.refund(req.owner.name, req.PromptTokens+req.outputTokens-promptTokens-outputTokens, 0)
	}
	cost := promptTokens*q.capacity.PrefillCost + outputTokens*q.capacity.DecodeCost
	delta := (cost - req.chargedCost) / req.owner.weight
	req.owner.finishTag += delta
	if req.owner.waiting > 0 {
		req.owner.startTag += delta
		q.reorder(req.owner)
	}
	req.outputTokens, req.chargedCost, req.PromptTokens = outputTokens, cost, promptTokens
}

func (q *Queue) done(e Done) {
	req := q.requests[e.ID]
	if req == nil || !req.dispatched {
		return
	}
	q.charge(req, e.PromptTokens, e.OutputTokens)
	q.removeRunning(req)
	if !e.Failed {
		q.estimates.observe(req.Customer, req.Route, e.OutputTokens)
	}
}

// removeRunning removes a request that has ended or was cancelled while running.
func (q *Queue) removeRunning(req *request) {
	q.recordFirstToken(req)
	q.totals[req.Class].running--
	req.owner.inFlight--
	delete(q.requests, req.ID)
}

// cancel removes a request. A waiting request is refunded; a running one remains
// charged with its estimate.
func (q *Queue) cancel(id fleet.RequestID) {
	req := q.requests[id]
	switch {
	case req == nil:
	case req.dispatched:
		q.removeRunning(req)
	default:
		q.dequeue(req)
		q.refund(req)
		delete(q.requests, id)
	}
}
