package scenario

import (
	"net/http"
	"reflect"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"papayarock/internal/fake"
)

// group holds all fakes of one kind in a deployment. Commands use it as a fake:
// faults apply to each member, and counters are the sums over the members.
type group []http.Handler

// ServeHTTP makes a group an http.Handler, as fakes are. It is never called, since
// each member has its own server.
func (group) ServeHTTP(http.ResponseWriter, *http.Request) {}

// Runs returns how often the request with this body or request id has run, summed
// over the members.
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

// loseAnswer implements "lose-answer NAME BODY": a fake service processes the next
// request with this body and drops its response. In a group, each member does so
// once.
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

// billedRequests returns the number of requests in the usage reports to the platform
// that name a customer. A window that was reported several times counts once, with
// its last report.
func billedRequests(p *fake.Platform) int {
	byWindow := make(map[[2]string]uint64)
	for _, u := range p.UsageReports() {
		if u.Customer != "" {
			byWindow[[2]string{u.Customer, u.Window}] = u.Requests
		}
	}
	n := uint64(0)
	for _, v := range byWindow {
		n += v
	}
	return int(n) //nolint:gosec // a script sends a handful of requests
}

// seen implements "seen NAME HEADER [VALUE]": it asserts that a fake received at
// least one request with this header; "! seen" that it received none.
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
