package gateway

import (
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/quarantine"
)

const (
	// responseStart is the time after the first event in which a target may crash because of
	// the prompt. It exceeds several steps of an engine.
	responseStart = 300 * time.Millisecond
	// maxSharedSegments limits the segments of one prompt that are considered, since a caller
	// may send any number of them.
	maxSharedSegments = 32
)

// sharedSegments returns the segments of the prompt that may be quarantined.
func (j *job) sharedSegments() []quarantine.Segment {
	shared := j.params.SharedSegments()
	var out []quarantine.Segment
	for _, s := range shared[:min(len(shared), maxSharedSegments)] {
		out = append(out, quarantine.NewSegment(j.pool, s.ID))
	}
	return out
}

// rejectQuarantined ends the request and returns true if its prompt has a segment that
// crashes targets.
func (j *job) rejectQuarantined() bool {
	j.g.mu.Lock()
	until, rejected := j.g.observer.Rejects(time.Now(), j.segments)
	j.g.mu.Unlock()
	if rejected {
		j.fail(reasonQuarantined, until)
	}
	return rejected
}

// recordBreak records an attempt that broke off before the target had survived the
// beginning of the response. Other errors than the end of the connection do not suggest
// that the target has crashed.
func (a *attempt) recordBreak(phase quarantine.Phase, err error) {
	if a.prefillOnly || a.survived || len(a.segments) == 0 || !isConnectionEnd(err) || a.r.Context().Err() != nil {
		return
	}
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	a.g.observer.RecordBreak(time.Now(), a.pool, quarantine.Run{Target: a.record.Target, Started: a.record.Started}, phase, a.segments)
}

// recordSurvival records, once, that the target has survived the beginning of the response.
func (a *attempt) recordSurvival() {
	if a.survived {
		return
	}
	a.survived = true
	if len(a.segments) == 0 {
		return
	}
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	a.g.observer.RecordServed(time.Now(), a.pool, a.segments)
}

// isConnectionEnd reports whether an error says that the target has closed or reset the
// connection.
func isConnectionEnd(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errPartialEvent, errNoBody} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}
