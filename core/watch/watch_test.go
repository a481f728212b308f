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

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a copy that reverts to an older revision, or whose lifetime is
// extended by a response that cannot confirm it.
func TestCopyApply(t *testing.T) {
	tests := map[string]struct {
		responses []watch.PollResponse
		revision  uint64
		fresh     time.Time
	}{
		"lifetime starts at the send time": {
			responses: []watch.PollResponse{{Sent: at(1), Revision: 4}},
			revision:  4, fresh: at(4),
		},
		"an older responder does not confirm": {
			responses: []watch.PollResponse{{Sent: at(1), Revision: 4}, {Sent: at(2), Revision: 3}},
			revision:  4, fresh: at(4),
		},
		"the age of a relay's copy is subtracted with the clock margin": {
			responses: []watch.PollResponse{{Sent: at(1), Revision: 4, Age: time.Second}},
			revision:  4, fresh: at(2.99),
		},
		"a late response does not shorten the lifetime": {
			responses: []watch.PollResponse{{Sent: at(2), Revision: 4}, {Sent: at(1), Revision: 4}},
			revision:  4, fresh: at(5),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c watch.Copy
			for _, a := range tt.responses {
				c.Apply(a)
			}
			is.Equal(c.Revision, tt.revision)
			is.Equal(c.FreshUntil, tt.fresh)
		})
	}
}

// Guards against reporting a change in force while a subscriber may still
// serve without it.
func TestProgress(t *testing.T) {
	is := is.New(t)
	tr := watch.Tracker{Since: at(-10)}
	tr.Record(watch.Subscriber{Host: "a", Revision: 7, Seen: at(0)})
	tr.Record(watch.Subscriber{Host: "b", Revision: 6, Seen: at(0)})
	is.Equal(tr.Progress(at(1), 7, at(0)).Waiting, 1)
	is.True(!tr.Progress(at(3), 7, at(0)).InForce) // b's clock may run slow
	is.True(tr.Progress(at(3.06), 7, at(0)).InForce)
	tr.Record(watch.Subscriber{Host: "b", Revision: 7, Seen: at(1)})
	is.True(tr.Progress(at(1), 7, at(0)).InForce)
	tr.Record(watch.Subscriber{Host: "b", Via: "relay", Revision: 6, Seen: at(0.5)})
	is.True(tr.Progress(at(1), 7, at(0)).InForce) // an older report from a relay
}

// Guards against a change that waits for a node that has shut down gracefully, and
// against not waiting for a node that is only silent, that has started again, or
// whose last poll arrived after the first one of its new process.
func TestProgressWithDepartedSubscriber(t *testing.T) {
	poll := func(run uint64, seen float64, via fleet.Host) watch.Subscriber {
		return watch.Subscriber{Host: "a", Via: via, Revision: 6, Seen: at(seen), Run: run}
	}
	left := func(s watch.Subscriber) watch.Subscriber { s.Left = true; return s }
	tests := map[string]struct {
		polls   []watch.Subscriber
		inForce bool
	}{
		"silent":                                 {[]watch.Subscriber{poll(1, 0, "")}, false},
		"left":                                   {[]watch.Subscriber{poll(1, 0, ""), left(poll(1, 1, ""))}, true},
		"left, a relay reports an earlier poll":  {[]watch.Subscriber{poll(1, 0, ""), left(poll(1, 1, "")), poll(1, 0.5, "r")}, true},
		"left and restarted":                     {[]watch.Subscriber{poll(1, 0, ""), left(poll(1, 1, "")), poll(2, 1.1, "")}, false},
		"restarted, a relay reports an old time": {[]watch.Subscriber{poll(1, 0, ""), left(poll(1, 1, "")), poll(2, 0.9, "r")}, false},
		"restarted, the last poll arrives late":  {[]watch.Subscriber{poll(1, 0, ""), poll(2, 1, "r"), left(poll(1, 1.5, ""))}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tr := watch.Tracker{Since: at(-10)}
			for _, s := range tt.polls {
				tr.Record(s)
			}
			is.New(t).Equal(tr.Progress(at(2), 7, at(0)).InForce, tt.inForce)
		})
	}
}

// Guards against a new leader that reports a change as in force although it does
// not know all subscribers of the previous leader yet.
func TestProgressOfNewLeader(t *testing.T) {
	is := is.New(t)
	tr := watch.Tracker{Since: at(0)}
	is.True(!tr.Progress(at(1), 7, at(-10)).InForce)
	is.True(tr.Progress(at(3.06), 7, at(-10)).InForce)
}

