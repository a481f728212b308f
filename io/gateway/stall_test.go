package gateway_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
)

// Guards against taking a caller that reads slowly for a target that has stalled: a sound
// stream would be sent again from its last event while the first target waits.
func TestSlowCaller(t *testing.T) {
	is := is.New(t)
	const events, eventBytes = 40, 512 << 10 // more than the socket buffers hold
	x := newFixture(t)
	x.catalog(1, route(quick))
	x.target("first", fleet.Mixed, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Mark", "m")
		for i := range events {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(i+1)+"\ndata: "+strings.Repeat("x", eventBytes)+"\n\n")
			_ = http.NewResponseController(w).Flush()
		}
	})
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, x.front.URL+"/r/1?x=2", strings.NewReader("order"))
	is.NoErr(err)
	q.Host = "h.example"
	q.Header.Set("Key", "secret")
	q.Header.Set("Id", "id-1")
	r, err := http.DefaultClient.Do(q)
	is.NoErr(err)
	defer func() { _ = r.Body.Close() }()
	time.Sleep(2 * time.Second) // twice the time after which the stream would stall
	body, err := io.ReadAll(r.Body)
	is.NoErr(err)
	is.Equal(bytes.Count(body, []byte("id: ")), events)
	is.Equal(len(x.requests()), 1)
}

// pauses sends events after the one that the caller has, and pauses before the third one.
func pauses(events int, pause time.Duration) targetHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Mark", "m")
		w.Header().Set("Content-Type", "text/event-stream")
		from, _ := strconv.Atoi(r.Header.Get("After"))
		for i := from + 1; i <= events; i++ {
			if i == 3 {
				time.Sleep(pause)
			}
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(i)+"\ndata: piece "+strconv.Itoa(i)+"\n\n")
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// Guards against cutting a stream that its target has only preempted for a time, as an engine
// does under load, although no other target can continue it.
func TestPausedStreamWithoutOtherTarget(t *testing.T) {
	const pause = 1500 * time.Millisecond // the stream counts as stalled after a second, its caller leaves after two
	for name, others := range map[string]func(x *fixture){
		"only target": func(*fixture) {},
		"other target is full": func(x *fixture) {
			x.target("second", fleet.Mixed, respondsWith(http.StatusServiceUnavailable, "Not-Run"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := newFixture(t)
			x.catalog(1, route(quick))
			x.target("first", fleet.Mixed, pauses(5, pause))
			done := make(chan response)
			go func() { done <- x.send(nil) }()
			time.Sleep(pause / 3)
			others(x)
			full := time.NewTicker(20 * time.Millisecond) // requests that find the other target full
			defer full.Stop()
			for {
				select {
				case got := <-done:
					is.NoErr(got.err) // the stream was cut
					is.Equal(got.body, eventText(5))
					return
				case <-full.C:
					go x.send(func(q *http.Request) { q.Header.Set("Id", "other"); q.Header.Set("After", "3") })
				}
			}
		})
	}
}

// Guards against cutting a stream whose target has failed when the other target is busy for
// less time than the caller waits for the next event.
func TestTruncatedStreamWaitsForTarget(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.catalog(1, route(quick))
	release := make(chan struct{})
	x.target("second", fleet.Mixed, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Id") != "id-1" {
			<-release
		}
		streams(5, 0)(w, r)
	})
	var busy sync.WaitGroup
	for i := range 3 { // one more than a new target is sent before it has answered
		busy.Go(func() { x.send(func(q *http.Request) { q.Header.Set("Id", "busy-"+strconv.Itoa(i)) }) })
	}
	for len(x.requests()) < 2 {
		time.Sleep(time.Millisecond)
	}
	x.target("first", fleet.Mixed, streams(5, 2))
	time.AfterFunc(500*time.Millisecond, func() { close(release) })
	got := x.send(nil)
	is.NoErr(got.err) // the stream was cut
	is.Equal(got.body, eventText(5))
	busy.Wait()
}

