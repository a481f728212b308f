// Package logsink provides a non-blocking, rate-limited writer for log lines.
// Lines are held in a bounded queue. A line that exceeds the budget of its class
// for the current second, or that does not fit in the queue because the reader of
// the log output is stalled, is dropped and counted. Warnings and errors are a
// class of their own, so that other lines cannot use up their budget.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ClassLinesPerSecond is the maximum number of lines per second of each
	// class. A line has about 250 bytes.
	ClassLinesPerSecond = 400
	// ClassBytesPerSecond is the maximum number of bytes per second of each class.
	ClassBytesPerSecond = 100 << 10
	// maxQueuedLines is the maximum number of lines waiting to be written.
	maxQueuedLines = 1024
	// levelSearchBytes is the length of the prefix of a line that is searched for
	// the level in brackets that hclog writes.
	levelSearchBytes = 64
	// budgetPeriod is the interval at which budgets are reset and dropped lines are
	// reported.
	budgetPeriod = time.Second
)

// class is a class of lines with its own budget.
type class int

const (
	normal class = iota
	severe       // warnings and errors
	numClasses
)

// Sink is a writer that accepts one line per call of Write. Create it with New.
type Sink struct {
	w     io.Writer
	lines chan []byte
	done  chan struct{}

	// Dropped is the total number of lines that were dropped or whose write failed.
	Dropped atomic.Uint64

	mu          sync.Mutex
	now         func() time.Time
	periodStart time.Time // start of the current budget period
	remaining   [numClasses]budget
	limit       budget
	unreported  uint64 // dropped lines not yet reported
	closed      bool
}

// budget is a number of lines and bytes that can be written.
type budget struct{ lines, bytes int }

// New returns a sink that writes to w until Close is called.
func New(w io.Writer) *Sink {
	s := &Sink{
		w: w, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), now: time.Now,
		limit: budget{ClassLinesPerSecond, ClassBytesPerSecond},
	}
	go s.writeLoop()
	return s
}

// Write queues a line or drops it. It does not wait for the underlying writer and
// never returns an error.
func (s *Sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.takeBudget(classify(p), len(p)) || !s.enqueue(bytes.Clone(p)) {
		s.unreported++
		s.Dropped.Add(1)
	}
	return len(p), nil
}

// enqueue reports whether the line fitted in the queue.
func (s *Sink) enqueue(line []byte) bool {
	select {
	case s.lines <- line:
		return true
	default:
		return false
	}
}

// takeBudget deducts a line from the budget of its class and reports whether the
// budget was sufficient. It starts a new budget period when one is due.
func (s *Sink) takeBudget(c class, size int) bool {
	now := s.now()
	if now.Sub(s.periodStart) >= budgetPeriod {
		s.periodStart = now
		for i := range s.remaining {
			s.remaining[i] = s.limit
		}
		s.reportDropped()
	}
	b := &s.remaining[c]
	if b.lines < 1 || b.bytes < size {
		return false
	}
	b.lines--
	b.bytes -= size
	return true
}

// reportDropped queues a log line with the number of lines dropped since the last
// such line, if there are any.
func (s *Sink) reportDropped() {
	if s.unreported == 0 {
		return
	}
	line := fmt.Sprintf("%s [WARN]  papayarock.logsink: log lines dropped: count=%d total=%d\n",
		s.now().UTC().Format("2006-01-02T15:04:05.000Z"), s.unreported, s.Dropped.Load())
	if s.enqueue([]byte(line)) {
		s.unreported = 0
	}
}

// classify returns the class of a line by the level in its text.
func classify(p []byte) class {
	head := p[:min(levelSearchBytes, len(p))]
	if bytes.Contains(head, []byte("[WARN]")) || bytes.Contains(head, []byte("[ERROR]")) {
		return severe
	}
	return normal
}

// writeLoop writes the queued lines until Close is called.
func (s *Sink) writeLoop() {
	defer close(s.done)
	for line := range s.lines {
		if _, err := s.w.Write(line); err != nil {
			s.Dropped.Add(1) // there is nowhere to report the error
		}
	}
}

// Close stops accepting lines and waits at most timeout until the queued lines
// are written.
func (s *Sink) Close(timeout time.Duration) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.reportDropped()
	close(s.lines)
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}
