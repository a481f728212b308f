package watch

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayarock/core/fleet"
)

const (
	// listedAfter is how long after its last poll a subscriber is reported by
	// itself, with the time of that poll. Polls are held for PollHold, and an
	// answer and the next poll take up to 0.7 s on a loaded machine.
	listedAfter = 1200 * time.Millisecond
	// speedStep is the relative change of a reported speed that is passed on.
	speedStep = 0.1
)

// Report is what a relay tells the leader of its subscribers: those that changed
// since the last report, and a sum over all, by which the leader knows that it
// has the whole list. Every subscriber that is neither listed nor quiet nor left
// has polled between Oldest and the time of the report.
type Report struct {
	Run      uint64 // of the relay; another one begins with a whole list
	Sequence uint64 // rises within a run
	Whole    bool   // Listed is the whole list
	Listed   []Subscriber
	Gone     []fleet.Host
	Oldest   time.Time
	Sum      uint64
}

// Sender makes the reports of a relay. The zero value is ready; Run should be set
// to a value that differs between runs of the relay.
type Sender struct {
	Run uint64

	sequence uint64
	leader   fleet.Host
	held     map[fleet.Host]Subscriber // what the leader holds; nil means unknown
	sent     map[fleet.Host]Subscriber // after the report under way
}

// Report makes the next report to a leader. It lists the subscribers that poll
// this relay itself. Each report must be followed by Answered.
func (s *Sender) Report(now time.Time, leader fleet.Host, subscribers []Subscriber) Report {
	if leader != s.leader {
		s.leader, s.held = leader, nil
	}
	s.sequence++
	r := Report{Run: s.Run, Sequence: s.sequence, Whole: s.held == nil, Oldest: now}
	s.sent = make(map[fleet.Host]Subscriber, len(subscribers))
	for _, x := range subscribers {
		if x.Via != "" {
			continue
		}
		x.Quiet = now.Sub(x.Seen) >= listedAfter
		if !x.Quiet && !x.Left && x.Seen.Before(r.Oldest) {
			r.Oldest = x.Seen
		}
		old, ok := s.held[x.Host]
		if ok && !differs(old, x) {
			x = old // what the leader holds
		} else {
			r.Listed = append(r.Listed, x)
		}
		s.sent[x.Host] = x
		r.Sum += digest(x)
	}
	for h := range s.held {
		if _, ok := s.sent[h]; !ok {
			r.Gone = append(r.Gone, h)
		}
	}
	return r
}

// Answered says whether the leader accepted the last report. Without that the
// next one lists all: an answer may be lost after the report was taken in.
func (s *Sender) Answered(accepted bool) {
	s.held, s.sent = s.sent, nil
	if !accepted {
		s.held = nil
	}
}

// differs says whether the leader has to know of a change. It tells drained from
// busy by Running, but needs no count.
func differs(old, x Subscriber) bool {
	a, b := old.Target, x.Target
	return old.Revision != x.Revision || old.Run != x.Run || old.Left != x.Left || old.Quiet != x.Quiet || x.Quiet && !old.Seen.Equal(x.Seen) ||
		a.Name != b.Name || a.Incarnation != b.Incarnation || a.Ready != b.Ready || a.Refusing != b.Refusing ||
		(a.Running == 0) != (b.Running == 0) || b.Refusing && a.Running != b.Running ||
		moved(a.Prefill, b.Prefill) || moved(a.Decode, b.Decode)
}

func moved(a, b float64) bool { return math.Abs(a-b) > speedStep*math.Min(a, b) }

// digest stands for what both ends must hold of a subscriber. Times are left out:
// they are sent as ages.
func digest(s Subscriber) uint64 {
	b := make([]byte, 0, 128)
	for _, text := range []string{string(s.Host), string(s.Target.Name)} {
		b = binary.AppendUvarint(b, uint64(len(text)))
		b = append(b, text...)
	}
	for _, n := range []uint64{
		s.Revision, s.Run, bit(s.Left), uint64(s.Target.Incarnation), uint64(s.Target.Running), bit(s.Quiet), bit(s.Target.Ready),
		bit(s.Target.Refusing), math.Float64bits(s.Target.Prefill), math.Float64bits(s.Target.Decode),
	} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return xxhash.Sum64(b)
}

func bit(v bool) uint64 {
	if v {
		return 1
	}
	return 0
}

// Receiver holds the list of one relay at the leader. The zero value is empty.
type Receiver struct {
	Last time.Time // of the last report

	run, sequence uint64
	held          map[fleet.Host]Subscriber // nil: a whole list is needed
}

// Apply takes in a report that arrived at now. It returns the subscribers to
// record, and whether they are the whole list of the relay. If not, what is
// listed holds by itself, nothing is known of the others, and the relay has to
// list all.
func (v *Receiver) Apply(now time.Time, r Report) ([]Subscriber, bool) {
	if r.Sequence == 0 { // a relay of the version before lists all each time
		v.Last, v.held = now, nil
		return r.Listed, true
	}
	if r.Run == v.run && r.Sequence <= v.sequence {
		return nil, false // overtaken by a newer report
	}
	known := r.Whole || r.Run == v.run && v.held != nil
	v.run, v.sequence, v.Last = r.Run, r.Sequence, now
	for i := range r.Listed {
		r.Listed[i].Heard = r.Listed[i].Seen
	}
	if !known {
		v.held = nil
		return r.Listed, false
	}
	if r.Whole {
		v.held = make(map[fleet.Host]Subscriber, len(r.Listed))
	}
	for h, s := range v.held {
		if !s.Quiet && !s.Left {
			s.Seen = now // at the latest
			if r.Oldest.After(s.Heard) {
				s.Heard = r.Oldest
			}
			v.held[h] = s
		}
	}
	for _, h := range r.Gone {
		delete(v.held, h)
	}
	for _, s := range r.Listed {
		v.held[s.Host] = s
	}
	out, sum := make([]Subscriber, 0, len(v.held)), uint64(0)
	for _, s := range v.held {
		sum += digest(s)
		out = append(out, s)
	}
	if sum != r.Sum {
		v.held = nil
		return r.Listed, false
	}
	return out, true
}
