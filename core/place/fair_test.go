package place

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/roster"
)

var fairStart = time.Unix(1000, 0)

// scheduler is the part of a Placer that a replay uses.
type scheduler interface {
	offer(now time.Time, id uint64, req Request) Decision
	withdraw(now time.Time, id uint64) (time.Time, bool)
	granted(now time.Time, change func(p *Placer) []Grant) []Grant
}

// fairOrder is the order of a Placer.
type fairOrder struct{ p *Placer }

func (s fairOrder) offer(now time.Time, id uint64, req Request) Decision {
	return s.p.Offer(now, id, req)
}

func (s fairOrder) withdraw(now time.Time, id uint64) (time.Time, bool) {
	return s.p.Withdraw(now, id, "language")
}

func (s fairOrder) granted(_ time.Time, change func(p *Placer) []Grant) []Grant { return change(s.p) }

// expiryOrder is the order before customers were told apart: one queue by rank and expiry.
// It uses a Placer without queued requests for all else.
type expiryOrder struct {
	p           *Placer
	waiting     []waiter
	lastRetryAt time.Time
}

func (s *expiryOrder) offer(now time.Time, id uint64, req Request) Decision {
	x := s.p.pool(req.Pool)
	if !x.canServe(req) {
		return Decision{Action: Refuse, Reason: NoTarget, RetryAt: now.Add(defaultRetryDelay)}
	}
	if req.Split {
		x.observePrompt(req.Prompt)
	}
	ahead := 0
	for _, w := range s.waiting {
		if w.request.Rank <= req.Rank && len(w.request.Exclude) == 0 {
			ahead++
		}
	}
	if ahead == 0 || req.CacheFrom != "" {
		if t := s.p.pick(now, x, req); t != nil {
			return Decision{Action: Send, Choice: s.p.assign(now, x, t, req)}
		}
	}
	at, until := s.p.expectedAdmission(now, x, req, ahead+1), s.p.waitDeadline(now, x, req)
	if at.After(until) {
		x.countDelayed(req)
		return Decision{Action: Refuse, Reason: Full, RetryAt: s.retryTime(now, req, at), Queue: ahead}
	}
	w := waiter{id: id, request: req, expires: until}
	i, _ := slices.BinarySearchFunc(s.waiting, w, func(v, w waiter) int {
		return cmp.Or(cmp.Compare(v.request.Rank, w.request.Rank), v.expires.Compare(w.expires), -1)
	})
	s.waiting = slices.Insert(s.waiting, i, w)
	return Decision{Action: Wait, Until: until, Queue: ahead}
}

func (s *expiryOrder) retryTime(now time.Time, req Request, at time.Time) time.Time {
	interval := s.p.expectedAdmission(now, s.p.pool(req.Pool), req, 1).Sub(now)
	if next := s.lastRetryAt.Add(interval); next.After(at) {
		at = next
	}
	if longest := now.Add(maxRetryDelay); at.After(longest) {
		at = longest
	}
	s.lastRetryAt = at
	return at
}

func (s *expiryOrder) withdraw(now time.Time, id uint64) (time.Time, bool) {
	at := slices.IndexFunc(s.waiting, func(w waiter) bool { return w.id == id })
	if at < 0 {
		return time.Time{}, false
	}
	w := s.waiting[at]
	x := s.p.pool(w.request.Pool)
	s.waiting = slices.Delete(s.waiting, at, at+1)
	x.countDelayed(w.request)
	return s.retryTime(now, w.request, s.p.expectedAdmission(now, x, w.request, at+1)), true
}

func (s *expiryOrder) granted(now time.Time, change func(p *Placer) []Grant) []Grant {
	change(s.p)
	x := s.p.pool("language")
	var out []Grant
	var kept []waiter
	for _, w := range s.waiting {
		t := s.p.pick(now, x, w.request)
		if t == nil {
			kept = append(kept, w)
			continue
		}
		out = append(out, Grant{ID: w.id, Choice: s.p.assign(now, x, t, w.request)})
	}
	s.waiting = kept
	return out
}

// source is a customer that sends requests.
type source struct {
	name      fleet.Customer
	perSecond float64
	rank      int
	tokens    []int // of prompts, chosen at random; nil for none
	from, to  time.Duration
	retries   bool // callers return at the retry time until their deadline
}

