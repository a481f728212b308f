package watch

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayarock/core/fleet"
)

const (
	// quietAfter is the time since its last poll after which a subscriber is
	// listed as quiet, with the time of that poll. Polls are held for MaxPollHold,
	// and the response and the next poll take up to 0.7 s on a loaded machine.
	quietAfter = 1200 * time.Millisecond
	// speedTolerance is the relative change of a speed above which it is reported
	// again.
	speedTolerance = 0.1
)

// Report is an incremental report of a relay's subscribers to the leader. It
// contains the subscribers that changed since the last report and a checksum over
// all of them, with which the leader verifies that its list is complete. Every
// subscriber that is not listed, quiet or shut down (Left) has polled between
// OldestPoll and the time of the report.
type Report struct {
	Run         uint64 // identifies the process of the relay; each run starts with a full list
	Sequence    uint64 // increases within a run; 0 if the relay sends full lists only
	Full        bool   // Subscribers contains all subscribers
	Subscribers []Subscriber
	Removed     []fleet.Host // subscribers that were removed
	OldestPoll  time.Time    // earliest last poll of the subscribers that are neither quiet nor shut down
	Checksum    uint64       // sum of the digests of all subscribers
}

// ReportBuilder creates the reports of a relay. The zero value is ready to use, but Run
// should be set to a value that differs between runs of the relay.
type ReportBuilder struct {
	Run uint64

	sequence     uint64
	leader       fleet.Host
	acknowledged map[fleet.Host]Subscriber // the leader's list; nil if unknown
	pending      map[fleet.Host]Subscriber // the leader's list once it has accepted the pending report
}

// Report returns the next report to a leader. It covers only the subscribers that
// poll this relay directly. Each call must be followed by one of Acknowledge.
func (s *ReportBuilder) Report(now time.Time, leader fleet.Host, subscribers []Subscriber) Report {
	if leader != s.leader {
		s.leader, s.acknowledged = leader, nil
	}
	s.sequence++
	r := Report{Run: s.Run, Sequence: s.sequence, Full: s.acknowledged == nil, OldestPoll: now}
	s.pending = make(map[fleet.Host]Subscriber, len(subscribers))
	for _, x := range subscribers {
		if x.Via != "" {
			continue
		}
		x.Quiet = now.Sub(x.Seen) >= quietAfter
		if !x.Quiet && !x.Left && x.Seen.Before(r.OldestPoll) {
			r.OldestPoll = x.Seen
		}
		old, ok := s.acknowledged[x.Host]
		if ok && !needsReport(old, x) {
			x = old // the digest must match the copy at the leader
		} else {
			r.Subscribers = append(r.Subscribers, x)
		}
		s.pending[x.Host] = x
		r.Checksum += digest(x)
	}
	for h := range s.acknowledged {
		if _, ok := s.pending[h]; !ok {
			r.Removed = append(r.Removed, h)
		}
	}
	return r
}

// Acknowledge records whether the leader accepted the last report. If it did not, or
// if its response was lost, the leader's list is unknown and the next report
// lists all subscribers.
func (s *ReportBuilder) Acknowledge(accepted bool) {
	s.acknowledged, s.pending = s.pending, nil
	if !accepted {
		s.acknowledged = nil
	}
}

// needsReport reports whether a change must be reported to the leader. The leader
// uses Running only to distinguish drained from busy targets, so a change of the
// number is reported only while the target refuses requests.
func needsReport(previous, current Subscriber) bool {
	a, b := previous.Target, current.Target
	return previous.Revision != current.Revision || previous.Run != current.Run || previous.Left != current.Left || previous.Quiet != current.Quiet || current.Quiet && !previous.Seen.Equal(current.Seen) ||
		a.Name != b.Name || a.Incarnation != b.Incarnation || a.Ready != b.Ready || a.Refusing != b.Refusing ||
		(a.Running == 0) != (b.Running == 0) || b.Refusing && a.Running != b.Running ||
		speedChanged(a.Prefill, b.Prefill) || speedChanged(a.Decode, b.Decode)
}

func speedChanged(a, b float64) bool { return math.Abs(a-b) > speedTolerance*math.Min(a, b) }

// digest returns a hash of the data of a subscriber that must be equal at relay
// and leader. Times are excluded because they are sent as ages.
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

// ReportReceiver maintains the list of one relay's subscribers at the leader. The zero
// value is empty and ready to use.
type ReportReceiver struct {
	LastReport time.Time // time of the last report

	run, sequence uint64
	subscribers   map[fleet.Host]Subscriber // nil if a full list is required
}

// Apply processes a report that arrived at now. It returns the subscribers to
// record and whether they are the complete list of the relay. If they are not,
// the returned subscribers are still valid, but the others are unknown and the
// relay must send a full list.
func (rr *ReportReceiver) Apply(now time.Time, r Report) ([]Subscriber, bool) {
	if r.Sequence == 0 { // a relay of the previous version sends a full list each time
		rr.LastReport, rr.subscribers = now, nil
		return r.Subscribers, true
	}
	if r.Run == rr.run && r.Sequence <= rr.sequence {
		return nil, false // duplicate, or older than the last report
	}
	known := r.Full || r.Run == rr.run && rr.subscribers != nil
	rr.run, rr.sequence, rr.LastReport = r.Run, r.Sequence, now
	for i := range r.Subscribers {
		r.Subscribers[i].Heard = r.Subscribers[i].Seen
	}
	if !known {
		rr.subscribers = nil
		return r.Subscribers, false
	}
	if r.Full {
		rr.subscribers = make(map[fleet.Host]Subscriber, len(r.Subscribers))
	}
	for h, s := range rr.subscribers {
		if !s.Quiet && !s.Left {
			s.Seen = now // upper bound
			if r.OldestPoll.After(s.Heard) {
				s.Heard = r.OldestPoll
			}
			rr.subscribers[h] = s
		}
	}
	for _, h := range r.Removed {
		delete(rr.subscribers, h)
	}
	for _, s := range r.Subscribers {
		rr.subscribers[s.Host] = s
	}
	out, sum := make([]Subscriber, 0, len(rr.subscribers)), uint64(0)
	for _, s := range rr.subscribers {
		sum += digest(s)
		out = append(out, s)
	}
	if sum != r.Checksum {
		rr.subscribers = nil
		return r.Subscribers, false
	}
	return out, true
}
