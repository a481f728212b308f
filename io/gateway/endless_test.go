package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/roster"
)

// fillsEvent sends one event and then an incomplete one of about the largest size that is
// read, which goes on with a byte now and then.
func fillsEvent(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Mark", "m")
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\ndata: first\n\ndata: ")
	piece := []byte(strings.Repeat("x", 16<<10))
	for range 60 {
		_, _ = w.Write(piece)
	}
	for r.Context().Err() == nil {
		_, _ = io.WriteString(w, "x")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond)
	}
}

// fillsBody sends a part of a body that is below the size up to which bodies are buffered,
// and goes on with a byte now and then.
func fillsBody(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Mark", "m")
	piece := []byte(strings.Repeat("x", 16<<10))
	for range 15 {
		_, _ = w.Write(piece)
	}
	for r.Context().Err() == nil {
		_, _ = io.WriteString(w, "x")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond)
	}
}

// fillsHead sends a part of a response header that is below the limit of a header, and goes
// on with a byte now and then.
func fillsHead(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nMark: m\r\nLong: "+strings.Repeat("x", 60<<10))
	for err == nil {
		time.Sleep(50 * time.Millisecond)
		_, err = io.WriteString(c, "x")
	}
}

// Guards against responses without an end on many connections at once that use up the
// memory of the gateway, although each of them is bounded, and against other requests that
// are not served meanwhile.
func TestEndlessFromManyCallers(t *testing.T) {
	const callers = 150
	for name, endless := range map[string]targetHandler{"event": fillsEvent, "body": fillsBody, "head": fillsHead} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newFixture(t) // with a memory limit of 64 MiB
			if name != "body" {
				x.catalog(1, route(stream))
			} else {
				x.catalog(1, route(nil))
			}
			var faulty sync.Map // ids of requests that a target responds to without an end
			for i := range 2 {
				name := "t" + strconv.Itoa(i)
				server := x.target(name, fleet.Mixed, func(w http.ResponseWriter, r *http.Request) {
					if _, ok := faulty.Load(r.Header.Get("Id")); ok {
						endless(w, r)
						return
					}
					streams(3, 0)(w, r) // also served as a plain body
				})
				x.gateway.UpdateTargets([]roster.Record{{Heard: time.Now(), Announcement: roster.Announcement{
					Target: fleet.TargetName(name), Started: time.UnixMilli(1000), Sequence: 1, Pool: "pool", DataCentre: "kt",
					Address: server.Listener.Addr().(*net.TCPAddr).AddrPort(), Slots: 2 * callers, Role: fleet.Mixed,
				}}}, 1)
			}
			serve := func(ctx context.Context, id string) response {
				return x.send(func(q *http.Request) { *q = *q.WithContext(ctx); q.Header.Set("Id", id) })
			}
			// The targets are given more requests at once as they respond.
			for round := range 10 {
				var warm sync.WaitGroup
				for i := range 20 {
					warm.Go(func() { serve(t.Context(), "warm-"+strconv.Itoa(20*round+i)) })
				}
				warm.Wait()
			}
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			var wg sync.WaitGroup
			for i := range callers {
				id := "endless-" + strconv.Itoa(i)
				faulty.Store(id, true)
				wg.Go(func() { serve(ctx, id) })
				time.Sleep(2 * time.Millisecond)
			}
			served := 0
			wg.Go(func() {
				for ctx.Err() == nil {
					if got := serve(t.Context(), "other-"+strconv.Itoa(served)); got.status == http.StatusOK {
						is.Equal(got.body, eventText(3))
						served++
					}
				}
			})
			var peak uint64
			for ctx.Err() == nil {
				var m runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapAlloc)
				time.Sleep(50 * time.Millisecond)
			}
			wg.Wait()
			t.Logf("%d KiB of heap, %d other requests served", peak>>10, served)
			is.True(peak < 48<<20) // with callers, targets and the rest of the gateway
			is.True(served > 0)
		})
	}
}
