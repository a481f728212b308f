package watch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"papayarock/core/fleet"
	"papayarock/core/watch"
)

// lateBy bounds how late a report arrives; its ages then count from there.
const lateBy = 0.25 // seconds, exact in binary

// reporting is nodes that poll one of two relays, and their leader.
type reporting struct {
	t        *rapid.T
	now      float64
	relays   [2]map[fleet.Host]watch.Subscriber
	senders  [2]watch.Sender
	leader   fleet.Host
	received map[fleet.Host]*watch.Receiver
	tracker  watch.Tracker
	polled   map[fleet.Host]float64 // last poll of any relay that still lives
	via      map[fleet.Host]int
	told     map[fleet.Host]time.Time // last poll that this leader was told of
}

// poll lets a node poll a relay, with a newer revision or incarnation or none.
func (w *reporting) poll(node fleet.Host, relay int, news uint64) {
	s := w.relays[w.via[node]][node]
	for _, r := range w.relays {
		if r[node].Revision > s.Revision || r[node].Target.Incarnation > s.Target.Incarnation {
			s = r[node]
		}
	}
	s.Host, s.Seen, s.Target.Name = node, at(w.now), fleet.TargetName(node)
	s.Revision += news & 1
	s.Target.Incarnation += fleet.Incarnation(news >> 1)
	w.relays[relay][node] = s
	w.polled[node], w.via[node] = w.now, relay
}

// report sends the report of a relay. It may arrive late, and it or its answer
// may be lost.
func (w *reporting) report(relay int) {
	var list []watch.Subscriber
	for _, s := range w.relays[relay] {
		list = append(list, s)
	}
	r := w.senders[relay].Report(at(w.now), w.leader, list)
	late := late(rapid.SampledFrom([]float64{0, 0, lateBy}).Draw(w.t, "late"))
	fate := rapid.SampledFrom([]string{"arrives", "arrives", "lost", "answer lost"}).Draw(w.t, "fate")
	if fate == "lost" {
		w.senders[relay].Answered(false)
		return
	}
	arrives := at(w.now).Add(late)
	r.Oldest = r.Oldest.Add(late)
	r.Listed = slices.Clone(r.Listed)
	for i := range r.Listed {
		r.Listed[i].Seen = r.Listed[i].Seen.Add(late)
	}
	name := fleet.Host(fmt.Sprint("relay-", relay))
	if w.received[name] == nil {
		w.received[name] = &watch.Receiver{}
	}
	known, complete := w.received[name].Apply(arrives, r)
	for _, s := range known {
		s.Via = name
		w.tracker.Record(s)
	}
	w.senders[relay].Answered(complete && fate == "arrives")
	if complete {
		w.check(relay)
	}
	if again, ok := w.received[name].Apply(arrives, r); ok || again != nil {
		w.t.Fatal("a repeated report is taken in")
	}
}

// check compares what the leader knows after a whole list of a relay.
func (w *reporting) check(relay int) {
	known := make(map[fleet.Host]watch.Subscriber)
	for _, s := range w.tracker.Subscribers() {
		known[s.Host] = s
	}
	for node, s := range w.relays[relay] {
		if s.Seen.After(w.told[node]) {
			w.told[node] = s.Seen
		}
		k, ok := known[node]
		switch {
		case !ok:
			w.t.Fatalf("the leader does not know %s", node)
		case k.Seen.Before(w.told[node]):
			w.t.Fatalf("%s polled at %v, the leader has %v: it would be taken for expired too early", node, w.told[node], k.Seen)
		case k.Heard.After(at(w.polled[node]).Add(late(lateBy))):
			w.t.Fatalf("%s polled at %v, the leader has heard of it at %v", node, at(w.polled[node]), k.Heard)
		case w.via[node] == relay && (k.Revision != s.Revision || k.Target.Incarnation != s.Target.Incarnation):
			w.t.Fatalf("%s is %+v, the leader has %+v", node, s, k)
		}
	}
}

// Guards against a leader that takes a node for expired while it may still serve,
// or for alive after it fell silent, and against one that believes in a list which
// is not that of the relay: with lost and late reports, lost answers, nodes that
// move, relays that are started anew, and a change of leader.
func TestReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &reporting{
			t: t, leader: "leader-0", received: make(map[fleet.Host]*watch.Receiver),
			polled: make(map[fleet.Host]float64), via: make(map[fleet.Host]int),
			told: make(map[fleet.Host]time.Time),
		}
		for i := range w.relays {
			w.relays[i] = make(map[fleet.Host]watch.Subscriber)
			w.senders[i].Run = uint64(i + 1)
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			relay := rapid.IntRange(0, 1).Draw(t, "relay")
			node := fleet.Host(fmt.Sprint("node-", rapid.IntRange(0, 3).Draw(t, "node")))
			switch rapid.SampledFrom([]string{"poll", "poll", "poll", "report", "report", "forget", "restart", "elect"}).Draw(t, "action") {
			case "poll":
				w.poll(node, relay, rapid.Uint64Range(0, 3).Draw(t, "news"))
			case "report":
				w.report(relay)
			case "forget":
				if w.via[node] != relay {
					delete(w.relays[relay], node)
				}
			case "restart":
				for n := range w.relays[relay] {
					if w.via[n] != relay {
						delete(w.relays[relay], n)
					}
				}
				w.senders[relay] = watch.Sender{Run: uint64(step + 10)}
			case "elect":
				w.leader, w.received, w.tracker = fleet.Host(fmt.Sprint("leader-", step)), make(map[fleet.Host]*watch.Receiver), watch.Tracker{}
				clear(w.told)
			}
			w.now += rapid.Float64Range(lateBy, 1.5).Draw(t, "pause")
		}
	})
}