// shortage is a load on targets that each serve one request after the other.
type shortage struct {
	sources []source
	targets int
	service time.Duration // of a request without a stated prompt
	perTok  time.Duration // of a prompt token
	length  time.Duration
	loseAt  time.Duration // when the last target is lost; zero for never
	record  bool          // the decisions
}

// tally counts requests of one customer, or of one size of a customer.
type tally struct {
	offered, served int
	underLoad       int // of served, before the load ends
	queuedOut       int // withdrawn after waiting, counted for each try
}

func (c tally) share() float64 { return float64(c.served) / float64(c.offered) }

// fairReplay replays a shortage as a discrete-event simulation.
type fairReplay struct {
	shortage
	s         scheduler
	now       time.Time
	queue     fairEvents
	seq       int
	nextID    uint64
	run       map[uint64]func(roster.Record)
	idleAt    map[fleet.TargetName]time.Time
	lost      fleet.TargetName
	customers map[fleet.Customer]*tally
	sizes     map[int]*tally
	total     tally
	decisions []string
}

type fairEvent struct {
	at  time.Time
	seq int
	run func()
}

type fairEvents []fairEvent

func (e fairEvents) Len() int { return len(e) }
func (e fairEvents) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e fairEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *fairEvents) Push(x any)   { *e = append(*e, x.(fairEvent)) }
func (e *fairEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func fairRecord(i int) roster.Record {
	return roster.Record{Heard: fairStart.Add(time.Hour), Announcement: roster.Announcement{
		Target: fleet.TargetName(fmt.Sprint("t", i)), Started: fairStart, Pool: "language", Address: netip.MustParseAddrPort("10.0.0.1:80"),
		DataCentre: "kt", Slots: 16, Role: fleet.Mixed,
	}}
}

func newFairPlacer(targets int) *Placer {
	p := New("kt", map[fleet.DataCentre]fleet.Region{"kt": "east"})
	for i := range targets {
		p.Update(fairStart, []roster.Record{fairRecord(i)})
	}
	return p
}

// replayShortage replays l with the given order and returns the counts.
func replayShortage(l shortage, seed uint64, order func(p *Placer) scheduler) *fairReplay {
	random := rand.New(rand.NewPCG(seed, 0))
	r := &fairReplay{
		shortage: l, s: order(newFairPlacer(l.targets)), run: make(map[uint64]func(roster.Record)), idleAt: make(map[fleet.TargetName]time.Time),
		customers: make(map[fleet.Customer]*tally), sizes: make(map[int]*tally),
	}
	for _, c := range l.sources {
		if r.customers[c.name] == nil {
			r.customers[c.name] = &tally{}
		}
		to := cmp.Or(c.to, l.length)
		for at := c.from; ; {
			at += time.Duration(random.ExpFloat64() / c.perSecond * float64(time.Second))
			if at >= to {
				break
			}
			tokens := 0
			if len(c.tokens) > 0 {
				tokens = c.tokens[random.IntN(len(c.tokens))]
			}
			r.schedule(fairStart.Add(at), func() { r.arrive(c, tokens) })
		}
	}
	if l.loseAt > 0 {
		r.schedule(fairStart.Add(l.loseAt), r.lose)
	}
	for r.queue.Len() > 0 {
		e := heap.Pop(&r.queue).(fairEvent)
		r.now = e.at
		e.run()
	}
	return r
}

func (r *fairReplay) schedule(at time.Time, f func()) {
	r.seq++
	heap.Push(&r.queue, fairEvent{at, r.seq, f})
}

func (r *fairReplay) note(decision ...any) {
	if r.record {
		r.decisions = append(r.decisions, fmt.Sprint(decision...))
	}
}

func (r *fairReplay) lose() {
	record := fairRecord(r.targets - 1)
	r.lost = record.Target
	record.Condition = roster.Left
	r.grant(func(p *Placer) []Grant { return p.Update(r.now, []roster.Record{record}) })
}

const (
	fairObjective = 800 * time.Millisecond
	fairTimeout   = 3 * time.Second
)

func (r *fairReplay) arrive(c source, tokens int) {
	if r.sizes[tokens] == nil {
		r.sizes[tokens] = &tally{}
	}
	for _, t := range []*tally{r.customers[c.name], r.sizes[tokens], &r.total} {
		t.offered++
	}
	r.try(c, tokens, r.now)
}

func (r *fairReplay) try(c source, tokens int, first time.Time) {
	r.nextID++
	id := r.nextID
	req := Request{
		Pool: "language", Customer: c.name, Rank: c.rank, Objective: fairObjective, Start: r.now, FirstSent: first,
		Deadline: first.Add(fairTimeout), Prompt: Prompt{Tokens: tokens, Unique: tokens},
	}
	refused := func(at time.Time) {
		if c.retries && at.Before(req.Deadline) {
			r.schedule(at, func() { r.try(c, tokens, first) })
		}
	}
	d := r.s.offer(r.now, id, req)
	r.note(id, d.Action, d.Choice.Target.Target, d.Queue, d.RetryAt, d.Until)
	serve := func(t roster.Record) { r.serve(t, c, tokens) }
	switch d.Action {
	case Send:
		serve(d.Choice.Target)
	case Refuse:
		refused(d.RetryAt)
	case Wait:
		r.run[id] = serve
		r.schedule(d.Until, func() {
			if r.run[id] == nil {
				return
			}
			delete(r.run, id)
			r.total.queuedOut++
			at, _ := r.s.withdraw(r.now, id)
			r.note(id, "withdrawn", at)
			refused(at)
		})
	}
}

func (r *fairReplay) serve(t roster.Record, c source, tokens int) {
	sent := r.now
	if r.idleAt[t.Target].Before(r.now) {
		r.idleAt[t.Target] = r.now
	}
	r.idleAt[t.Target] = r.idleAt[t.Target].Add(r.service + time.Duration(tokens)*r.perTok)
	r.schedule(r.idleAt[t.Target], func() {
		if t.Target == r.lost {
			return
		}
		for _, t := range []*tally{r.customers[c.name], r.sizes[tokens], &r.total} {
			t.served++
			if r.now.Before(fairStart.Add(r.length)) {
				t.underLoad++
			}
		}
		r.grant(func(p *Placer) []Grant {
			return p.RecordFirstEvent(r.now, t, FirstEvent{Took: r.now.Sub(sent), Objective: fairObjective})
		})
		r.grant(func(p *Placer) []Grant { return p.Finish(r.now, t, End{Outcome: Served, Answered: true}) })
	})
}

func (r *fairReplay) grant(change func(p *Placer) []Grant) {
	for _, g := range r.s.granted(r.now, change) {
		r.note(g.ID, "granted", g.Choice.Target.Target)
		run := r.run[g.ID]
		delete(r.run, g.ID)
		run(g.Choice.Target)
	}
}

func newOrder(p *Placer) scheduler { return fairOrder{p} }
func oldOrder(p *Placer) scheduler { return &expiryOrder{p: p} }

// largeAndSmall returns a load of perSecond in total: one customer sends ten times as much
// as each of seven others.
func largeAndSmall(perSecond float64, retries bool) []source {
	list := []source{{name: "large", perSecond: 10.0 / 17 * perSecond, retries: retries}}
	for i := range 7 {
		list = append(list, source{name: fleet.Customer(fmt.Sprint("small", i)), perSecond: perSecond / 17, retries: retries})
	}
	return list
}

// smallest returns the lowest share served of the customers other than large.
func (r *fairReplay) smallest() float64 {
	least := 1.0
	for name, c := range r.customers {
		if name != "large" {
			least = min(least, c.share())
		}
	}
	return least
}

// Guards against small customers that are refused because of the queue of a large one, and
// against capacity that is left unused for the sake of fairness.
func TestLargeCustomerLeavesShares(t *testing.T) {
	for name, test := range map[string]struct {
		retries bool
		loseAt  time.Duration
		load    float64 // of the capacity
	}{
		"refused callers leave":  {load: 1.5},
		"refused callers return": {load: 1.5, retries: true},
		"a target is lost":       {load: 1.2, loseAt: 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := shortage{targets: 3, service: 20 * time.Millisecond, length: 15 * time.Second, loseAt: test.loseAt, sources: largeAndSmall(150*test.load, test.retries)}
			for seed := range uint64(2) {
				got, old := replayShortage(l, seed, newOrder), replayShortage(l, seed, oldOrder)
				t.Logf("seed %d: small %.3f, large %.3f, total %+v; old order: small %.3f, large %.3f, total %+v", seed,
					got.smallest(), got.customers["large"].share(), got.total, old.smallest(), old.customers["large"].share(), old.total)
				is.True(got.smallest() >= 0.9)
				is.True(old.smallest() < 0.9)
				is.True(float64(got.total.underLoad) >= 0.98*float64(old.total.underLoad))
				if !test.retries {
					// Otherwise callers that return after the end of the load are counted as well.
					is.True(float64(got.total.served) >= 0.98*float64(old.total.served))
				}
			}
		})
	}
}

