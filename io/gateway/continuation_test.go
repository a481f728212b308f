package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
	"papayarock/core/roster"
)

// sendMany sends n requests shortly after one another, so that none of them queues for long,
// and returns the responses.
func (x *fixture) sendMany(n int) []response {
	out := make([]response, n)
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(20 * time.Millisecond)
		wg.Go(func() { out[i] = x.send(func(q *http.Request) { q.Header.Set("Id", "id-"+strconv.Itoa(i)) }) })
	}
	wg.Wait()
	return out
}

// withRoom runs f for at most n requests at a time and rejects the others.
func withRoom(n int64, f targetHandler) targetHandler {
	var running atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		defer running.Add(-1)
		if running.Add(1) > n {
			respondsWith(http.StatusServiceUnavailable, "Not-Run")(w, r)
			return
		}
		f(w, r)
	}
}

// Guards against streams that are cut because their target is silent for a time and the
// target that is to continue them rejects them, fails or is silent as well.
func TestSilentTargetKeepsStreams(t *testing.T) {
	const streamCount = 12
	for name, test := range map[string]struct {
		pause  time.Duration
		second targetHandler
	}{
		"second is nearly full":                {1200 * time.Millisecond, withRoom(1, pauses(5, 0))},
		"long silence, second is nearly full":  {1800 * time.Millisecond, withRoom(1, pauses(5, 0))},
		"long silence, second is full":         {1800 * time.Millisecond, respondsWith(http.StatusServiceUnavailable, "Not-Run")},
		"long silence, second fails":           {1800 * time.Millisecond, respondsWith(http.StatusInternalServerError, "Mark")},
		"long silence, second resets":          {1800 * time.Millisecond, resetsConnection},
		"long silence, second is silent, too":  {1800 * time.Millisecond, stalls(0, "")},
		"long silence, second starts again":    {1800 * time.Millisecond, restarts(5)},
		"long silence, second is misdirected":  {1800 * time.Millisecond, respondsWith(http.StatusMisdirectedRequest)},
		"long silence, second breaks at start": {1800 * time.Millisecond, truncates},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := newFixture(t)
			x.catalog(1, route(patient))
			x.target("first", fleet.Mixed, pauses(5, test.pause))
			time.AfterFunc(test.pause/2, func() { x.target("second", fleet.Mixed, test.second) })
			for _, got := range x.sendMany(streamCount) {
				is.NoErr(got.err) // the stream was cut
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.body, eventText(5))
			}
		})
	}
}

// Guards against a run that goes on for longer than 400 ms beside the one that continues
// it, whichever of the two is dropped.
func TestOverlapOfRuns(t *testing.T) {
	const maxOverlap = 400 * time.Millisecond
	for name, test := range map[string]struct {
		first, second targetHandler
	}{
		"second continues":   {stalls(2, ""), pauses(5, 0)},
		"second is slow":     {stalls(2, ""), func(w http.ResponseWriter, r *http.Request) { time.Sleep(100 * time.Millisecond); pauses(5, 0)(w, r) }},
		"second is silent":   {pauses(5, 2500*time.Millisecond), stalls(0, "")},
		"both are dripping":  {pauses(5, 2500*time.Millisecond), stalls(0, ":")},
		"first goes on soon": {pauses(5, 1600*time.Millisecond), stalls(0, "")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := newFixture(t)
			x.catalog(1, route(quick))
			type run struct{ start, end time.Time }
			var mu sync.Mutex
			var runs []run
			timed := func(f targetHandler) targetHandler {
				return func(w http.ResponseWriter, r *http.Request) {
					start := time.Now()
					stop := make(chan struct{})
					defer close(stop)
					go func() { // a run ends when its response does or the gateway drops it
						select {
						case <-stop:
						case <-r.Context().Done():
						}
						mu.Lock()
						defer mu.Unlock()
						runs = append(runs, run{start, time.Now()})
					}()
					f(w, r)
				}
			}
			x.target("first", fleet.Mixed, func(w http.ResponseWriter, r *http.Request) {
				x.target("second", fleet.Mixed, timed(test.second))
				timed(test.first)(w, r)
			})
			got := x.send(nil)
			is.NoErr(got.err)
			is.Equal(got.body, eventText(5))
			x.front.Close()
			time.Sleep(50 * time.Millisecond) // until the targets have noticed
			mu.Lock()
			defer mu.Unlock()
			is.Equal(len(runs), 2)
			start, end := runs[0].start, runs[0].end
			if runs[1].start.After(start) {
				start = runs[1].start
			}
			if runs[1].end.Before(end) {
				end = runs[1].end
			}
			is.True(end.Sub(start) < maxOverlap)
		})
	}
}