// Guards against cutting a stream whose target has failed because the only other target is full
// at first, while the caller still waits, and against asking that target all the time.
func TestBrokenStreamWaitsForRoom(t *testing.T) {
	const maxRejections = 6
	for name, full := range map[string]time.Duration{"for a moment": 50 * time.Millisecond, "for a second": time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := newFixture(t)
			x.catalog(1, route(quick))
			x.target("first", fleet.Mixed, func(w http.ResponseWriter, r *http.Request) {
				until := time.Now().Add(full)
				x.target("second", fleet.Mixed, func(w http.ResponseWriter, r *http.Request) {
					if time.Now().Before(until) {
						respondsWith(http.StatusServiceUnavailable, "Not-Run")(w, r)
						return
					}
					streams(5, 0)(w, r)
				})
				streams(5, 2)(w, r)
			})
			got := x.send(nil)
			is.NoErr(got.err) // the stream was cut
			is.Equal(got.body, eventText(5))
			is.True(len(x.requests()) <= 2+maxRejections)
		})
	}
}

// Guards against ending a stream because of a silence of its target while the caller still
// waits: the next event may be on its way when the time has passed after which callers
// give up.
func TestSilenceIsLeftToCaller(t *testing.T) {
	const pause = 2200 * time.Millisecond // callers give up after two seconds
	for name, test := range map[string]struct {
		route  func(r *catalog.Route)
		target targetHandler
	}{
		"resumable":     {quick, pauses(5, pause)},
		"not resumable": {func(r *catalog.Route) { quick(r); r.Resumable = false }, pauses(5, pause)},
		"first event":   {quick, func(w http.ResponseWriter, r *http.Request) { time.Sleep(pause); streams(5, 0)(w, r) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := newFixture(t)
			x.catalog(1, route(test.route))
			x.target("first", fleet.Mixed, test.target)
			got := x.send(nil)
			is.NoErr(got.err) // the stream was cut
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, eventText(5))
		})
	}
}

// patient is a resumable stream like quick, with three attempts and more time, also in the
// queue.
func patient(r *catalog.Route) {
	quick(r)
	r.Attempts, r.Timeout, r.Objective = 3, 10*time.Second, 500*time.Millisecond
}

// Guards against streams, begun or not, that the gateway ends because of a silence of their
// target although their callers have time left.
func TestSilenceBeyondCallerGap(t *testing.T) {
	const pause = 3 * time.Second // callers usually give up after two seconds
	late := func(w http.ResponseWriter, r *http.Request) { time.Sleep(pause); streams(5, 0)(w, r) }
	withoutIDs := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Mark", "m")
		for range 2 {
			_, _ = io.WriteString(w, "data: piece\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
	}
	for name, test := range map[string]struct {
		resumable bool
		target    targetHandler
		body      string
	}{
		"resumable":                  {true, pauses(5, pause), eventText(5)},
		"not resumable":              {false, pauses(5, pause), eventText(5)},
		"first event, resumable":     {true, late, eventText(5)},
		"first event, not resumable": {false, late, eventText(5)},
		"events without ids":         {true, withoutIDs, "data: piece\n\ndata: piece\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := newFixture(t)
			x.catalog(1, route(func(r *catalog.Route) { patient(r); r.Resumable = test.resumable }))
			x.target("first", fleet.Mixed, test.target)
			got := x.send(nil)
			is.NoErr(got.err) // the stream was cut
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, test.body)
		})
	}
}

// Guards against further requests to a target that is silent but keeps its connections:
// callers that leave because of the silence are a failure of the target.
func TestSilentTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.catalog(1, route(quick))
	x.target("silent", fleet.Mixed, stalls(0, ""))
	var callers sync.WaitGroup
	for i := range 2 {
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 2050*time.Millisecond)
			defer cancel()
			x.send(func(q *http.Request) { *q = *q.WithContext(ctx); q.Header.Set("Id", "left-"+strconv.Itoa(i)) })
		})
	}
	callers.Wait()
	x.target("second", fleet.Mixed, streams(1, 0))
	for i := range 4 {
		is.Equal(x.send(func(q *http.Request) { q.Header.Set("Id", "later-"+strconv.Itoa(i)) }).body, eventText(1))
	}
}