// Guards against reports that grow with the number of subscribers that only poll,
// and against a node that stopped to poll being told late or again and again.
func TestReportListsChanges(t *testing.T) {
	is := is.New(t)
	var s watch.Sender
	var v watch.Receiver
	send := func(now float64, alive, quiet float64) (watch.Report, []watch.Subscriber) {
		r := s.Report(at(now), "leader", []watch.Subscriber{
			{Host: "a", Seen: at(alive), Revision: 1, Target: watch.Sign{Name: "t", Running: uint32(now * 4), Prefill: 100 + now}},
			{Host: "b", Seen: at(quiet), Revision: 1},
			{Host: "c", Via: "other", Seen: at(now)},
		})
		known, ok := v.Apply(at(now), r)
		s.Answered(ok)
		is.True(ok)
		return r, known
	}
	r, _ := send(1, 0.9, 0.8)
	is.True(r.Whole)
	is.Equal(len(r.Listed), 2)
	r, known := send(1.25, 0.9, 1.2)
	is.Equal(len(r.Listed), 0)
	is.Equal(len(known), 2)
	r, _ = send(2.5, 2.4, 1.2)
	is.Equal(len(r.Listed), 1) // b is quiet
	r, known = send(2.75, 2.4, 1.2)
	is.Equal(len(r.Listed), 0)
	for _, x := range known {
		is.Equal(x.Heard, map[fleet.Host]time.Time{"a": at(2.4), "b": at(1.2)}[x.Host])
	}
}

// Guards against a list that is believed although it contradicts the relay's sum,
// is based on one that this leader does not hold, or was overtaken.
func TestReceiverRefuses(t *testing.T) {
	tests := map[string]struct {
		change   func(r *watch.Report)
		recorded int // what is listed holds by itself
	}{
		"another list":    {func(r *watch.Report) { r.Sum++ }, 1},
		"another run":     {func(r *watch.Report) { r.Run++ }, 1},
		"a missing host":  {func(r *watch.Report) { r.Gone = []fleet.Host{"b"} }, 1},
		"an older report": {func(r *watch.Report) { r.Sequence = 1 }, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s watch.Sender
			var v watch.Receiver
			list := []watch.Subscriber{{Host: "a", Seen: at(1), Revision: 1}, {Host: "b", Seen: at(1), Revision: 1}}
			_, ok := v.Apply(at(1), s.Report(at(1), "leader", list))
			s.Answered(ok)
			is.True(ok)
			list[0].Revision = 2
			r := s.Report(at(1.5), "leader", list)
			tt.change(&r)
			known, ok := v.Apply(at(1.5), r)
			s.Answered(ok)
			is.True(!ok)
			is.Equal(len(known), tt.recorded)
			r = s.Report(at(2), "leader", list)
			is.True(r.Whole)
			_, ok = v.Apply(at(2), r)
			is.True(ok)
		})
	}
}

// Guards against a leader that takes the nodes of a relay for lost because the
// relay still runs the version before.
func TestReceiverTakesWholeLists(t *testing.T) {
	is := is.New(t)
	var v watch.Receiver
	for i := range 3 {
		known, ok := v.Apply(at(float64(i)), watch.Report{Listed: []watch.Subscriber{{Host: "a", Seen: at(float64(i))}}})
		is.True(ok)
		is.Equal(len(known), 1)
	}
}

func late(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// Guards against a node that stops in order and is waited for because its relay
// reports changes only, and against the last poll of a process that hides the
// next one of its host at another relay.
func TestReportOfLeaver(t *testing.T) {
	is := is.New(t)
	now := start
	var tracker watch.Tracker
	tracker.Since = now.Add(-time.Hour)
	relays := map[fleet.Host]*struct {
		own watch.Tracker
		s   watch.Sender
		v   watch.Receiver
	}{"r1": {s: watch.Sender{Run: 1}}, "r2": {s: watch.Sender{Run: 2}}}
	report := func(name fleet.Host) {
		r := relays[name]
		list, whole := r.v.Apply(now, r.s.Report(now, "leader", r.own.Subscribers()))
		r.s.Answered(whole)
		is.True(whole)
		for _, x := range list {
			x.Via = name
			tracker.Record(x)
		}
	}
	poll := func(relay fleet.Host, run uint64, left bool) {
		relays[relay].own.Record(watch.Subscriber{Host: "n", Revision: 1, Seen: now, Run: run, Left: left})
	}
	waiting := func() int { return tracker.Progress(now, 2, now).Waiting }
	poll("r1", 7, false)
	report("r1")
	is.Equal(waiting(), 1)
	now = now.Add(100 * time.Millisecond)
	poll("r1", 7, true)
	report("r1")
	is.Equal(waiting(), 0)
	now = now.Add(100 * time.Millisecond)
	poll("r2", 8, false) // the host runs again
	report("r2")
	is.Equal(waiting(), 1)
	for range 3 {
		now = now.Add(250 * time.Millisecond)
		report("r1")
		is.Equal(waiting(), 1)
	}
}
