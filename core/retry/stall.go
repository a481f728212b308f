package retry

import "time"

// Callers abandon a stream that delivers no event, also before its first one, after the
// longest of these gaps (section Answers of the platform's protocol).
const (
	minCallerGap        = 2 * time.Second
	callerGapObjectives = 4 // times the objective for the first event
	callerGapPauses     = 8 // times the objective for the longest pause
)

// stallShare is the part of the caller's gap after which a resumable stream that has begun
// is also sent to another target. A sound target may be silent for a second or so; the rest
// is for the other target.
const stallShare = 0.75

// restartMargin is added to the caller's gap before a stream without an event is sent to another
// target as well. It covers the way of the caller's close to the gateway.
const restartMargin = 500 * time.Millisecond

// Stream describes how long a stream may go without an event.
type Stream struct {
	Objective time.Duration // for the first event
	MaxPause  time.Duration // objective for the longest pause between events
	Resumable bool          // another target may continue the stream
}

// StallDeadline returns when a stream counts as stalled. last is the time of its last
// complete event or, if it has not begun, of the request. Bytes of an event that is not
// complete do not count, since a target in trouble may send some now and then. A stream
// that has not begun, or cannot be resumed, stalls only when its caller gives up: a
// late first event mostly means that requests queue at the targets, and to send them again
// would add to the queues.
func (s Stream) StallDeadline(last time.Time, begun bool) time.Time {
	gap := max(minCallerGap, callerGapObjectives*s.Objective, callerGapPauses*s.MaxPause)
	share := 1.0
	if begun && s.Resumable {
		share = stallShare
	}
	return last.Add(time.Duration(share * float64(gap)))
}

// RestartDeadline returns when a stream that has not begun may be sent to another target. last
// is the time of the request. The caller usually has left by then; one that has not is
// waiting for longer than expected.
func (s Stream) RestartDeadline(last time.Time) time.Time {
	return s.StallDeadline(last, false).Add(restartMargin)
}
