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

// maxDelay is the longest delay of a report. The receiver converts the ages in the
// report to times on its own clock, so a delay shifts them.
const maxDelay = 0.25 // seconds, exact in binary

// reportSimulation simulates nodes that poll one of two relays, and the leader to
// which the relays report.
type reportSimulation struct {
	t            *rapid.T
	now          float64
	relays       [2]map[fleet.Host]watch.Subscriber
	senders      [2]watch.ReportBuilder
	leader       fleet.Host
	received     map[fleet.Host]*watch.ReportReceiver
	tracker      watch.Tracker
	lastPoll     map[fleet.Host]float64 // time of the node's last poll of any relay
	currentRelay map[fleet.Host]int
	reportedPoll map[fleet.Host]time.Time // latest poll time reported to this leader
}

// poll lets a node poll a relay. Bit 0 of changes increments its revision, and the
// other bits are added to its incarnation.
func (w *reportSimulation) poll(node fleet.Host, relay int, changes uint64) {
	s := w.relays[w.currentRelay[node]][node]
	for _, r := range w.relays {
		if r[node].Revision > s.Revision || r[node].Target.Incarnation > s.Target.Incarnation {
			s = r[node]
		}
	}
	s.Host, s.Seen, s.Target.Name = node, at(w.now), fleet.TargetName(node)
	s.Revision += changes & 1
	s.Target.Incarnation += fleet.Incarnation(changes >> 1)
	w.relays[relay][node] = s
	w.lastPoll[node], w.currentRelay[node] = w.now, relay
}

// report sends the report of a relay, which may be delayed. The report or the
// response may be lost.
func (w *reportSimulation) report(relay int) {
	var subscribers []watch.Subscriber
	for _, s := range w.relays[relay] {
		subscribers = append(subscribers, s)
	}
	r := w.senders[relay].Report(at(w.now), w.leader, subscribers)
	delay := seconds(rapid.SampledFrom([]float64{0, 0, maxDelay}).Draw(w.t, "late"))
	fate := rapid.SampledFrom([]string{"arrives", "arrives", "lost", "response lost"}).Draw(w.t, "fate")
	if fate == "lost" {
		w.senders[relay].Acknowledge(false)
		return
	}
	arrives := at(w.now).Add(delay)
	r.OldestPoll = r.OldestPoll.Add(delay)
	r.Subscribers = slices.Clone(r.Subscribers)
	for i := range r.Subscribers {
		r.Subscribers[i].Seen = r.Subscribers[i].Seen.Add(delay)
	}
	name := fleet.Host(fmt.Sprint("relay-", relay))
	if w.received[name] == nil {
		w.received[name] = &watch.ReportReceiver{}
	}
	known, complete := w.received[name].Apply(arrives, r)
	for _, s := range known {
		s.Via = name
		w.tracker.Record(s)
	}
	w.senders[relay].Acknowledge(complete && fate == "arrives")
	if complete {
		w.check(relay)
	}
	if repeated, ok := w.received[name].Apply(arrives, r); ok || repeated != nil {
		w.t.Fatal("a duplicate report was accepted")
	}
}

// check compares the leader's data with the relay's after a complete report.
func (w *reportSimulation) check(relay int) {
	known := make(map[fleet.Host]watch.Subscriber)
	for _, s := range w.tracker.Subscribers() {
		known[s.Host] = s
	}
	for node, s := range w.relays[relay] {
		if s.Seen.After(w.reportedPoll[node]) {
			w.reportedPoll[node] = s.Seen
		}
		k, ok := known[node]
		switch {
		case !ok:
			w.t.Fatalf("node %s is unknown to the leader", node)
		case k.Seen.Before(w.reportedPoll[node]):
			w.t.Fatalf("node %s polled at %v, but the leader has %v and would expire it too early", node, w.reportedPoll[node], k.Seen)
		case k.Heard.After(at(w.lastPoll[node]).Add(seconds(maxDelay))):
			w.t.Fatalf("node %s polled at %v, but the lower bound of the leader is %v", node, at(w.lastPoll[node]), k.Heard)
		case w.currentRelay[node] == relay && (k.Revision != s.Revision || k.Target.Incarnation != s.Target.Incarnation):
			w.t.Fatalf("node %s is %+v at the relay, but %+v at the leader", node, s, k)
		}
	}
}

// Guards against a leader that expires a node which may still serve, that counts a
// silent node as alive, or whose list differs from the relay's. Reports may be
// lost or delayed, responses lost, nodes may move, relays restart and the leader
// change.
func TestReportsKeepSubscribers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &reportSimulation{
			t: t, leader: "leader-0", received: make(map[fleet.Host]*watch.ReportReceiver),
			lastPoll: make(map[fleet.Host]float64), currentRelay: make(map[fleet.Host]int),
			reportedPoll: make(map[fleet.Host]time.Time),
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
				if w.currentRelay[node] != relay {
					delete(w.relays[relay], node)
				}
			case "restart":
				for n := range w.relays[relay] {
					if w.currentRelay[n] != relay {
						delete(w.relays[relay], n)
					}
				}
				w.senders[relay] = watch.ReportBuilder{Run: uint64(step + 10)}
			case "elect":
				w.leader, w.received, w.tracker = fleet.Host(fmt.Sprint("leader-", step)), make(map[fleet.Host]*watch.ReportReceiver), watch.Tracker{}
				clear(w.reportedPoll)
			}
			w.now += rapid.Float64Range(maxDelay, 1.5).Draw(t, "pause")
		}
	})
}

