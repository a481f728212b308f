package catalog_test

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/catalog"
)

func newDocument() catalog.Document {
	return catalog.Document{
		Version: 3,
		Pools:   []catalog.Pool{{Name: "language"}, {Name: "orders"}},
		Routes: []catalog.Route{
			{Name: "a", Host: "h.example", Prefix: "/a/", Timeout: time.Second, Shares: []catalog.Share{{Pool: "language", Weight: 1}}},
			{Name: "ab", Host: "h.example", Prefix: "/a/b/", Timeout: time.Second, Shares: []catalog.Share{{Pool: "orders", Weight: 1}}},
		},
		Customers: []catalog.Customer{{Name: "klang", Keys: []string{"k1", "k2"}}, {Name: "borneo", Keys: []string{"k3"}}},
	}
}

// An inconsistent document must be rejected.
func TestCheck(t *testing.T) {
	for name, test := range map[string]struct {
		edit func(d *catalog.Document)
		ok   bool
	}{
		"valid":                {func(*catalog.Document) {}, true},
		"no customers":         {func(d *catalog.Document) { d.Customers = nil }, true},
		"key listed twice":     {func(d *catalog.Document) { d.Customers[0].Keys = []string{"k1", "k1"} }, true},
		"unknown pool":         {func(d *catalog.Document) { d.Routes[0].Shares[0].Pool = "none" }, false},
		"no weight":            {func(d *catalog.Document) { d.Routes[0].Shares[0].Weight = 0 }, false},
		"negative weight":      {func(d *catalog.Document) { d.Routes[0].Shares[0].Weight = -1 }, false},
		"no timeout":           {func(d *catalog.Document) { d.Routes[1].Timeout = 0 }, false},
		"same host and prefix": {func(d *catalog.Document) { d.Routes[1].Prefix = "/a/" }, false},
		"no slash at the end":  {func(d *catalog.Document) { d.Routes[1].Prefix = "/b" }, false},
		"pool listed twice":    {func(d *catalog.Document) { d.Pools[1].Name = "language" }, false},
		"shared key":           {func(d *catalog.Document) { d.Customers[1].Keys = []string{"k2"} }, false},
		"customer twice":       {func(d *catalog.Document) { d.Customers[1].Name = "klang" }, false},
		"customer not named":   {func(d *catalog.Document) { d.Customers[1].Name = "" }, false},
		"limit":                {func(d *catalog.Document) { d.Customers[0].Limit = catalog.Limit{Rate: 5, Burst: 0.5} }, true},
		"negative rate":        {func(d *catalog.Document) { d.Customers[0].Limit.Rate = -1 }, false},
		"negative burst":       {func(d *catalog.Document) { d.Customers[0].Limit.Burst = -1 }, false},
		"negative size":        {func(d *catalog.Document) { d.Customers[0].Limit.PlainTokens = -1 }, false},
		"pool without a name":  {func(d *catalog.Document) { d.Pools[1].Name = "" }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDocument()
			test.edit(&d)
			err := catalog.Validate(d)
			is.Equal(err == nil, test.ok)
			is.True(test.ok || errors.Is(err, catalog.ErrInvalid))
		})
	}
}

// A request must not be served by the rules of another route.
func TestRoute(t *testing.T) {
	x := catalog.NewIndex(newDocument())
	for name, test := range map[string]struct{ host, path, route string }{
		"prefix":           {"h.example", "/a/x", "a"},
		"longest prefix":   {"h.example", "/a/b/x", "ab"},
		"host with a port": {"h.example:8080", "/a/x", "a"},
		"host in capitals": {"H.Example", "/a/x", "a"},
		"no prefix":        {"h.example", "/c/x", ""},
		"part of a prefix": {"h.example", "/ab/x", ""},
		"other host":       {"other.example", "/a/x", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, ok := x.Route(test.host, test.path)
			is.Equal(ok, test.route != "")
			is.True(!ok || r.Name == test.route)
		})
	}
}

// Requests must be split over pools by weight, and requests of one session must
// stay in one pool.
func TestPickPool(t *testing.T) {
	is := is.New(t)
	r := catalog.Route{Shares: []catalog.Share{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}, {Pool: "c"}}}
	counts := make(map[string]int)
	for i := range 10_000 {
		key := fmt.Sprint("key-", i)
		counts[r.PickPool(key)]++
		is.Equal(r.PickPool(key), r.PickPool(key))
	}
	is.True(counts["a"] > 8800 && counts["a"] < 9200)
	is.Equal(counts["c"], 0)
	is.Equal((&catalog.Route{}).PickPool("key"), "")
}

// Guards against a request that counts something else than its unit says, that counts less
// than nothing, or that counts nothing because it does not state its tokens.
func TestCost(t *testing.T) {
	tokens := catalog.Limit{Rate: 10, Burst: 10, Tokens: true, PlainTokens: 700}
	for name, test := range map[string]struct {
		limit          catalog.Limit
		prompt, output int
		stated         bool
		cost           float64
	}{
		"requests":       {catalog.Limit{Rate: 10, Burst: 10, PlainTokens: 700}, 100, 20, true, 1},
		"tokens":         {tokens, 100, 20, true, 120},
		"no tokens":      {tokens, 0, 0, true, 0},
		"not stated":     {tokens, 0, 0, false, 700},
		"beyond integer": {tokens, math.MaxInt, math.MaxInt, true, 2 * float64(math.MaxInt)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.limit.Cost(test.prompt, test.output, test.stated), test.cost)
		})
	}
}

func ExampleIndex_Route() {
	x := catalog.NewIndex(catalog.Document{Routes: []catalog.Route{{Name: "notes", Host: "h.example", Prefix: "/notes/"}}})
	r, ok := x.Route("h.example:80", "/notes/17")
	fmt.Println(r.Name, ok)
	// Output: notes true
}
