package admit_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"papayarock/core/admit"
	"papayarock/core/config"
	"papayarock/core/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func id(n int) (r fleet.RequestID) {
	binary.BigEndian.PutUint64(r[:], uint64(n))
	return r
}

// newQueue returns a queue with the capacity of one target with 8 slots. 100
// prompt tokens cost 10 ms and 100 output tokens cost 100 ms.
func newQueue(o admit.Options) *admit.Queue {
	q := admit.New(o)
	q.Step(start, admit.Capacity{PrefillCost: 1e-4, DecodeCost: 1e-3, Targets: 1, Slots: 8})
	return q
}

func submit(n int, c fleet.Customer, class fleet.Class) admit.Submit {
	return admit.Submit{ID: id(n), Customer: c, Route: "r", Class: class, PromptTokens: 100, MaxOutput: 100, Deadline: start.Add(time.Minute)}
}

func count(actions []admit.Action, d admit.Decision) (n int) {
	for _, a := range actions {
		if a.Decision == d {
			n++
		}
	}
	return n
}

// Guards against a burst of one customer that delays requests of another: with
// 100 requests of a waiting, the request of b is dispatched next.
func TestBurstDoesNotDelayOthers(t *testing.T) {
	is := is.New(t)
	q := newQueue(admit.Options{})
	for n := range 108 {
		q.Step(start, submit(n, "a", fleet.Urgent))
	}
	is.Equal(len(q.Step(start, submit(200, "b", fleet.Urgent))), 0)
	got := q.Step(start, admit.Done{ID: id(0), PromptTokens: 100, OutputTokens: 100})
	is.Equal(len(got), 1)
	is.Equal(got[0].ID, id(200))
}

// Guards against a burst of urgent requests of one customer that starves the
// patient requests of another.
func TestUrgentBurstDoesNotStarvePatient(t *testing.T) {
	is := is.New(t)
	q := newQueue(admit.Options{})
	var running []fleet.RequestID
	apply := func(actions []admit.Action) (patient bool) {
		for _, a := range actions {
			if a.Decision == admit.Dispatch {
				running = append(running, a.ID)
				patient = patient || a.ID == id(500)
			}
		}
		return patient
	}
	for n := range 200 {
		apply(q.Step(start, submit(n, "a", fleet.Urgent)))
	}
	apply(q.Step(start, submit(500, "b", fleet.Patient)))
	for range 50 { // urgent requests of a cost 5.5 s of target time
		done := running[0]
		running = running[1:]
		if apply(q.Step(start, admit.Done{ID: done, PromptTokens: 100, OutputTokens: 100})) {
			return
		}
	}
	is.Fail() // the patient request is still waiting
}

// Guards against patient requests that delay urgent ones: during a window and the
// lead time before it, patient requests leave the reserved share free. The headroom
// outside windows is less than one of the 8 slots.
func TestUrgentGoesFirst(t *testing.T) {
	for name, c := range map[string]struct {
		window config.Window
		want   int // patient requests dispatched to 8 slots
	}{
		"no window":         {config.Window{}, 8},
		"in the window":     {config.Window{Opens: start.Add(-time.Hour), Closes: start.Add(time.Hour), Reserved: 0.5}, 4},
		"before the window": {config.Window{Opens: start.Add(time.Second), Closes: start.Add(time.Hour), Reserved: 0.5}, 4},
		"after the window":  {config.Window{Opens: start.Add(-time.Hour), Closes: start.Add(-time.Minute), Reserved: 0.5}, 8},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := newQueue(admit.Options{})
			q.Step(start, admit.Configure{Windows: []config.Window{c.window}})
			run := 0
			for n := range 20 {
				run += count(q.Step(start, submit(n, "a", fleet.Patient)), admit.Dispatch)
			}
			is.Equal(run, c.want)
			if run < 8 {
				is.Equal(count(q.Step(start, submit(100, "b", fleet.Urgent)), admit.Dispatch), 1)
			}
		})
	}
}

// Guards against requests that wait although they cannot meet their deadline, and
// against an unbounded number of waiting requests.
func TestRefusal(t *testing.T) {
	is := is.New(t)
	q := newQueue(admit.Options{MaxPerCustomer: 5, MaxTotal: 8})
	late := submit(0, "a", fleet.Urgent)
	late.FirstTokenBy = start.Add(5 * time.Millisecond) // the prompt alone takes 10 ms
	is.Equal(q.Step(start, late)[0].Decision, admit.Late)

	n := 1
	for ; n <= 8; n++ {
		is.Equal(q.Step(start, submit(n, "a", fleet.Urgent))[0].Decision, admit.Dispatch)
	}
	for ; n <= 13; n++ {
		is.Equal(len(q.Step(start, submit(n, "a", fleet.Urgent))), 0)
	}
	is.Equal(q.Step(start, submit(n, "a", fleet.Urgent))[0].Decision, admit.Full)
	for n = 20; n < 23; n++ {
		is.Equal(len(q.Step(start, submit(n, "b", fleet.Urgent))), 0)
	}
	got := q.Step(start, submit(30, "c", fleet.Urgent)) // displaces the newest request of the longest queue
	is.Equal(count(got, admit.Displaced), 1)
	is.Equal(got[0].ID, id(13))

	is.Equal(q.Next(), start.Add(time.Minute-10*time.Millisecond))
	is.Equal(count(q.Step(start.Add(time.Minute), admit.Tick{}), admit.Late), 8)
	is.Equal(q.Waiting(), 0)
}

