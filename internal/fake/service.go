package fake

import (
	"fmt"
	"io"
	"net/http"
	"sync"
)

// Service is a plain service that counts how often each body was run.
type Service struct {
	mu   sync.Mutex
	runs map[string]int
	seen []http.Header
}

// ServeHTTP runs one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[string(body)]++
	n := s.runs[string(body)]
	s.seen = append(s.seen, r.Header.Clone())
	s.mu.Unlock()
	_, _ = fmt.Fprintf(w, "%s ran %d\n", body, n)
}

// Runs returns how often body was run.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// Headers returns the headers of all requests so far.
func (s *Service) Headers() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.seen...)
}
