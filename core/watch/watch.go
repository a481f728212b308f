package watch

import (
	"time"

	"papayarock/core/fleet"
)

// MaxStale is how long after its last confirmation a copy may be used for keyed
// requests. A change must be in force within 4 s, which leaves 1 s for the commit
// and for differences in clock rate.
const MaxStale = 3 * time.Second

// MaxPollHold is how long a relay or the leader may hold a poll while there is no
// change.
const MaxPollHold = 500 * time.Millisecond

// clockMarginDivisor is the reciprocal of the largest relative difference between
// the rates of two clocks: 100 stands for 1%.
const clockMarginDivisor = 100

// Copy describes how current a node's copy of the configuration is. The zero
// value stands for no copy and is not fresh.
type Copy struct {
	Revision   uint64
	FreshUntil time.Time // keyed requests are refused from then on
}

// PollResponse is the response to one poll, with the time at which the poll was sent.
type PollResponse struct {
	Sent     time.Time     // when the node sent the poll, on its own clock
	Revision uint64        // revision of the copy after the response's changes are applied
	Age      time.Duration // time since the responder's own copy was confirmed
}

// Apply records the response to a poll. If the responder has an older revision
// than c, it changes nothing and returns false: a node never reverts to an older
// revision, and such a response does not confirm the newer copy.
func (c *Copy) Apply(a PollResponse) bool {
	if a.Revision < c.Revision {
		return false
	}
	c.Revision = a.Revision
	age := a.Age + a.Age/clockMarginDivisor
	if freshUntil := a.Sent.Add(MaxStale - age); freshUntil.After(c.FreshUntil) {
		c.FreshUntil = freshUntil
	}
	return true
}

// Fresh reports whether the copy may be used for keyed requests at now.
func (c *Copy) Fresh(now time.Time) bool { return now.Before(c.FreshUntil) }

// Age returns the time since the copy was last confirmed. A relay includes it in
// its responses.
func (c *Copy) Age(now time.Time) time.Duration {
	return now.Sub(c.FreshUntil.Add(-MaxStale))
}

// Subscriber is a node that polls for the configuration.
type Subscriber struct {
	Host     fleet.Host
	Via      fleet.Host  // relay that reported the subscriber; empty for a direct poll
	Revision uint64      // revision of its copy at its last poll
	Seen     time.Time   // time of its last poll on the tracker's clock; an upper bound if reported by a relay
	Heard    time.Time   // lower bound for the time of its last poll; zero means Seen
	Quiet    bool        // reported by a relay as no longer polling
	Target   AgentStatus // state of the agent's target; zero for other nodes
	Run      uint64      // random number of the process, drawn at its start
	Left     bool        // the process has shut down gracefully and refuses keyed requests since this poll
}

// AgentStatus is the status of a target, which its agent sends with each poll.
type AgentStatus struct {
	Name        fleet.TargetName // empty if the node is not an agent
	Incarnation fleet.Incarnation
	Ready       bool    // the target responds to its agent
	Running     uint32  // number of requests in progress
	Refusing    bool    // the agent accepts no new requests
	Prefill     float64 // prompt tokens/s of the engine while busy; 0 if unknown
	Decode      float64 // output tokens/s of the engine while busy; 0 if unknown
	Load        Load    // not forwarded by relays
}

// Load is the backlog of a target.
type Load struct {
	Taken         time.Time // time of the measurement; zero if the load is unknown
	PrefillTokens float64   // tokens accepted but not yet processed
	DecodeTokens  float64   // tokens still to be generated
	Waiting       uint32    // number of waiting requests
}

// expiry is the time after which a subscriber that has not polled is certain to
// refuse keyed requests, even if its clock runs slow and the tracker's fast. The
// margin counts twice.
const expiry = MaxStale + 2*MaxStale/clockMarginDivisor

// Tracker records the subscribers of a relay or the leader. Since must be set
// before the first poll is answered.
type Tracker struct {
	// Since is when this tracker started to answer polls. Subscribers of an
	// earlier leader may be unknown to it until they poll again or expire.
	Since time.Time

	subscribers map[fleet.Host]Subscriber
}

// Record records a poll.
//
// A node that changes relay is reported by both relays for a while. If a report is
// older than what the tracker knows, only its upper bound of the poll time counts,
// if that is later, so that the node does not expire too early.
//
// The last poll of a process that has shut down is ignored unless the tracker knows
// the host by that same process: otherwise the host is unknown or has been
// started again.
func (t *Tracker) Record(s Subscriber) {
	if t.subscribers == nil {
		t.subscribers = make(map[fleet.Host]Subscriber)
	}
	if s.Heard.IsZero() {
		s.Heard = s.Seen
	}
	previous, ok := t.subscribers[s.Host]
	if s.Left && (!ok || s.Run != previous.Run) {
		return
	}
	// Poll times of two processes of a host that are reported by two relays may be
	// out of order. A poll of another process after the last poll of the known one
	// therefore counts regardless of its time.
	restarted := ok && previous.Left && s.Run != previous.Run
	if !ok || restarted {
		t.subscribers[s.Host] = s
		return
	}
	if previous.Seen.After(s.Seen) {
		s.Seen = previous.Seen
	}
	if s.Heard.Before(previous.Heard) {
		previous.Seen = s.Seen
		t.subscribers[s.Host] = previous
		return
	}
	if s.Revision < previous.Revision && s.Via != previous.Via {
		s.Revision = previous.Revision // the report of the other relay is older than the node's copy
	}
	t.subscribers[s.Host] = s
}

// RemoveInactive removes the subscribers whose last poll was earlier than before.
func (t *Tracker) RemoveInactive(before time.Time) {
	for h, s := range t.subscribers {
		if s.Seen.Before(before) {
			delete(t.subscribers, h)
		}
	}
}

// Subscribers returns the known subscribers in unspecified order.
func (t *Tracker) Subscribers() []Subscriber {
	out := make([]Subscriber, 0, len(t.subscribers))
	for _, s := range t.subscribers {
		out = append(out, s)
	}
	return out
}

// ActiveCount returns the number of subscribers that have not shut down gracefully.
func (t *Tracker) ActiveCount() (n int) {
	for _, s := range t.subscribers {
		if !s.Left {
			n++
		}
	}
	return n
}

// LastPoll returns the time of host's last poll, or the zero time if it never
// polled. For a subscriber that a relay reported it is an upper bound.
func (t *Tracker) LastPoll(host fleet.Host) time.Time { return t.subscribers[host].Seen }

// Progress describes how far a change has propagated.
type Progress struct {
	InForce   bool
	UpToDate  int       // number of subscribers that have the change
	Waiting   int       // number of subscribers that may still serve without the change
	InForceBy time.Time // time by which the change is in force at the latest
}

// Progress returns how far the change to revision, accepted at the given time,
// has propagated at now.
//
// The change is in force only if the tracker knows all subscribers. Those of an
// earlier leader are known or expired once expiry has passed since Since. A
// relay counts as waiting until it has the change. It reports all its subscribers
// together with its own revision, and from then on serves no older revision.
func (t *Tracker) Progress(now time.Time, revision uint64, accepted time.Time) Progress {
	p := Progress{InForceBy: accepted.Add(expiry)}
	for _, s := range t.subscribers {
		if s.Left {
			continue
		}
		if s.Revision >= revision {
			p.UpToDate++
		} else if now.Before(s.Seen.Add(expiry)) {
			p.Waiting++
		}
	}
	if !now.Before(p.InForceBy) {
		p.Waiting = 0
	}
	known := !now.Before(t.Since.Add(expiry))
	p.InForce = p.Waiting == 0 && known
	return p
}
