package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"papayarock/core/state"
)

// stuck is a control that does not answer a report before it is released.
type stuck struct {
	Control
	release chan struct{}
}

func (s stuck) ReportUsage(context.Context, []state.UsageRecord) error {
	<-s.release
	return nil
}

// Guards against a report that waits for one which control does not answer
// longer than its own timeout, as a stopping agent once did, and against records
// that are dropped meanwhile.
func TestReportWaitsForAnotherWithinItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &ledger{keep: true, turn: semaphore.NewWeighted(1)}
		l.add(state.UsageRecord{})
		c := stuck{release: make(chan struct{})}
		first := make(chan error)
		go func() { first <- l.report(t.Context(), c) }()
		synctest.Wait()
		start := time.Now()
		is.True(errors.Is(l.report(t.Context(), c), context.DeadlineExceeded))
		is.Equal(time.Since(start), reportTimeout)
		is.Equal(l.waiting(), 1)
		close(c.release)
		is.NoErr(<-first)
		is.Equal(l.waiting(), 0)
	})
}
