package fake

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"golang.org/x/time/rate"
)

const weightChunkBytes = 64 << 10

// WeightStore serves model weights at GET /weights/{name}/{version}. All
// downloads share one rate limit.
type WeightStore struct {
	BytesPerSecond int              // rate limit; 0 means none
	Sizes          map[string]int64 // size of the weights in bytes by name/version, or by name for all versions

	initOnce  sync.Once
	limiter   *rate.Limiter
	mu        sync.Mutex
	downloads map[string]int // complete downloads by name/version
	sent      int64          // bytes
	active    int            // downloads in progress
	peak      int            // maximum of active
}

// ServeHTTP implements http.Handler.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{name}/{version}", s.download)
	mux.ServeHTTP(w, r)
}

func (s *WeightStore) download(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("name") + "/" + r.PathValue("version")
	size, ok := s.Sizes[id]
	if !ok {
		size, ok = s.Sizes[r.PathValue("name")]
	}
	if !ok {
		writeError(w, http.StatusNotFound, fmt.Sprintf("no weights for %q", id))
		return
	}
	s.beginDownload()
	defer s.endDownload()
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	for left := size; left > 0; {
		n := min(left, weightChunkBytes)
		if s.limiter != nil && s.limiter.WaitN(r.Context(), int(n)) != nil {
			panic(http.ErrAbortHandler)
		}
		sent, err := io.CopyN(w, zeroReader{}, n)
		s.mu.Lock()
		s.sent += sent
		s.mu.Unlock()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		left -= n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downloads[id]++
}

// beginDownload counts a download in progress. The first call also creates the rate
// limiter.
func (s *WeightStore) beginDownload() {
	s.initOnce.Do(func() {
		s.downloads = make(map[string]int)
		if s.BytesPerSecond > 0 {
			s.limiter = rate.NewLimiter(rate.Limit(s.BytesPerSecond), weightChunkBytes)
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	s.peak = max(s.peak, s.active)
}

func (s *WeightStore) endDownload() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// WeightCounts are the counters of a WeightStore.
type WeightCounts struct {
	Downloads map[string]int // complete downloads by name/version
	Bytes     int64          // bytes sent in all downloads
	Peak      int            // maximum number of concurrent downloads
}

// Counts returns the current counters.
func (s *WeightStore) Counts() WeightCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := WeightCounts{Downloads: make(map[string]int), Bytes: s.sent, Peak: s.peak}
	for id, n := range s.downloads {
		c.Downloads[id] = n
	}
	return c
}
