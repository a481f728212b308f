package gateway_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"papayarock/core/fleet"
)

// Guards against a request that is sent to a target again on the connection on which the
// target has refused it. A late second copy of the refusal has the same id there as the
// response, and the request is then sent to another target while this one runs it.
func TestRepeatedRequestHasNewConnection(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.catalog(1, route(patient))
	var mu sync.Mutex
	sentOn := make(map[string]int) // sendings of the rest of the stream by connection
	refuses := func(times int) targetHandler {
		return func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			sentOn[r.RemoteAddr]++
			times--
			refused := times >= 0
			mu.Unlock()
			if refused {
				respondsWith(http.StatusServiceUnavailable, "Not-Run")(w, r)
				return
			}
			streams(5, 0)(w, r)
		}
	}
	rest := refuses(3)
	x.target("first", fleet.Mixed, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("After") == "" {
			streams(5, 2)(w, r)
			return
		}
		rest(w, r)
	})
	x.target("second", fleet.Mixed, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("After") == "" { // the stream begins at the first target
			respondsWith(http.StatusServiceUnavailable, "Not-Run")(w, r)
			return
		}
		rest(w, r)
	})
	got := x.send(nil)
	is.NoErr(got.err)
	is.Equal(got.body, eventText(5))
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(sentOn), 4) // sendings, each on a connection of its own
	for _, n := range sentOn {
		is.Equal(n, 1)
	}
}
