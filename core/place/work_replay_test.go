package place_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/place"
	"papayarock/core/roster"
	"papayarock/core/work"
)

// Model of a deployment whose KV caches hold less than a batch of average prompts, as
// measured (docs/serving-under-shortage.md, part 4).
const (
	slowPace, fastPace      = 75 * time.Millisecond, 31 * time.Millisecond // between events
	noiseSpan               = 600 * time.Millisecond
	noiseShare              = 0.15
	noiseFactor             = 2.5
	gapJitter               = 0.1 // standard deviation of the natural logarithm of a gap
	lengthMean              = 20  // events, before the limit
	lengthSigma             = 1.5
	maxLength               = 171
	hintSigma               = 0.75
	eventTokens             = 74
	workObjective           = 300 * time.Millisecond
	workMaxPause            = 200 * time.Millisecond
	callerWait              = 15 * time.Second
	workTokensPerMS         = 80
	workOverhead            = 5 * time.Millisecond
	decodeSpeedShare        = 0.35 // prefill speed of a decode engine relative to a prefill engine
	workSlots               = 8
	sharedPromptTokens      = 2400
	importTransfer          = 8 * time.Millisecond
	workGateways            = 4
	workLength              = 60 * time.Second
	streamsPerSecond        = 40
	importsPerSecond        = 30
	longPromptShare         = 0.2
	longUnique, shortUnique = 3200, 200 // tokens
)

var (
	fullBatch  = place.Batch{Slots: workSlots, CacheTokens: 12_000}  // four average prompts
	largeCache = place.Batch{Slots: workSlots, CacheTokens: 100_000} // more than a batch
)

// workEngine serves prompts sequentially and up to workSlots streams at once.
type workEngine struct {
	record  roster.Record
	pace    time.Duration
	noisy   [256]bool // per noiseSpan, repeated
	random  *rand.Rand
	running int
	queue   []func()
	busy    time.Time // with prompts
}

func (e *workEngine) gap(now time.Time) time.Duration {
	gap := float64(e.pace) * math.Exp(gapJitter*e.random.NormFloat64())
	if e.noisy[int(now.Sub(start)/noiseSpan)%len(e.noisy)] {
		gap *= noiseFactor
	}
	return time.Duration(gap)
}

// workRequest is a request of the load and how it ended.
type workRequest struct {
	id      uint64
	at      time.Time
	gateway int
	imports bool // a prompt with a short response, which may be sent to a prefill engine first
	events  int
	hint    int // tokens
	unique  int
	session string

	received   int
	longestGap time.Duration
	first      time.Duration
	engine     fleet.TargetName // that sent the events
	cut        bool             // at callerWait
	refused    bool
}

func (r *workRequest) inTime() bool {
	return !r.cut && !r.refused && r.longestGap <= workMaxPause
}

// workReplay replays a load over gateways that use one placer each.
type workReplay struct {
	simulation
	batch     place.Batch
	placers   []*place.Placer
	lengths   []work.Lengths // by gateway
	pending   []map[uint64]func(place.Choice)
	engines   map[fleet.TargetName]*workEngine
	records   []roster.Record // of the engines
	requests  []*workRequest
	decisions []string
	everWork  bool // a gateway placed by work
}

// newWorkReplay returns a replay with the given numbers of engines. The fast ones come
// first: d0, d1, …
func newWorkReplay(seed uint64, batch place.Batch, prefill, fast, slow int) *workReplay {
	s := &workReplay{batch: batch, engines: make(map[fleet.TargetName]*workEngine), lengths: make([]work.Lengths, workGateways)}
	s.now = start
	var list []roster.Record
	add := func(name string, role fleet.Role, pace time.Duration) {
		r := newRecord(name, role, "kt")
		r.Slots = workSlots
		e := &workEngine{record: r, pace: pace, random: rand.New(rand.NewPCG(seed, uint64(len(list))))}
		for i := range e.noisy {
			e.noisy[i] = e.random.Float64() < noiseShare
		}
		s.engines[r.Target] = e
		list = append(list, r)
	}
	for i := range prefill {
		add(fmt.Sprint("p", i), fleet.Prefill, 0)
	}
	for i := range fast {
		add(fmt.Sprint("d", i), fleet.Decode, fastPace)
	}
	for i := range slow {
		add(fmt.Sprint("d", fast+i), fleet.Decode, slowPace)
	}
	for range workGateways {
		p := newPlacer(list...)
		p.SetGateways(start, workGateways)
		s.placers = append(s.placers, p)
		s.pending = append(s.pending, make(map[uint64]func(place.Choice)))
	}
	s.records = list
	return s
}