// Guards against a change for a customer that competes with no other one.
func TestSingleCustomerAsBefore(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		l := shortage{targets: 3, service: 10 * time.Millisecond, perTok: 10 * time.Microsecond, length: 8 * time.Second, loseAt: 4 * time.Second, record: true, sources: []source{
			{name: "one", perSecond: 120, retries: true, tokens: []int{0, 500, 4000}},
			{name: "one", perSecond: 40, rank: 1, retries: true, tokens: []int{100, 8000}},
		}}
		got, old := replayShortage(l, seed, newOrder), replayShortage(l, seed, oldOrder)
		is.True(got.total.served < got.total.offered) // there is a shortage
		is.Equal(len(got.decisions), len(old.decisions))
		for i := range got.decisions {
			is.Equal(got.decisions[i], old.decisions[i])
		}
	}
}

// Guards against shares that are counted in requests: a customer with long prompts would get
// more work done than another one.
func TestSharesAreOfWork(t *testing.T) {
	is := is.New(t)
	l := shortage{targets: 2, perTok: 10 * time.Microsecond, length: 20 * time.Second, sources: []source{
		{name: "long", perSecond: 100, tokens: []int{4000}},
		{name: "short", perSecond: 200, tokens: []int{1000}},
	}}
	ratio := func(r *fairReplay) float64 {
		return float64(4*r.customers["long"].served) / float64(r.customers["short"].served)
	}
	got, old := ratio(replayShortage(l, 1, newOrder)), ratio(replayShortage(l, 1, oldOrder))
	t.Logf("work of the long to that of the short: %.2f, old order %.2f", got, old)
	is.True(got > 0.9 && got < 1.1)
	is.True(old > 1.5)
}