// Guards against a second continuation of a stream whose target breaks off while the first
// one is about to begin.
func TestTargetBreaksOffBesideContinuation(t *testing.T) {
	for name, delay := range map[string]time.Duration{"before the continuation": 150 * time.Millisecond, "long before": 800 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := newFixture(t)
			x.catalog(1, route(patient))
			x.target("first", fleet.Mixed, func(w http.ResponseWriter, _ *http.Request) {
				asked := make(chan struct{})
				x.target("second", fleet.Mixed, func(w http.ResponseWriter, r *http.Request) {
					close(asked)
					time.Sleep(delay)
					pauses(5, 0)(w, r)
				})
				w.Header().Set("Mark", "m")
				_, _ = io.WriteString(w, eventText(2))
				_ = http.NewResponseController(w).Flush()
				<-asked
				time.Sleep(50 * time.Millisecond)
				panic(http.ErrAbortHandler)
			})
			got := x.send(nil)
			is.NoErr(got.err)
			is.Equal(got.body, eventText(5))
			is.Equal(len(x.requests()), 2)
		})
	}
}

// Guards against repeating or ending other requests because their target is silent for 1.3 s: each
// must be answered, and sent once.
func TestSilenceOfOtherRequests(t *testing.T) {
	const pause = 1300 * time.Millisecond
	late := func(f targetHandler) targetHandler {
		return func(w http.ResponseWriter, r *http.Request) { time.Sleep(pause); f(w, r) }
	}
	inBody := func(length bool) targetHandler {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Mark", "m")
			if length {
				w.Header().Set("Content-Length", "8")
			}
			_, _ = io.WriteString(w, "body")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
			_, _ = io.WriteString(w, "body")
		}
	}
	kind := func(k catalog.Kind) func(r *catalog.Route) {
		return func(r *catalog.Route) { quick(r); r.Kind = k }
	}
	once := func(r *catalog.Route) { quick(r); r.Resumable = false }
	for name, test := range map[string]struct {
		route  func(r *catalog.Route)
		target targetHandler
		body   string
	}{
		"idempotent":                {kind(catalog.Idempotent), late(serves("body")), "body"},
		"non-idempotent":            {kind(catalog.NonIdempotent), late(serves("body")), "body"},
		"within a body":             {kind(catalog.NonIdempotent), inBody(true), "bodybody"},
		"within a chunked body":     {kind(catalog.Idempotent), inBody(false), "bodybody"},
		"first event":               {quick, late(streams(5, 0)), eventText(5)},
		"first event, runs once":    {once, late(streams(5, 0)), eventText(5)},
		"within a stream":           {quick, pauses(5, pause), eventText(5)},
		"within a stream, run once": {once, pauses(5, pause), eventText(5)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := newFixture(t)
			x.catalog(1, route(test.route))
			x.target("first", fleet.Mixed, func(w http.ResponseWriter, r *http.Request) {
				x.target("second", fleet.Mixed, respondsWith(http.StatusInternalServerError, "Mark"))
				x.catalog(2, route(once)) // a change of the document beside the request
				test.target(w, r)
			})
			got := x.send(nil)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, test.body)
			is.Equal(len(x.requests()), 1)
		})
	}
}

// Guards against giving up a prefill, and the request with it, because its engine is silent for a
// time.
func TestSilentPrefill(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.catalog(1, route(patient))
	x.target("prefill", fleet.Prefill, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(1300 * time.Millisecond)
		_, _ = io.WriteString(w, "handle")
	})
	x.target("decode", fleet.Decode, streams(5, 0))
	got := x.send(func(q *http.Request) { q.Header.Set("Prompt", "4000") })
	is.NoErr(got.err)
	is.Equal(got.body, eventText(5))
	list := x.requests()
	is.Equal(len(list), 2)
	is.Equal(list[1].header.Get("Cache"), "handle")
}

// Guards against ending the streams of a target that leaves while it is silent.
func TestSilentTargetLeaves(t *testing.T) {
	for name, condition := range map[string]roster.Condition{"drains": roster.Draining, "has left": roster.Left} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := newFixture(t)
			x.catalog(1, route(patient))
			const pause = 1800 * time.Millisecond
			first := x.target("first", fleet.Mixed, pauses(5, pause))
			time.AfterFunc(pause/2, func() {
				x.target("second", fleet.Mixed, respondsWith(http.StatusServiceUnavailable, "Not-Run"))
				x.announce("first", fleet.Mixed, first.Listener.Addr().(*net.TCPAddr).AddrPort(), condition)
			})
			for _, got := range x.sendMany(3) {
				is.NoErr(got.err)
				is.Equal(got.body, eventText(5))
			}
		})
	}
}
