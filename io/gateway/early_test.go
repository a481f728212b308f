package gateway_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
	"papayarock/core/roster"
)

const (
	earlyRounds = 4 // of each case; the order of events differs between them
	earlySeed   = 11
)

// rawTarget announces a target that serves each connection with f.
func (x *fixture) rawTarget(name string, f func(c *net.TCPConn)) {
	l, err := (&net.ListenConfig{}).Listen(x.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(c.(*net.TCPConn))
		}
	}()
	x.announce(name, fleet.Mixed, l.Addr().(*net.TCPAddr).AddrPort(), roster.Ready)
}

// largeBodies puts a catalog in force that allows bodies of 4 MiB.
func (x *fixture) largeBodies(change func(r *catalog.Route)) {
	text, err := json.Marshal(catalog.Document{
		Version: 1, Routes: []catalog.Route{route(change)}, Pools: []catalog.Pool{{Name: "pool"}},
		Customers: []catalog.Customer{{Name: "klang", Keys: []string{"secret"}}}, Limits: catalog.Limits{BodyBytes: 4 << 20},
	})
	if err != nil {
		x.t.Fatal(err)
	}
	x.gateway.UpdateCatalog(1, text)
}

// breaksOff reads the header of a request and at most limit bytes of its body, sends a
// response without a length, and ends the connection by a reset or by FIN.
func breaksOff(c *net.TCPConn, limit int64, body string, reset bool, pause time.Duration) {
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(q.Body, limit))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nMark: m\r\n\r\n%s", q.Header.Get("Id"), body)
	time.Sleep(pause)
	if reset {
		_ = c.SetLinger(0)
		return
	}
	_ = c.CloseWrite()
	time.Sleep(20 * time.Millisecond)
}

// events returns whole events of at least size bytes in all.
func events(size int) string {
	const event = "data: 0123456789\n\n"
	return strings.Repeat(event, size/len(event)+1)
}

// readsAll makes breaksOff read the whole request.
const readsAll = 1 << 30

// Guards against a part of a response without a length that a caller takes for a complete
// one, because the target ended the connection while the request was being written. The
// caller sends two requests on one connection, or one with HTTP/1.0, where the end of the
// connection is the only mark of the end.
func TestPartDuringUpload(t *testing.T) {
	for kind, change := range routeKinds {
		for name, test := range map[string]struct {
			read     int64
			reset    bool
			complete bool // FIN after the whole request is a legal end
		}{
			"reads nothing, reset": {0, true, false}, "reads nothing, FIN": {0, false, false},
			"reads a part, reset": {100 << 10, true, false}, "reads a part, FIN": {100 << 10, false, false},
			"reads all, reset": {readsAll, true, false}, "reads all, FIN": {readsAll, false, true},
		} {
			for _, size := range []int{270, 300 << 10, 2 << 20} {
				for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
					t.Run(fmt.Sprintf("%s/%s/%d/%s", kind, name, size, protocol), func(t *testing.T) {
						is := is.New(t)
						random := rand.New(rand.NewPCG(earlySeed, uint64(size)))
						x := newFixture(t)
						x.largeBodies(change)
						pauses := make(chan time.Duration, 8*earlyRounds)
						body := events(size)
						x.rawTarget("early", func(c *net.TCPConn) { breaksOff(c, test.read, body, test.reset, <-pauses) })
						for range earlyRounds {
							for range 4 {
								pauses <- time.Duration(random.Int64N(int64(2 * time.Millisecond)))
							}
							upload := 1_500_000 + random.IntN(2_600_000)
							complete := x.sendPipelined(protocol, bytes.Repeat([]byte("u"), upload), body)
							if !test.complete {
								is.Equal(complete, 0)
							}
							if test.complete && protocol == "HTTP/1.1" {
								is.Equal(complete, 2)
							} else if test.complete {
								is.Equal(complete, 1)
							}
							for len(pauses) > 0 {
								<-pauses
							}
						}
					})
				}
			}
		}
	}
}

// sendPipelined sends two requests with the same body, or one with HTTP/1.0, and returns the number of
// responses that look complete. Such a response must have the given body.
func (x *fixture) sendPipelined(protocol string, upload []byte, want string) (complete int) {
	c, err := (&net.Dialer{}).DialContext(x.t.Context(), "tcp", x.front.Listener.Addr().String())
	if err != nil {
		x.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	requests := 2
	if protocol == "HTTP/1.0" {
		requests = 1
	}
	go func() {
		for i := range requests {
			_, err := fmt.Fprintf(c, "POST /r/1 %s\r\nHost: h.example\r\nKey: secret\r\nId: id-%d\r\nContent-Length: %d\r\n\r\n", protocol, i, len(upload))
			if err == nil {
				_, err = c.Write(upload)
			}
			if err != nil {
				return
			}
		}
	}()
	in := bufio.NewReader(c)
	for range requests {
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			return complete
		}
		body, err := io.ReadAll(r.Body)
		if err == nil && r.StatusCode < http.StatusMultipleChoices {
			complete++
			if string(body) != want {
				x.t.Errorf("%d of %d bytes look complete", len(body), len(want))
			}
		}
		if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) || r.Close {
			return complete
		}
	}
	return complete
}
