package scenario

import (
	"net/http"
	"reflect"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"papayarock/internal/fake"
)

// group is all fakes of one kind of a deployment. Its counters are the sums of
// those of its members.
type group []http.Handler

// ServeHTTP makes a group an http.Handler, as fakes are. It is never called, since
// each member has its own server.
func (group) ServeHTTP(http.ResponseWriter, *http.Request) {}

// Runs returns how often the request with a body or request id has run at all
// members.
func (g group) Runs(key string) int {
	n := 0
	for _, h := range g {
		if f, ok := h.(interface{ Runs(string) int }); ok {
			n += f.Runs(key)
		}
	}
	return n
}

// counts sums the counters of the members, which are structs of integers.
func (g group) counts() any {
	if len(g) == 0 {
		return struct{}{}
	}
	sum := reflect.New(reflect.TypeOf(counts(g[0]))).Elem()
	for _, h := range g {
		c := reflect.ValueOf(counts(h))
		for i := range c.NumField() {
			sum.Field(i).SetInt(sum.Field(i).Int() + c.Field(i).Int())
		}
	}
	return sum.Interface()
}

// loseAnswer implements "lose-answer NAME BODY": the next request with this body is
// processed, and its response is dropped.
func loseAnswer(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 2, "lose-answer NAME BODY")
	members := group{findFake(ts, args[0])}
	if g, ok := members[0].(group); ok {
		members = g
	}
	for _, h := range members {
		s, ok := h.(*fake.Service)
		if !ok {
			ts.Fatalf("fake %q is not a service", args[0])
		}
		s.LoseResponseTo(args[1])
	}
}

// billedRequests returns the number of requests reported to the platform with a
// customer. Each window counts once, with the report that came last.
func billedRequests(p *fake.Platform) int {
	once := make(map[[2]string]uint64)
	for _, u := range p.Usage() {
		if u.Customer != "" {
			once[[2]string{u.Customer, u.Window}] = u.Requests
		}
	}
	n := uint64(0)
	for _, v := range once {
		n += v
	}
	return int(n) //nolint:gosec // a script sends a handful of requests
}

// seen implements "seen NAME HEADER [VALUE]": it asserts that a fake received a
// request with this header; "! seen" that it did not.
func seen(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, false, args, 2, "seen NAME HEADER [VALUE]")
	members := group{findFake(ts, args[0])}
	if g, ok := members[0].(group); ok {
		members = g
	}
	n := 0
	for _, h := range members {
		f, ok := h.(interface{ Headers() []http.Header })
		if !ok {
			ts.Fatalf("fake %q does not record headers", args[0])
		}
		for _, header := range f.Headers() {
			for _, v := range header.Values(args[1]) {
				if len(args) == 2 || v == args[2] {
					n++
				}
			}
		}
	}
	if (n > 0) == neg {
		ts.Fatalf("%d requests with %s reached %s", n, strings.Join(args[1:], ": "), args[0])
	}
}
