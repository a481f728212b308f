package fake

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service simulates an HTTP service. It counts how often it has executed each
// request, which it identifies by its body. The zero value is ready to use.
type Service struct {
	mu       sync.Mutex
	faults   ServiceFaults
	runs     map[string]int  // executions by body
	dropOnce map[string]bool // drop the next response to a request with this body
	headers  []http.Header   // of all executed requests
}

// ServiceFaults are the faults injected into a Service.
type ServiceFaults struct {
	LoseAnswers int           // number of requests to execute without sending the response
	FailFast    bool          // respond with status 500 without executing the request
	Silent      bool          // accept requests without executing them or responding
	Before      time.Duration // delay before a request is executed
	After       time.Duration // delay between execution and response
}

// UpdateFaults changes the faults. It may be called while the service serves
// requests.
func (s *Service) UpdateFaults(change func(f *ServiceFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// LoseResponseTo drops the response to the next request with this body. The
// request is still executed.
func (s *Service) LoseResponseTo(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropOnce == nil {
		s.dropOnce = make(map[string]bool)
	}
	s.dropOnce[body] = true
}

// ServeHTTP executes a request, unless the client disconnects first.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	switch {
	case f.FailFast:
		http.Error(w, "injected fault: service rejects all requests", http.StatusInternalServerError)
		return
	case f.Silent:
		hang(r) // does not return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !sleep(r, f.Before) {
		return
	}
	n, drop := s.record(string(body), r.Header)
	if drop {
		panic(http.ErrAbortHandler)
	}
	if !sleep(r, f.After) {
		return
	}
	_, _ = fmt.Fprintf(w, "%s ran %d\n", body, n)
}

// record counts an execution of the request with this body. It returns the number
// of its executions so far, and whether to drop the response.
func (s *Service) record(body string, h http.Header) (n int, drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[body]++
	s.headers = append(s.headers, h.Clone())
	if s.dropOnce[body] {
		delete(s.dropOnce, body)
		return s.runs[body], true
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return s.runs[body], true
	}
	return s.runs[body], false
}

// hang blocks until the client disconnects and then aborts the request by a panic.
// It reads the body first, since net/http detects a disconnect only after that.
func hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// sleep waits for d. It returns false if the client disconnects first.
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

// Runs returns how often the request with this body was executed.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// Total returns the number of executions, and how many of them repeated a request
// that had been executed before.
func (s *Service) Total() (runs, repeated int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.runs {
		runs += n
		repeated += n - 1
	}
	return runs, repeated
}

// Headers returns the headers of all executed requests.
func (s *Service) Headers() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.headers...)
}