// Guards against a share that stays unused while its customer sends nothing, and against
// credit for that time: the other customer must not be shut out afterwards.
func TestUnusedShare(t *testing.T) {
	is := is.New(t)
	always := source{name: "always", perSecond: 280}
	l := shortage{targets: 2, service: 20 * time.Millisecond, length: 30 * time.Second, sources: []source{
		always, {name: "later", perSecond: 80, from: 20 * time.Second},
	}}
	r := replayShortage(l, 1, newOrder)
	later := r.customers["later"].served
	t.Logf("always %+v, later %+v, total %+v", *r.customers["always"], *r.customers["later"], r.total)
	is.True(float64(r.total.underLoad) >= 0.98*100*30)
	is.True(replayShortage(l, 1, oldOrder).customers["later"].served < 450)
	is.True(later >= 450 && later <= 550) // half of the capacity of ten seconds, within a tenth
}

// Guards against fairness between customers of different ranks.
func TestRankBeforeFairness(t *testing.T) {
	is := is.New(t)
	l := shortage{targets: 2, service: 20 * time.Millisecond, length: 30 * time.Second, sources: []source{
		{name: "urgent", perSecond: 70}, {name: "one", rank: 1, perSecond: 100}, {name: "two", rank: 1, perSecond: 25},
	}}
	r, old := replayShortage(l, 1, newOrder), replayShortage(l, 1, oldOrder)
	t.Logf("urgent %+v, one %+v, two %+v", *r.customers["urgent"], *r.customers["one"], *r.customers["two"])
	is.True(r.customers["urgent"].share() >= 0.99)
	is.True(float64(r.customers["two"].served) >= 0.8*float64(r.customers["one"].served))
	is.True(float64(old.customers["two"].served) < 0.8*float64(old.customers["one"].served))
}