// relayChain simulates a leader, two relays and a node that polls either of them,
// with clocks that run at different rates.
type relayChain struct {
	t             *rapid.T
	change        float64 // time in seconds at which the leader accepts revision 2
	now           float64
	rates         [3]float64 // clock rates of relay 0, relay 1 and the node relative to the leader
	relays        [2]watch.Copy
	relayTrackers [2]watch.Tracker
	node          watch.Copy
	run           uint64     // identifies the node's process
	lastPolls     []lastPoll // last polls in transit
	tracker       watch.Tracker
}

// lastPoll is the last poll of a process, in transit to a relay.
type lastPoll struct {
	relay int
	at    float64
	s     watch.Subscriber
}

// restartNode shuts the node down gracefully and starts it again. Its last poll may
// arrive after the first one of the new process.
func (c *relayChain) restartNode(r int) {
	arrives := c.now + c.delay("last poll")
	c.lastPolls = append(c.lastPolls, lastPoll{r, arrives, watch.Subscriber{
		Host: "node", Revision: c.node.Revision, Seen: at(arrives), Run: c.run, Left: true,
	}})
	c.node = watch.Copy{}
	c.run++
}

// deliverLastPolls records the last polls that have arrived.
func (c *relayChain) deliverLastPolls(now float64) {
	c.lastPolls = slices.DeleteFunc(c.lastPolls, func(l lastPoll) bool {
		if l.at <= now {
			c.relayTrackers[l.relay].Record(l.s)
		}
		return l.at <= now
	})
}

func (c *relayChain) clock(who int, real float64) time.Time { return at(1000 + real*c.rates[who]) }

func (c *relayChain) revision(real float64) uint64 {
	if real >= c.change {
		return 2
	}
	return 1
}

func (c *relayChain) delay(name string) float64 { return rapid.Float64Range(0, 0.8).Draw(c.t, name) }

// pollLeader lets relay r poll the leader. The response may be lost.
func (c *relayChain) pollLeader(r int) {
	sent := c.now
	answered := sent + c.delay("to leader")
	c.deliverLastPolls(answered)
	name := fleet.Host([]string{"relay-0", "relay-1"}[r])
	c.tracker.Record(watch.Subscriber{Host: name, Revision: c.relays[r].Revision, Seen: at(answered)})
	for _, s := range c.relayTrackers[r].Subscribers() {
		s.Via = name
		c.tracker.Record(s)
	}
	c.now = answered + c.delay("from leader")
	if rapid.Bool().Draw(c.t, "relay answered") {
		c.relays[r].Apply(watch.PollResponse{Sent: c.clock(r, sent), Revision: c.revision(answered)})
	}
}

// pollRelay lets the node poll relay r. The response may be lost.
func (c *relayChain) pollRelay(r int) {
	sent := c.now
	answered := sent + c.delay("to relay")
	c.deliverLastPolls(answered)
	c.relayTrackers[r].Record(watch.Subscriber{Host: "node", Revision: c.node.Revision, Seen: at(answered), Run: c.run})
	c.now = answered + c.delay("from relay")
	if rapid.Bool().Draw(c.t, "node answered") && c.relays[r].Revision > 0 {
		c.node.Apply(watch.PollResponse{
			Sent:     c.clock(2, sent),
			Revision: c.relays[r].Revision,
			Age:      c.relays[r].Age(c.clock(r, answered)),
		})
	}
}

// Guards against a node that still serves from an old copy after the leader has
// reported the change as in force. Polls are delayed, responses lost, the node
// moves between relays and restarts gracefully, and clock rates differ within the
// margin.
func TestNoStaleCopyInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &relayChain{t: t, change: rapid.Float64Range(4, 8).Draw(t, "change accepted at"), tracker: watch.Tracker{Since: at(0)}}
		for i := range c.rates {
			c.rates[i] = rapid.Float64Range(0.9951, 1.0049).Draw(t, "clock rate")
		}
		for c.now < 16 {
			r := rapid.IntRange(0, 1).Draw(t, "relay")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				c.pollLeader(r)
			case 2, 3:
				c.pollRelay(r)
			case 4:
				c.restartNode(r)
			}
			p := c.tracker.Progress(at(c.now), 2, at(c.change))
			if c.now >= c.change && p.InForce && c.node.Revision == 1 && c.node.Fresh(c.clock(2, c.now)) {
				t.Fatalf("at %.3f s the change accepted at %.3f s is reported as in force, but the node serves revision 1", c.now, c.change)
			}
		}
	})
}

func ExampleCopy() {
	var c watch.Copy
	sent := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	c.Apply(watch.PollResponse{Sent: sent, Revision: 9, Age: 500 * time.Millisecond})
	fmt.Println(c.Revision, c.Fresh(sent.Add(2*time.Second)), c.Fresh(sent.Add(3*time.Second)))
	// Output: 9 true false
}
