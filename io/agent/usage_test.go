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

// blockedControl answers reports only after release is closed.
type blockedControl struct {
	Control
	release chan struct{}
}

func (s blockedControl) ReportUsage(context.Context, []state.UsageRecord) error {
	<-s.release
	return nil
}

// Guards against a report that waits longer than its own timeout for a concurrent
// report that control does not answer, as happened in a stopping agent, and against
// records that are dropped meanwhile.
func TestReportWaitsForAnotherWithinItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &usageQueue{retain: true, reporting: semaphore.NewWeighted(1)}
		l.add(state.UsageRecord{})
		c := blockedControl{release: make(chan struct{})}
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