// Guards against long prompts of a customer that are passed over by its short ones.
func TestSizesOfOneCustomer(t *testing.T) {
	is := is.New(t)
	l := shortage{targets: 2, service: 4 * time.Millisecond, perTok: 4 * time.Microsecond, length: 20 * time.Second, sources: []source{
		{name: "large", perSecond: 250, tokens: []int{200, 200, 200, 8000}},
		{name: "small", perSecond: 20, tokens: []int{200, 200, 200, 8000}},
	}}
	r := replayShortage(l, 1, newOrder)
	t.Logf("large %+v, small %+v, short %+v, long %+v", *r.customers["large"], *r.customers["small"], *r.sizes[200], *r.sizes[8000])
	is.True(r.customers["large"].share() < 0.9) // there is a shortage
	is.True(r.sizes[8000].share() >= 0.8*r.sizes[200].share())
}

// fairRequest returns a request of a customer that is sent at now.
func fairRequest(name fleet.Customer, now time.Time) Request {
	return Request{Pool: "language", Customer: name, Objective: fairObjective, Start: now, Deadline: now.Add(fairTimeout)}
}

// busyPlacer returns a Placer with one target that takes no further request until finish is
// called, and n queued requests of the customer large, with ids from 1.
func busyPlacer(t *testing.T, n int) (p *Placer, finish func(now time.Time) []Grant) {
	t.Helper()
	p = newFairPlacer(1)
	for id := uint64(1000); p.Offer(fairStart, id, fairRequest("large", fairStart)).Action == Send; id++ {
		if id == 1100 {
			t.Fatal("the target takes any number of requests")
		}
	}
	x := p.pool("language")
	p.Withdraw(fairStart, x.waiting[0].id, "language")
	x.lastRetryAt, p.targets["t0"].latency = time.Time{}, 40*time.Millisecond
	for id := range uint64(n) {
		if d := p.Offer(fairStart, 1+id, fairRequest("large", fairStart)); d.Action != Wait {
			t.Fatal(d)
		}
	}
	// The failed attempt leaves the limit of the target as it is.
	return p, func(now time.Time) []Grant {
		return p.Finish(now, fairRecord(0), End{Outcome: Abandoned})
	}
}

func grantedIDs(list []Grant) (ids []uint64) {
	for _, g := range list {
		ids = append(ids, g.ID)
	}
	return ids
}

// Guards against a customer without queued requests that waits behind the queue of another
// one, or is refused because of it, and against retry times behind those of other customers.
func TestQueueOfOtherCustomer(t *testing.T) {
	is := is.New(t)
	p, finish := busyPlacer(t, 10)
	large := p.Offer(fairStart, 100, fairRequest("large", fairStart))
	is.Equal(large.Action, Refuse)
	for range 20 {
		large = p.Offer(fairStart, 100, fairRequest("large", fairStart))
	}
	is.Equal(large.RetryAt, fairStart.Add(220*time.Millisecond+20*20*time.Millisecond)) // spaced by admissions
	small := p.Offer(fairStart, 200, fairRequest("small", fairStart))
	is.Equal(small.Action, Wait)
	is.Equal(small.Queue, 0)
	is.Equal(p.Standing(fairStart, fairRequest("small", fairStart)).Customers, 2)
	at, _ := p.Withdraw(fairStart, 200, "language")
	is.Equal(at, fairStart.Add(20*time.Millisecond)) // one admission from now
	is.Equal(p.Offer(fairStart, 201, fairRequest("small", fairStart)).Action, Wait)
	is.Equal(grantedIDs(finish(fairStart)), []uint64{201})
	is.Equal(grantedIDs(finish(fairStart)), []uint64{1})
}

// Guards against callers that return after a refusal and are set behind new callers of the
// same customer, and against a change of that order for a customer alone.
func TestReturnedCallerGoesFirst(t *testing.T) {
	for name, test := range map[string]struct {
		competitor bool
		want       uint64
	}{
		"competing": {true, 50},
		"alone":     {false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, finish := busyPlacer(t, 3)
			if test.competitor {
				p.Offer(fairStart, 70, fairRequest("small", fairStart))
				is.Equal(grantedIDs(finish(fairStart)), []uint64{70})
			}
			now := fairStart.Add(10 * time.Millisecond)
			req := fairRequest("large", now)
			req.FirstSent = now.Add(-time.Second)
			req.Deadline = req.FirstSent.Add(fairTimeout)
			is.Equal(p.Offer(now, 50, req).Action, Wait)
			is.Equal(grantedIDs(finish(now)), []uint64{test.want})
		})
	}
}

