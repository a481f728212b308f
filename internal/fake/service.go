package fake

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a plain service that counts how often each body was run. The
// zero value serves.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	runs   map[string]int
	loseOf map[string]bool
	seen   []http.Header
}

// ServiceFaults are the faults a test sets.
type ServiceFaults struct {
	LoseAnswers int           // so many requests run without an answer
	FailFast    bool          // answer 500 at once without running
	Silent      bool          // accept requests, neither run nor answer
	Before      time.Duration // time before a request runs
	After       time.Duration // time between running and the answer
}

// Set changes the faults while the service serves.
func (s *Service) Set(change func(f *ServiceFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// LoseAnswerOf loses the next answer to a request with this body, after it ran.
func (s *Service) LoseAnswerOf(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loseOf == nil {
		s.loseOf = make(map[string]bool)
	}
	s.loseOf[body] = true
}

// ServeHTTP runs one request. A request whose caller leaves before it runs
// does not run.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	switch {
	case f.FailFast:
		http.Error(w, "service fails fast", http.StatusInternalServerError)
		return
	case f.Silent:
		silence(r)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !sleep(r, f.Before) {
		return
	}
	n, lose := s.run(string(body), r.Header)
	if lose {
		panic(http.ErrAbortHandler)
	}
	if !sleep(r, f.After) {
		return
	}
	_, _ = fmt.Fprintf(w, "%s ran %d\n", body, n)
}

// run counts the body and says whether its answer is lost.
func (s *Service) run(body string, h http.Header) (n int, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[body]++
	s.seen = append(s.seen, h.Clone())
	if s.loseOf[body] {
		delete(s.loseOf, body)
		return s.runs[body], true
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return s.runs[body], true
	}
	return s.runs[body], false
}

// silence never answers. It reads the body first, since net/http notices a
// caller that leaves only after that.
func silence(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// sleep waits for d and reports whether the caller is still there.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// Runs returns how often body was run.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// Total returns how many requests were run, and how many of them repeated a
// body.
func (s *Service) Total() (runs, repeated int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.runs {
		runs += n
		repeated += n - 1
	}
	return runs, repeated
}

// Headers returns the headers of all requests so far.
func (s *Service) Headers() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.seen...)
}