// Guards against refusing all urgent requests indefinitely after a few very late
// first tokens: while all are refused, there are no new first tokens to lower the
// measured overhead.
func TestLateFirstTokens(t *testing.T) {
	is := is.New(t)
	q, n := newQueue(admit.Options{}), 0
	submitAt := func(now time.Time) admit.Decision {
		n++
		u := submit(n, "a", fleet.Urgent)
		u.FirstTokenBy = now.Add(330 * time.Millisecond)
		u.Deadline = now.Add(time.Minute)
		return q.Step(now, u)[0].Decision
	}
	finishAt := func(now time.Time) {
		q.Step(now, admit.FirstToken{ID: id(n)})
		q.Step(now, admit.Done{ID: id(n), PromptTokens: 100, OutputTokens: 10})
	}
	now := start
	is.Equal(submitAt(now), admit.Dispatch)
	now = now.Add(20 * time.Second)
	finishAt(now)
	is.Equal(submitAt(now), admit.Late) // the measured overhead exceeds the deadline
	now = now.Add(time.Minute)
	is.Equal(submitAt(now), admit.Dispatch)
	now = now.Add(50 * time.Millisecond)
	finishAt(now)
	is.Equal(submitAt(now), admit.Dispatch) // one timely sample outweighs those of a minute ago
}

// Guards against a limited customer that exceeds its share in one pool or in two
// pools together, uses an expired share, or gains from shares that are renewed
// often.
func TestLimitShares(t *testing.T) {
	is := is.New(t)
	limits := &admit.Limits{}
	q, other := newQueue(admit.Options{Limits: limits}), newQueue(admit.Options{Limits: limits})
	for _, x := range []*admit.Queue{q, other} {
		x.Step(start, admit.Configure{Customers: []config.Customer{{Name: "a", TokensPerSecond: 150}}})
	}
	is.Equal(q.Step(start, submit(0, "a", fleet.Urgent))[0].Decision, admit.Limited) // no share yet
	grant := func(now time.Time) {
		limits.Grant(now, []admit.Share{{Customer: "a", TokensPerSecond: 150, RequestsPerSecond: math.Inf(1), Expires: start.Add(4 * time.Second)}})
	}
	grant(start)
	is.Equal(q.Step(start, submit(1, "a", fleet.Urgent))[0].Decision, admit.Dispatch)
	grant(start)                                                                          // renewal does not refill the bucket of a
	is.Equal(other.Step(start, submit(2, "a", fleet.Urgent))[0].Decision, admit.Dispatch) // 50 of 450 left
	got := q.Step(start, submit(3, "a", fleet.Urgent))[0]
	is.Equal(got.Decision, admit.Limited)
	is.Equal(got.RetryAfter, time.Second)
	is.Equal(other.Step(start, submit(3, "a", fleet.Urgent))[0].Decision, admit.Limited)
	q.Step(start, admit.Done{ID: id(1), PromptTokens: 100, OutputTokens: 10}) // returns 90 tokens
	other.Step(start, admit.Done{ID: id(2), PromptTokens: 100, OutputTokens: 10})
	is.Equal(q.Step(start, submit(4, "a", fleet.Urgent))[0].Decision, admit.Dispatch)
	is.Equal(q.Step(start.Add(4*time.Second), submit(5, "a", fleet.Urgent))[0].Decision, admit.Limited) // expired
}

// Guards against a request larger than the bucket that is never admitted, against
// a response beyond its estimate that is not charged, and against a mean rate
// above the limit.
func TestLimitHoldsForLargeRequests(t *testing.T) {
	is := is.New(t)
	limits := &admit.Limits{}
	q := newQueue(admit.Options{Limits: limits})
	q.Step(start, admit.Configure{Customers: []config.Customer{{Name: "a", TokensPerSecond: 10}}})
	used, n := 0.0, 0
	for now := start; now.Before(start.Add(10 * time.Minute)); now = now.Add(time.Second) {
		limits.Grant(now, []admit.Share{{Customer: "a", TokensPerSecond: 10, RequestsPerSecond: math.Inf(1), Expires: now.Add(8 * time.Second)}})
		n++
		s := submit(n, "a", fleet.Urgent)
		s.Deadline = now.Add(time.Minute)
		if q.Step(now, s)[0].Decision != admit.Dispatch {
			continue
		}
		q.Step(now, admit.Done{ID: s.ID, PromptTokens: 100, OutputTokens: 300}) // 200 more than estimated
		used += 400
	}
	is.True(used <= 10*600+400) // one request may leave the bucket negative
	is.True(used >= 10*600-400)
}

