package scenario

import (
	"net/http"
	"reflect"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"papayarock/internal/fake"
)

// group is all stand-ins of one kind, whose counts add up.
type group []http.Handler

// ServeHTTP is never reached: the members serve on their own.
func (group) ServeHTTP(http.ResponseWriter, *http.Request) {}

// Runs sums the runs of one body or request id.
func (g group) Runs(key string) int {
	n := 0
	for _, h := range g {
		if f, ok := h.(interface{ Runs(string) int }); ok {
			n += f.Runs(key)
		}
	}
	return n
}

// counts sums the counts of the members, which are structs of integers.
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

// loseAnswer is the command "lose-answer NAME BODY": the answer to the next
// request with this body is lost after it ran.
func loseAnswer(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg, args, 2, "lose-answer NAME BODY")
	members := group{find(ts, args[0])}
	if g, ok := members[0].(group); ok {
		members = g
	}
	for _, h := range members {
		s, ok := h.(*fake.Service)
		if !ok {
			ts.Fatalf("fake %q is no service", args[0])
		}
		s.LoseResponseTo(args[1])
	}
}

// billed sums the requests that were reported for customers, each window once.
func billed(p *fake.Platform) int {
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

// seen is the command "seen NAME HEADER [VALUE]": it asserts that a request
// with this header reached a stand-in; "! seen" that none did.
func seen(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, false, args, 2, "seen NAME HEADER [VALUE]")
	members := group{find(ts, args[0])}
	if g, ok := members[0].(group); ok {
		members = g
	}
	n := 0
	for _, h := range members {
		f, ok := h.(interface{ Headers() []http.Header })
		if !ok {
			ts.Fatalf("fake %q records no headers", args[0])
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
