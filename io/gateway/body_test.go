package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
)

// Guards against request bodies that use up the memory of the gateway while they are being
// read, and against a request that is refused for lack of memory only after its body has
// arrived.
func TestManyBodiesAtOnce(t *testing.T) {
	const callers, size = 60, 1 << 20 // the memory limit is 64 MiB, of which bodies have a quarter
	for name, chunked := range map[string]bool{"length": false, "chunked": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newFixture(t)
			x.catalog(1, route(nonIdempotent))
			x.target("first", fleet.Mixed, serves("one"))
			piece := []byte(strings.Repeat("x", size/4))
			var wg sync.WaitGroup
			var mu sync.Mutex
			statuses := make(map[int]int)
			early := 0 // refused before the last piece was sent
			release := make(chan struct{})
			for range callers {
				wg.Go(func() {
					c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", x.front.Listener.Addr().String())
					if err != nil {
						t.Error(err)
						return
					}
					defer func() { _ = c.Close() }()
					framing, before, after, end := fmt.Sprintf("Content-Length: %d", size), "", "", ""
					if chunked {
						framing, before, after, end = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n", len(piece)), "\r\n", "0\r\n\r\n"
					}
					answered := make(chan int, 1)
					go func() {
						r, err := http.ReadResponse(bufio.NewReader(c), nil)
						if err != nil {
							answered <- 0
							return
						}
						_ = r.Body.Close()
						answered <- r.StatusCode
					}()
					_, _ = fmt.Fprintf(c, "POST /r/1 HTTP/1.1\r\nHost: h.example\r\nKey: secret\r\nId: id-1\r\n%s\r\n\r\n", framing)
					for i := range 4 {
						if i == 3 {
							<-release
							if len(answered) > 0 {
								mu.Lock()
								early++
								mu.Unlock()
								break
							}
						}
						_, _ = io.WriteString(c, before)
						_, _ = c.Write(piece)
						_, _ = io.WriteString(c, after)
					}
					_, _ = io.WriteString(c, end)
					status := <-answered
					mu.Lock()
					statuses[status]++
					mu.Unlock()
				})
			}
			time.Sleep(time.Second)
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			close(release)
			wg.Wait()
			t.Logf("%d KiB of heap, %d refused early, responses by status: %v", m.HeapAlloc>>10, early, statuses)
			is.True(m.HeapAlloc < 32<<20) // callers included
			is.True(statuses[http.StatusOK] > 0)
			is.True(early > 0)
		})
	}
}

// Guards against a body that arrives slowly and holds memory without an end.
func TestSlowBody(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.catalog(1, route(func(r *catalog.Route) { r.Timeout = 300 * time.Millisecond }))
	x.target("first", fleet.Mixed, serves("one"))
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", x.front.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /r/1 HTTP/1.1\r\nHost: h.example\r\nKey: secret\r\nId: id-1\r\nContent-Length: 100\r\n\r\nstart")
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Second)))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(r.StatusCode, http.StatusRequestTimeout) // says that the request has not run
	_ = r.Body.Close()
	is.Equal(len(x.requests()), 0)
}

// Guards against a connection that cannot be used again after a body, because the time limit
// for reading the body is still set.
func TestConnectionAfterBody(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.catalog(1, route(func(r *catalog.Route) { r.Timeout = 300 * time.Millisecond }))
	x.target("first", fleet.Mixed, serves("one"))
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", x.front.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for range 2 {
		_, err = io.WriteString(c, "POST /r/1 HTTP/1.1\r\nHost: h.example\r\nKey: secret\r\nId: id-1\r\nContent-Length: 5\r\n\r\norder")
		is.NoErr(err)
		r, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		is.Equal(r.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, r.Body)
		is.NoErr(err)
		time.Sleep(500 * time.Millisecond)
	}
}