// Guards against reports that grow with the number of subscribers without changes,
// and against reporting late or repeatedly that a node has stopped polling.
func TestReportListsOnlyChanges(t *testing.T) {
	is := is.New(t)
	var s watch.ReportBuilder
	var v watch.ReportReceiver
	send := func(now float64, alive, quiet float64) (watch.Report, []watch.Subscriber) {
		r := s.Report(at(now), "leader", []watch.Subscriber{
			{Host: "a", Seen: at(alive), Revision: 1, Target: watch.AgentStatus{Name: "t", Running: uint32(now * 4), Prefill: 100 + now}},
			{Host: "b", Seen: at(quiet), Revision: 1},
			{Host: "c", Via: "other", Seen: at(now)},
		})
		known, ok := v.Apply(at(now), r)
		s.Acknowledge(ok)
		is.True(ok)
		return r, known
	}
	r, _ := send(1, 0.9, 0.8)
	is.True(r.Full)
	is.Equal(len(r.Subscribers), 2)
	r, known := send(1.25, 0.9, 1.2)
	is.Equal(len(r.Subscribers), 0)
	is.Equal(len(known), 2)
	r, _ = send(2.5, 2.4, 1.2)
	is.Equal(len(r.Subscribers), 1) // b is quiet
	r, known = send(2.75, 2.4, 1.2)
	is.Equal(len(r.Subscribers), 0)
	for _, x := range known {
		is.Equal(x.Heard, map[fleet.Host]time.Time{"a": at(2.4), "b": at(1.2)}[x.Host])
	}
}

// Guards against accepting a report whose checksum does not match, that is based
// on a list which the leader does not have, or that is older than the last one.
func TestReceiverRejectsInconsistentReports(t *testing.T) {
	tests := map[string]struct {
		change   func(r *watch.Report)
		recorded int // subscribers to record; listed ones are valid even if the list is incomplete
	}{
		"wrong checksum": {func(r *watch.Report) { r.Checksum++ }, 1},
		"different run":  {func(r *watch.Report) { r.Run++ }, 1},
		"missing host":   {func(r *watch.Report) { r.Removed = []fleet.Host{"b"} }, 1},
		"older report":   {func(r *watch.Report) { r.Sequence = 1 }, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s watch.ReportBuilder
			var v watch.ReportReceiver
			list := []watch.Subscriber{{Host: "a", Seen: at(1), Revision: 1}, {Host: "b", Seen: at(1), Revision: 1}}
			_, ok := v.Apply(at(1), s.Report(at(1), "leader", list))
			s.Acknowledge(ok)
			is.True(ok)
			list[0].Revision = 2
			r := s.Report(at(1.5), "leader", list)
			tt.change(&r)
			known, ok := v.Apply(at(1.5), r)
			s.Acknowledge(ok)
			is.True(!ok)
			is.Equal(len(known), tt.recorded)
			r = s.Report(at(2), "leader", list)
			is.True(r.Full)
			_, ok = v.Apply(at(2), r)
			is.True(ok)
		})
	}
}

// Guards against treating the nodes of a relay as lost because the relay runs the
// previous version, which sends a full list without sequence numbers each time.
func TestReceiverAcceptsUnnumberedReports(t *testing.T) {
	is := is.New(t)
	var v watch.ReportReceiver
	for i := range 3 {
		known, ok := v.Apply(at(float64(i)), watch.Report{Subscribers: []watch.Subscriber{{Host: "a", Seen: at(float64(i))}}})
		is.True(ok)
		is.Equal(len(known), 1)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against waiting for a node that has shut down gracefully, although its
// relay reports only changes, and against the last poll of a process hiding the
// next process of the same host at another relay.
func TestReportOfDepartedSubscriber(t *testing.T) {
	is := is.New(t)
	now := start
	var tracker watch.Tracker
	tracker.Since = now.Add(-time.Hour)
	relays := map[fleet.Host]*struct {
		own watch.Tracker
		s   watch.ReportBuilder
		v   watch.ReportReceiver
	}{"r1": {s: watch.ReportBuilder{Run: 1}}, "r2": {s: watch.ReportBuilder{Run: 2}}}
	report := func(name fleet.Host) {
		r := relays[name]
		list, complete := r.v.Apply(now, r.s.Report(now, "leader", r.own.Subscribers()))
		r.s.Acknowledge(complete)
		is.True(complete)
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
	poll("r2", 8, false) // a new process of the host
	report("r2")
	is.Equal(waiting(), 1)
	for range 3 {
		now = now.Add(250 * time.Millisecond)
		report("r1")
		is.Equal(waiting(), 1)
	}
}