// Guards against an order that is lost with a target.
func TestTargetLostKeepsOrder(t *testing.T) {
	is := is.New(t)
	p, _ := busyPlacer(t, 4)
	for id := range uint64(2) {
		is.Equal(p.Offer(fairStart, 200+id, fairRequest("small", fairStart)).Action, Wait)
	}
	gone := fairRecord(0)
	gone.Condition = roster.Left
	is.Equal(len(p.Update(fairStart, []roster.Record{gone})), 0)
	var ids []uint64
	for i := 1; i < 4; i++ { // each takes two requests before its first event
		ids = append(ids, grantedIDs(p.Update(fairStart, []roster.Record{fairRecord(i)}))...)
	}
	is.Equal(ids, []uint64{200, 1, 201, 2, 3, 4})
}

// Guards against state that grows with the number of customers, or is kept for idle ones, and
// against the loss of the state of a customer with queued requests.
func TestFairStateIsBounded(t *testing.T) {
	is := is.New(t)
	p, finish := busyPlacer(t, 1)
	for i := range 3 * maxFlows {
		p.Offer(fairStart, uint64(10_000+i), fairRequest(fleet.Customer(fmt.Sprint("c", i)), fairStart))
	}
	x := p.pool("language")
	is.Equal(len(x.fair.ranks[0].flows), maxFlows+1) // with the shared one
	for len(x.waiting) > 1 {
		p.Withdraw(fairStart, x.waiting[len(x.waiting)-1].id, "language")
	}
	later := fairStart.Add(flowIdle + flowSweepInterval)
	p.Offer(later, 99_999, fairRequest("new", later))
	is.Equal(len(x.fair.ranks[0].flows), 2) // that of the queued request and the new one
	is.Equal(len(finish(later)), 1)
}

// Guards against long prompts that are refused since each prompt ahead is taken for one as
// long, and against short ones that are queued behind long ones as if these were short.
func TestAdmissionsByWork(t *testing.T) {
	const long = 20 * minWork
	for name, test := range map[string]struct {
		competitor    bool
		queued, asked int // prompt tokens
		want          int
	}{
		"long behind short":        {true, minWork, long, 2},
		"short behind long":        {true, long, minWork, 81},
		"alone, long behind short": {false, minWork, long, 5},
		"alone, short behind long": {false, long, minWork, 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newFairPlacer(1)
			x := p.pool("language")
			for range minSpeedSamples {
				x.speed.add(fairStart, 1000, 10*time.Millisecond)
			}
			x.meanUnique, p.backlogsUntil = long, fairStart.Add(time.Hour)
			prompt := func(name fleet.Customer, tokens int) Request {
				req := fairRequest(name, fairStart)
				req.Split, req.MaxPause, req.Prompt = true, 10*time.Millisecond, Prompt{Tokens: tokens, Unique: tokens}
				return req
			}
			for range 4 {
				req := prompt("one", test.queued)
				x.enqueue(waiter{request: req, expires: req.admissionDeadline(), flow: x.fair.flow(fairStart, req)})
			}
			if test.competitor {
				x.fair.flow(fairStart, prompt("two", minWork))
			}
			req := prompt("one", test.asked)
			is.True(p.usesBacklog(fairStart, x, req))
			is.Equal(p.admissions(fairStart, x, req, x.positionOf(req)), test.want)
		})
	}
}

// BenchmarkFairOrder measures one admission from a queue of 400 requests of 20 customers.
func BenchmarkFairOrder(b *testing.B) {
	for name, customers := range map[string]int{"one customer": 1, "twenty customers": 20} {
		b.Run(name, func(b *testing.B) {
			p := newFairPlacer(5)
			x := p.pool("language")
			for i := range 400 {
				at := fairStart.Add(time.Duration(i) * time.Millisecond)
				req := fairRequest(fleet.Customer(fmt.Sprint("c", i%customers)), at)
				x.enqueue(waiter{id: uint64(i), request: req, expires: req.admissionDeadline(), flow: x.fair.flow(at, req)})
			}
			for _, t := range x.targets {
				t.unanswered = 1000
			}
			b.ResetTimer()
			for range b.N {
				x.fair.ordered = false
				p.grantWaiting(fairStart, x)
			}
		})
	}
}