// run replays the load of a seed and returns the requests.
func (s *workReplay) run(seed uint64, length time.Duration) *workReplay {
	random := rand.New(rand.NewPCG(seed, 1000))
	for _, imports := range []bool{false, true} {
		rate := float64(streamsPerSecond)
		if imports {
			rate = importsPerSecond
		}
		for at := start; at.Before(start.Add(length)); {
			at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			s.requests = append(s.requests, newWorkRequest(random, uint64(len(s.requests)+1), at, imports))
		}
	}
	for _, r := range s.requests {
		s.schedule(r.at, func() { s.arrive(r) })
	}
	for at := start; at.Before(start.Add(length + callerWait)); at = at.Add(10 * time.Millisecond) {
		s.schedule(at, s.tick)
	}
	for at := start; at.Before(start.Add(length + callerWait)); at = at.Add(time.Second) {
		s.schedule(at, s.announce)
	}
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	return s
}

func newWorkRequest(random *rand.Rand, id uint64, at time.Time, imports bool) *workRequest {
	r := &workRequest{id: id, at: at, gateway: random.IntN(workGateways), imports: imports, unique: shortUnique, session: fmt.Sprint("s", random.IntN(200))}
	if imports {
		r.events = 1 + random.IntN(6)
		if random.Float64() < longPromptShare {
			r.unique = longUnique
		}
	} else {
		n := lengthMean * math.Exp(lengthSigma*random.NormFloat64()-lengthSigma*lengthSigma/2)
		r.events = int(min(max(math.Round(n), 1), maxLength))
	}
	r.hint = max(1, int(float64(r.events*eventTokens)*math.Exp(hintSigma*random.NormFloat64())))
	return r
}

func (r *workRequest) key() work.Key { return work.Key{Route: fmt.Sprint(r.imports), Prompt: r.unique} }

func (s *workReplay) tick() {
	for g, p := range s.placers {
		s.grant(g, p.Tick(s.now))
		s.everWork = s.everWork || p.PlacesByWork("language")
	}
}

// announce repeats the announcements of the engines, as they do once a second.
func (s *workReplay) announce() {
	for i := range s.records {
		s.records[i].Heard = s.now
	}
	for g, p := range s.placers {
		s.grant(g, p.Update(s.now, s.records))
	}
}

func (s *workReplay) grant(gateway int, list []place.Grant) {
	for _, g := range list {
		run := s.pending[gateway][g.ID]
		delete(s.pending[gateway], g.ID)
		run(g.Choice)
	}
}

func (s *workReplay) arrive(r *workRequest) {
	q := place.Request{
		Pool: "language", Split: r.imports, Objective: workObjective, MaxPause: workMaxPause, Batch: s.batch,
		Prompt: place.Prompt{Tokens: sharedPromptTokens + r.unique, Unique: r.unique}, Affinity: r.session,
		Start: r.at, Deadline: r.at.Add(callerWait), TransferTime: importTransfer,
	}
	if s.placers[r.gateway].PlacesByWork("language") {
		q.Events = s.lengths[r.gateway].Estimate(r.key(), r.hint, 0, eventTokens).High
	}
	s.offer(r, q, func(c place.Choice) {
		if c.Target.Role == fleet.Prefill {
			s.prefill(r, q, c)
			return
		}
		s.decode(r, c, c.Uncached)
	})
}

// offer calls run with the target of the request once there is one.
func (s *workReplay) offer(r *workRequest, q place.Request, run func(place.Choice)) {
	p := s.placers[r.gateway]
	d := p.Offer(s.now, r.id, q)
	s.decisions = append(s.decisions, fmt.Sprint(r.id, d.Action, d.Choice.Target.Target, d.Reason, d.Queue))
	switch d.Action {
	case place.Send:
		run(d.Choice)
	case place.Refuse:
		r.refused = true
	case place.Wait:
		s.pending[r.gateway][r.id] = run
		s.schedule(d.Until, func() {
			if s.pending[r.gateway][r.id] != nil {
				delete(s.pending[r.gateway], r.id)
				p.Withdraw(s.now, r.id, q.Pool)
				r.refused = true
			}
		})
	}
}

// readUntil returns when an engine has processed a prompt after those before it.
func (s *workReplay) readUntil(e *workEngine, tokens int) time.Time {
	if e.busy.Before(s.now) {
		e.busy = s.now
	}
	speed := float64(workTokensPerMS)
	if e.record.Role != fleet.Prefill {
		speed *= decodeSpeedShare
	}
	e.busy = e.busy.Add(workOverhead + time.Duration(float64(tokens)/speed*float64(time.Millisecond)))
	return e.busy
}

