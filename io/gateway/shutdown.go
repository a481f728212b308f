package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// shutdown is the state of a shutdown. The zero value is that of a gateway that runs.
type shutdown struct {
	closed atomic.Bool // Drain has returned

	mu      sync.Mutex
	end     time.Time                        // when requests are answered at the latest; zero if there is none
	ended   bool                             // end has passed
	running map[*context.CancelFunc]struct{} // contexts of the running requests
}

// begin sets the time at which the contexts of all requests are cancelled.
func (s *shutdown) begin(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end = end
	time.AfterFunc(time.Until(end), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ended = true
		for cancel := range s.running {
			(*cancel)()
		}
	})
}

// add registers the context of a request, and returns a function that removes it.
func (s *shutdown) add(cancel context.CancelFunc) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		cancel()
		return func() {}
	}
	if s.running == nil {
		s.running = make(map[*context.CancelFunc]struct{})
	}
	s.running[&cancel] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.running, &cancel)
	}
}

// tooLate reports whether a request that arrives now must not be sent to a target: the load
// balancer sends no more connections, and the response may come after the end.
func (s *shutdown) tooLate(deadline time.Time) bool {
	if !s.closed.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.end.IsZero() && deadline.After(s.end)
}
