package watch

import (
	"time"

	"papayarock/core/fleet"
)

// MaxStale is how long after its last confirmation a copy may be used for
// keyed requests. A change must be in force within 4 s, which leaves 1 s for
// commit and clock rates.
const MaxStale = 3 * time.Second

// PollHold is how long an answerer may hold a poll that has nothing new.
const PollHold = 500 * time.Millisecond

// clockRateMargin is the largest relative difference between the rates of two
// clocks, as a divisor: 1%.
const clockRateMargin = 100

// Copy says how current the configuration held by one node is. The zero value
// holds nothing and is not fresh.
type Copy struct {
	Revision   uint64
	FreshUntil time.Time // keyed requests are refused from this time on
}

// Answer is the answer to one poll.
type Answer struct {
	Sent     time.Time     // when the node sent the poll, on its own clock
	Revision uint64        // of the copy after the answer's changes
	Age      time.Duration // how long before answering the answerer's own copy was confirmed
}

// Apply records an answered poll. It returns false, and changes nothing, if
// the answerer holds an older revision than c: a node never goes back, and such
// an answer confirms nothing about the newer copy.
func (c *Copy) Apply(a Answer) bool {
	if a.Revision < c.Revision {
		return false
	}
	c.Revision = a.Revision
	age := a.Age + a.Age/clockRateMargin
	if until := a.Sent.Add(MaxStale - age); until.After(c.FreshUntil) {
		c.FreshUntil = until
	}
	return true
}

// Fresh says whether the copy may be used for keyed requests at now.
func (c *Copy) Fresh(now time.Time) bool { return now.Before(c.FreshUntil) }

// Age returns how long before now the copy was last confirmed. A relay sends
// it with its answers.
func (c *Copy) Age(now time.Time) time.Duration {
	return now.Sub(c.FreshUntil.Add(-MaxStale))
}

// Subscriber is a node that polls for the configuration.
type Subscriber struct {
	Host     fleet.Host
	Via      fleet.Host // relay that reported it; empty for a direct poll
	Revision uint64     // held when it last polled
	Seen     time.Time  // of its last poll, on the tracker's clock; at the latest, if a relay reports it
	Heard    time.Time  // of its last poll at the earliest; zero means Seen
	Quiet    bool       // a relay reports that it no longer polls
	Target   Sign       // of an agent
	Run      uint64     // drawn at random by each process of the host
	Left     bool       // the process refuses keyed requests from this poll on
}

// Sign is what an agent says about its target with each poll.
type Sign struct {
	Name        fleet.TargetName // empty for a node that is not an agent
	Incarnation fleet.Incarnation
	Ready       bool    // the target answers
	Running     uint32  // requests not yet ended
	Refusing    bool    // the agent accepts no new requests
	Prefill     float64 // prompt tokens/s of the engine while busy; 0 if unknown
	Decode      float64 // output tokens/s of the engine while busy; 0 if unknown
	Load        Load    // not passed on by relays
}

// Load is the backlog of a target.
type Load struct {
	Taken         time.Time // zero: not known
	PrefillTokens float64   // accepted and not yet processed
	DecodeTokens  float64   // still to be produced
	Waiting       uint32    // requests
}

// expired is the time after which a subscriber that has not polled surely
// refuses keyed requests: its clock may run slow and the tracker's fast.
const expired = MaxStale + 2*MaxStale/clockRateMargin

// Tracker records the subscribers of a relay or the leader. Since must be set
// before the first poll is answered.
type Tracker struct {
	// Since is when this tracker began to answer polls. Subscribers of an
	// earlier leader may be unknown to it until they poll again or expire.
	Since time.Time

	subscribers map[fleet.Host]Subscriber
}

// Record notes a poll. A report older than what is known is ignored, since a
// node that changes relay is reported by both for a while. Only the time at which
// it polled at the latest is kept: it may not be taken for expired too early. The
// last poll of a process other than the one that is known is ignored too: the
// host runs again.
func (t *Tracker) Record(s Subscriber) {
	if t.subscribers == nil {
		t.subscribers = make(map[fleet.Host]Subscriber)
	}
	if s.Heard.IsZero() {
		s.Heard = s.Seen
	}
	old, ok := t.subscribers[s.Host]
	if s.Left && (!ok || s.Run != old.Run) {
		return
	}
	// The times of two processes of a host, passed on by two relays, may be out
	// of order, so a poll of another process counts after the last one.
	restarted := ok && old.Left && s.Run != old.Run
	if !ok || restarted {
		t.subscribers[s.Host] = s
		return
	}
	if old.Seen.After(s.Seen) {
		s.Seen = old.Seen
	}
	if s.Heard.Before(old.Heard) {
		old.Seen = s.Seen
		t.subscribers[s.Host] = old
		return
	}
	if s.Revision < old.Revision && s.Via != old.Via {
		s.Revision = old.Revision // the other relay's report is older than the node's copy
	}
	t.subscribers[s.Host] = s
}

// Forget drops subscribers that have not polled since before.
func (t *Tracker) Forget(before time.Time) {
	for h, s := range t.subscribers {
		if s.Seen.Before(before) {
			delete(t.subscribers, h)
		}
	}
}

// Subscribers returns the known subscribers in no stated order.
func (t *Tracker) Subscribers() []Subscriber {
	out := make([]Subscriber, 0, len(t.subscribers))
	for _, s := range t.subscribers {
		out = append(out, s)
	}
	return out
}

// Present returns the number of subscribers that have not left.
func (t *Tracker) Present() (n int) {
	for _, s := range t.subscribers {
		if !s.Left {
			n++
		}
	}
	return n
}

// LastSeen returns when host last polled; the zero time if it never did.
func (t *Tracker) LastSeen(host fleet.Host) time.Time { return t.subscribers[host].Seen }

// Progress says how far a change has come.
type Progress struct {
	InForce bool
	Holding int       // subscribers that have the change
	Waiting int       // subscribers that may still serve without it
	By      time.Time // when the change is in force at the latest
}

// Progress returns how far the change to revision, accepted at the given time,
// has come at now.
//
// Before the latest time, the change is in force only if the tracker knows all
// subscribers. It does once the subscribers of an earlier leader have expired
// and each relay holds the change: a relay reports all its subscribers together
// with its own revision, and from then on hands out nothing older.
func (t *Tracker) Progress(now time.Time, revision uint64, accepted time.Time) Progress {
	p := Progress{By: accepted.Add(expired)}
	for _, s := range t.subscribers {
		if s.Left {
			continue
		}
		if s.Revision >= revision {
			p.Holding++
		} else if now.Before(s.Seen.Add(expired)) {
			p.Waiting++
		}
	}
	if !now.Before(p.By) {
		p.Waiting = 0
	}
	known := !now.Before(t.Since.Add(expired))
	p.InForce = p.Waiting == 0 && known
	return p
}