func (s *workReplay) prefill(r *workRequest, q place.Request, c place.Choice) {
	sent, p := s.now, s.placers[r.gateway]
	s.schedule(s.readUntil(s.engines[c.Target.Target], c.Uncached), func() {
		s.grant(r.gateway, p.RecordFirstEvent(s.now, c.Target, place.FirstEvent{
			Took: s.now.Sub(sent), Objective: workObjective, Prompt: q.Prompt, Uncached: c.Uncached, Affinity: r.session, MaxPause: workMaxPause, Expected: c.Expected,
		}))
		s.grant(r.gateway, p.Finish(s.now, c.Target, place.End{Outcome: place.Served, Answered: true, Uncached: c.Uncached}))
		q.Split, q.CacheFrom = false, c.Target.DataCentre
		s.offer(r, q, func(c place.Choice) { s.decode(r, c, 0) })
	})
}

// decode has an engine send the events of the response once it has a free slot.
func (s *workReplay) decode(r *workRequest, c place.Choice, tokens int) {
	sent, e := s.now, s.engines[c.Target.Target]
	r.engine = c.Target.Target
	begin := func() {
		e.running++
		ready := s.now.Add(c.Transfer)
		if tokens > 0 {
			ready = s.readUntil(e, tokens)
		}
		s.schedule(ready.Add(e.gap(s.now)), func() { s.next(r, c, e, sent, nil) })
	}
	if e.running >= workSlots {
		e.queue = append(e.queue, begin)
		return
	}
	begin()
}

// next delivers an event of the response. gaps are those that the placer has not been told
// of.
func (s *workReplay) next(r *workRequest, c place.Choice, e *workEngine, sent time.Time, gaps []time.Duration) {
	p := s.placers[r.gateway]
	if s.now.After(r.at.Add(callerWait)) {
		r.cut = true
		s.end(r, c, e, place.End{Outcome: place.Abandoned, Answered: r.received > 0, Uncached: c.Uncached, Transfer: c.Transfer})
		return
	}
	if r.received++; r.received == 1 {
		r.first = s.now.Sub(r.at)
		s.grant(r.gateway, p.RecordFirstEvent(s.now, c.Target, place.FirstEvent{
			Took: s.now.Sub(sent), Objective: workObjective, Uncached: c.Uncached, Affinity: r.session, MaxPause: workMaxPause, Expected: c.Expected,
		}))
	}
	if len(gaps) == 4 || r.received == r.events {
		p.RecordGaps(s.now, c.Target, gaps)
		gaps = nil
	}
	if r.received == r.events {
		if p.PlacesByWork("language") {
			s.lengths[r.gateway].Observe(r.key(), r.hint, r.events, eventTokens)
		}
		s.end(r, c, e, place.End{Outcome: place.Served, Answered: true, Uncached: c.Uncached, Transfer: c.Transfer})
		return
	}
	gap := e.gap(s.now)
	r.longestGap = max(r.longestGap, gap)
	s.schedule(s.now.Add(gap), func() { s.next(r, c, e, sent, append(gaps, gap)) })
}

func (s *workReplay) end(r *workRequest, c place.Choice, e *workEngine, end place.End) {
	s.grant(r.gateway, s.placers[r.gateway].Finish(s.now, c.Target, end))
	e.running--
	if len(e.queue) > 0 {
		begin := e.queue[0]
		e.queue = e.queue[1:]
		begin()
	}
}

// lengthClasses are the greatest numbers of events of the classes of streams.
var lengthClasses = []int{6, 20, 50, maxLength}

// classResult counts the streams of one class.
type classResult struct{ streams, longGap, cut, refused, inTime int }

// byLength returns the results of the streams by length class, without imports.
func (s *workReplay) byLength() []classResult {
	out := make([]classResult, len(lengthClasses))
	for _, r := range s.requests {
		if r.imports {
			continue
		}
		x := &out[slices.IndexFunc(lengthClasses, func(limit int) bool { return r.events <= limit })]
		x.add(r)
	}
	return out
}

func (x *classResult) add(r *workRequest) {
	x.streams++
	if r.longestGap > workMaxPause {
		x.longGap++
	}
	if r.cut {
		x.cut++
	}
	if r.refused {
		x.refused++
	}
	if r.inTime() {
		x.inTime++
	}
}

// largest returns the results of the longest tenth of all requests, and of all.
func (s *workReplay) largest() (largest, all classResult) {
	sorted := slices.SortedFunc(slices.Values(s.requests), func(a, b *workRequest) int { return b.events - a.events })
	for i, r := range sorted {
		if i < len(sorted)/10 {
			largest.add(r)
		}
		all.add(r)
	}
	return largest, all
}

func (x classResult) share() float64 { return float64(x.inTime) / float64(max(1, x.streams)) }