// Guards against estimates that do not follow the actual output, and against a
// new customer that is not given the estimate of its route.
func TestEstimate(t *testing.T) {
	is := is.New(t)
	q := newQueue(admit.Options{})
	for n := range 50 {
		s := submit(n, "a", fleet.Urgent)
		s.MaxOutput = 0
		q.Step(start, s)
		q.Step(start, admit.Done{ID: id(n), PromptTokens: 100, OutputTokens: 40})
	}
	s := submit(60, "a", fleet.Urgent)
	s.MaxOutput = 0
	is.Equal(q.Step(start, s)[0].OutputTokens, 40.0)
	s = submit(61, "new", fleet.Urgent)
	s.MaxOutput = 0
	is.Equal(q.Step(start, s)[0].OutputTokens, 40.0) // estimate of the route
}

// Guards against requests that are lost, decided twice or dispatched beyond the
// number of slots, for any order of events.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(admit.Options{MaxPerCustomer: 4, MaxTotal: 10})
		now := start
		ended, running := map[fleet.RequestID]bool{}, map[fleet.RequestID]bool{}
		submitted, cancelled := 0, 0
		apply := func(actions []admit.Action) {
			for _, a := range actions {
				if ended[a.ID] {
					t.Fatalf("%v decided twice", a)
				}
				ended[a.ID] = true
				if a.Decision == admit.Dispatch {
					running[a.ID] = true
				}
			}
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			n := id(rapid.IntRange(0, submitted).Draw(t, "id"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				s := submit(submitted, fleet.Customer(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")), fleet.Class(rapid.IntRange(0, 1).Draw(t, "class")))
				s.Deadline = now.Add(time.Second)
				submitted++
				apply(q.Step(now, s))
			case 1:
				delete(running, n)
				apply(q.Step(now, admit.Done{ID: n, PromptTokens: 100, OutputTokens: 300}))
			case 2:
				apply(q.Step(now, admit.Progress{ID: n, OutputTokens: 150}))
			case 3:
				if !ended[n] && n != id(submitted) {
					ended[n] = true
					cancelled++
				}
				delete(running, n)
				apply(q.Step(now, admit.Cancel{ID: n}))
			}
			if len(running) > 8 {
				t.Fatalf("%d requests run on 8 slots", len(running))
			}
		}
		apply(q.Step(now.Add(time.Minute), admit.Tick{}))
		if q.Waiting() != 0 || len(ended) != submitted {
			t.Fatalf("%d waiting, %d of %d ended", q.Waiting(), len(ended), submitted)
		}
	})
}

// Guards against a burst of one customer that reduces the capacity of another, and
// against capacity that is assigned to no entry.
func TestSplitCapacity(t *testing.T) {
	is := is.New(t)
	demands := []admit.CustomerDemand{
		{Entry: "e1", Customer: "a", Weight: 1, Demand: 100}, // a burst
		{Entry: "e1", Customer: "b", Weight: 1, Demand: 2},
		{Entry: "e2", Customer: "c", Weight: 1, Demand: 3},
	}
	grants := admit.FairShares(10, demands)
	is.Equal(grants, map[fleet.Customer]float64{"a": 5, "b": 2, "c": 3})
	is.Equal(admit.SplitCapacity(10, demands), map[fleet.Host]float64{"e1": 7, "e2": 3})
	is.Equal(admit.SplitCapacity(10, demands[1:]), map[fleet.Host]float64{"e1": 4, "e2": 6})
}

// Measures the cost per request, which must not grow with the number of customers.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{8, 1000, 11000} {
		b.Run(fmt.Sprintf("customers-%d", n), func(b *testing.B) {
			q := newQueue(admit.Options{})
			names := make([]fleet.Customer, n)
			for i := range names {
				names[i] = fleet.Customer(fmt.Sprintf("c%d", i))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s := submit(i, names[i%n], fleet.Class(i%2))
				for _, a := range q.Step(start, s) {
					if a.Decision == admit.Dispatch {
						s.ID = a.ID
					}
				}
				if i%2 == 0 {
					q.Step(start, admit.Done{ID: s.ID, PromptTokens: 100, OutputTokens: 100})
				}
			}
		})
	}
}
