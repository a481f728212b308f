package catalog_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/catalog"
)

// cleanDocument returns a document without findings. All values are set.
func cleanDocument() catalog.Document {
	d := newDocument()
	for i := range d.Routes {
		r := &d.Routes[i]
		r.Kind, r.Objective, r.MaxPause, r.Rank, r.Attempts = catalog.Stream, time.Second/2, time.Second, 1, 2
		r.Open, r.Affinity, r.Resumable = true, true, true
	}
	d.Pools[0].HealthPath, d.Pools[0].MaxConnections = "/healthz", 8
	d.Pools[0].Engine = &catalog.Engine{Slots: 8, EventTokens: 4, CacheTokens: 500, BytesPerToken: 100, LinkMbps: 10, Retention: time.Second, RoleChange: time.Second}
	d.Customers[0].Rank, d.Customers[0].HasRank = 1, true
	d.Customers[0].Limit = catalog.Limit{Rate: 100, Burst: 500, Tokens: true, PlainTokens: 500}
	d.Customers[1].Limit = catalog.Limit{Rate: 10, Burst: 1}
	d.Limits = catalog.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	return d
}

func describe(f catalog.Finding) string {
	return fmt.Sprintf("%v %d[%d].%s[%d]", f.Class, f.Place.Section, f.Place.Index, f.Place.Field, f.Place.Item)
}

// Guards against an entry that can never match, or limits that contradict each other, that
// an operator is not told of, and against findings at the wrong place or in a document that
// has none.
func TestExamine(t *testing.T) {
	for name, test := range map[string]struct {
		edit func(d *catalog.Document)
		want string // findings, separated by commas
	}{
		"clean":                    {func(*catalog.Document) {}, ""},
		"largest allowed":          {func(d *catalog.Document) { d.Routes[0].Objective = time.Second }, ""},
		"no limits":                {func(d *catalog.Document) { d.Customers[0].Limit, d.Limits = catalog.Limit{}, catalog.Limits{} }, ""},
		"address of version 6":     {func(d *catalog.Document) { d.Routes[0].Host = "2001:db8::1" }, ""},
		"escaped prefix":           {func(d *catalog.Document) { d.Routes[0].Prefix = "/a%20b/" }, ""},
		"two faults":               {func(d *catalog.Document) { d.Routes[0].Timeout, d.Customers[1].Name = 0, "" }, "error 1[0].timeout[0], error 3[1].name[0], contradiction 1[0].objective[0], contradiction 1[0].max-pause[0]"},
		"equal prefix":             {func(d *catalog.Document) { d.Routes[1].Prefix = "/a/" }, "error 1[1].prefix[0]"},
		"host with a port":         {func(d *catalog.Document) { d.Routes[1].Host = "h.example:80" }, "never-matches 1[1].host[0]"},
		"no host":                  {func(d *catalog.Document) { d.Routes[1].Host = "" }, "never-matches 1[1].host[0]"},
		"host with a wildcard":     {func(d *catalog.Document) { d.Routes[1].Host = "*.example" }, "never-matches 1[1].host[0]"},
		"prefix with a query":      {func(d *catalog.Document) { d.Routes[1].Prefix = "/a?b/" }, "never-matches 1[1].prefix[0]"},
		"prefix with a space":      {func(d *catalog.Document) { d.Routes[1].Prefix = "/a b/" }, "never-matches 1[1].prefix[0]"},
		"prefix with a bad escape": {func(d *catalog.Document) { d.Routes[1].Prefix = "/a%zz/" }, "never-matches 1[1].prefix[0]"},
		"weight 0": {func(d *catalog.Document) {
			d.Routes[0].Shares = append(d.Routes[0].Shares, catalog.Share{Pool: "orders"})
		}, "never-matches 1[0].share-weight[1]"},
		"unknown pool, second": {func(d *catalog.Document) {
			d.Routes[0].Shares = append(d.Routes[0].Shares, catalog.Share{Pool: "x", Weight: 1})
		}, "error 1[0].share-pool[1]"},
		"pool without route":        {func(d *catalog.Document) { d.Pools = append(d.Pools, catalog.Pool{Name: "x"}) }, "never-matches 2[2].[0]"},
		"objective above timeout":   {func(d *catalog.Document) { d.Routes[0].Objective = time.Second + 1 }, "contradiction 1[0].objective[0]"},
		"gap above timeout":         {func(d *catalog.Document) { d.Routes[0].MaxPause = time.Second + 1 }, "contradiction 1[0].max-pause[0]"},
		"negative objective":        {func(d *catalog.Document) { d.Routes[0].Objective = -1 }, "contradiction 1[0].objective[0]"},
		"negative gap":              {func(d *catalog.Document) { d.Routes[0].MaxPause = -1 }, "contradiction 1[0].max-pause[0]"},
		"connections below slots":   {func(d *catalog.Document) { d.Pools[0].MaxConnections = 7 }, "contradiction 2[0].max-connections[0]"},
		"negative connections":      {func(d *catalog.Document) { d.Pools[0].MaxConnections = -1 }, "contradiction 2[0].max-connections[0]"},
		"no slots":                  {func(d *catalog.Document) { d.Pools[0].Engine.Slots = 0 }, "contradiction 2[0].slots[0]"},
		"no capacity":               {func(d *catalog.Document) { d.Pools[0].Engine.CacheTokens = 0 }, "contradiction 2[0].cache-tokens[0]"},
		"event above capacity":      {func(d *catalog.Document) { d.Pools[0].Engine.EventTokens = 501 }, "contradiction 2[0].event-tokens[0]"},
		"negative bandwidth":        {func(d *catalog.Document) { d.Pools[0].Engine.LinkMbps = -1 }, "contradiction 2[0].link-mbps[0]"},
		"customer without key":      {func(d *catalog.Document) { d.Customers[0].Keys = nil }, "never-matches 3[0].keys[0]"},
		"key without customer":      {func(d *catalog.Document) { d.Customers[1].Name = "" }, "error 3[1].name[0]"},
		"empty key":                 {func(d *catalog.Document) { d.Customers[0].Keys[1] = "" }, "never-matches 3[0].key[1]"},
		"key with a space":          {func(d *catalog.Document) { d.Customers[0].Keys[1] = "k2 " }, "never-matches 3[0].key[1]"},
		"key with a line feed":      {func(d *catalog.Document) { d.Customers[0].Keys[1] = "k\n2" }, "never-matches 3[0].key[1]"},
		"repeated key":              {func(d *catalog.Document) { d.Customers[0].Keys[1] = "k1" }, "never-matches 3[0].key[1]"},
		"shared key":                {func(d *catalog.Document) { d.Customers[1].Keys = []string{"k2"} }, "error 3[1].key[0]"},
		"burst without rate":        {func(d *catalog.Document) { d.Customers[1].Limit.Rate = 0 }, "contradiction 3[1].burst[0]"},
		"rate without burst":        {func(d *catalog.Document) { d.Customers[1].Limit.Burst = 0 }, "contradiction 3[1].rate[0]"},
		"burst below a request":     {func(d *catalog.Document) { d.Customers[1].Limit.Burst = 0.9 }, "contradiction 3[1].burst[0]"},
		"burst below the largest":   {func(d *catalog.Document) { d.Pools[0].Engine.CacheTokens = 501 }, "contradiction 3[0].burst[0]"},
		"plain above burst":         {func(d *catalog.Document) { d.Customers[0].Limit.PlainTokens = 501 }, "contradiction 3[0].plain-tokens[0]"},
		"plain without tokens":      {func(d *catalog.Document) { d.Customers[1].Limit.PlainTokens = 1 }, "never-matches 3[1].plain-tokens[0]"},
		"negative rate":             {func(d *catalog.Document) { d.Customers[1].Limit.Rate = -1 }, "error 3[1].rate[0]"},
		"negative limit of headers": {func(d *catalog.Document) { d.Limits.HeaderBytes = -1 }, "contradiction 4[0].header-bytes[0]"},
		"engine without requests": {func(d *catalog.Document) {
			d.Pools = append(d.Pools, catalog.Pool{Name: "x", Engine: &catalog.Engine{Slots: 1, CacheTokens: 1e6}})
		}, "never-matches 2[2].[0]"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := cleanDocument()
			test.edit(&d)
			var got []string
			invalid := false
			for _, f := range catalog.Examine(d) {
				got = append(got, describe(f))
				invalid = invalid || f.Class == catalog.Invalid
			}
			is.Equal(strings.Join(got, ", "), test.want)
			is.Equal(invalid, catalog.Validate(d) != nil)
		})
	}
}

// Guards against findings and differences that contain an API key, which are shown on
// screens and stored in logs of jobs.
func TestExamineHidesKeys(t *testing.T) {
	is := is.New(t)
	d := cleanDocument()
	d.Customers[0].Keys = []string{"secret-1 ", "secret-2", "secret-2", "secret-3"}
	d.Customers[1].Keys = []string{"secret-2"}
	found, changes := catalog.Examine(d), catalog.Compare(cleanDocument(), d)
	is.True(len(found) >= 3)
	is.Equal(len(changes), 2)
	is.True(!strings.Contains(fmt.Sprint(found, changes), "secret"))
	is.Equal(changes[0].Before, "keys: 2")
	is.Equal(changes[0].After, "keys: 3 (3 added, 2 removed)")
}

// Guards against a document that an operator sends and that the registry silently ignores.
func TestExamineSuccessor(t *testing.T) {
	for name, test := range map[string]struct {
		version  uint64
		differs  bool
		findings int
	}{
		"newer":                 {4, true, 0},
		"newer, same content":   {4, false, 0},
		"in force":              {3, false, 0},
		"same version, differs": {3, true, 1},
		"older":                 {2, true, 1},
		"older, same content":   {2, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := cleanDocument()
			d.Version = test.version
			if test.differs {
				d.Routes[0].Rank++
			}
			is.Equal(len(catalog.ExamineSuccessor(cleanDocument(), d)), test.findings)
		})
	}
}

// Guards against entries that are matched with the wrong entry of the other document, and
// against differences that have no effect.
func TestCompare(t *testing.T) {
	for name, test := range map[string]struct {
		edit func(d *catalog.Document)
		want []catalog.Difference
	}{
		"none": {func(*catalog.Document) {}, nil},
		"order of entries": {func(d *catalog.Document) {
			d.Routes[0], d.Routes[1] = d.Routes[1], d.Routes[0]
			d.Pools[0], d.Pools[1] = d.Pools[1], d.Pools[0]
			d.Customers[0], d.Customers[1] = d.Customers[1], d.Customers[0]
		}, nil},
		"order of keys": {func(d *catalog.Document) { d.Customers[0].Keys = []string{"k2", "k1"} }, nil},
		"version":       {func(d *catalog.Document) { d.Version = 4 }, []catalog.Difference{{catalog.Changed, catalog.SectionDocument, "", catalog.FieldVersion, "3", "4"}}},
		"timeout":       {func(d *catalog.Document) { d.Routes[1].Timeout = 2 * time.Second }, []catalog.Difference{{catalog.Changed, catalog.SectionRoutes, "ab", catalog.FieldTimeout, "1s", "2s"}}},
		"shares": {func(d *catalog.Document) {
			d.Routes[0].Shares = []catalog.Share{{Pool: "language", Weight: 2}, {Pool: "orders", Weight: 1}}
		},
			[]catalog.Difference{{catalog.Changed, catalog.SectionRoutes, "a", catalog.FieldShares, `"language" 1`, `"language" 2, "orders" 1`}}},
		"pool added":       {func(d *catalog.Document) { d.Pools = append(d.Pools, catalog.Pool{Name: "x"}) }, []catalog.Difference{{Change: catalog.Added, Section: catalog.SectionPools, Entry: "x"}}},
		"customer removed": {func(d *catalog.Document) { d.Customers = d.Customers[1:] }, []catalog.Difference{{Change: catalog.Removed, Section: catalog.SectionCustomers, Entry: "klang"}}},
		"rank removed":     {func(d *catalog.Document) { d.Customers[0].HasRank = false }, []catalog.Difference{{catalog.Changed, catalog.SectionCustomers, "klang", catalog.FieldRank, "1", "none"}}},
		"unit":             {func(d *catalog.Document) { d.Customers[0].Limit.Tokens = false }, []catalog.Difference{{catalog.Changed, catalog.SectionCustomers, "klang", catalog.FieldUnit, "tokens", "requests"}}},
		"routes of one name": {func(d *catalog.Document) { d.Routes[1].Name = "a" },
			[]catalog.Difference{{catalog.Changed, catalog.SectionRoutes, "h.example/a/b/", catalog.FieldName, `"ab"`, `"a"`}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := cleanDocument()
			test.edit(&d)
			is.Equal(catalog.Compare(cleanDocument(), d), test.want)
		})
	}
}

// Guards against a new value of the document that Compare leaves out.
func TestCompareShowsAllValues(t *testing.T) {
	for name, entry := range map[string]func(d *catalog.Document) any{
		"document": func(d *catalog.Document) any { return d },
		"route":    func(d *catalog.Document) any { return &d.Routes[0] },
		"pool":     func(d *catalog.Document) any { return &d.Pools[0] },
		"engine":   func(d *catalog.Document) any { return d.Pools[0].Engine },
		"customer": func(d *catalog.Document) any { return &d.Customers[0] },
		"limit":    func(d *catalog.Document) any { return &d.Customers[0].Limit },
		"limits":   func(d *catalog.Document) any { return &d.Limits },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d catalog.Document
			for i := range reflect.TypeOf(entry(new(cleanDocument()))).Elem().NumField() {
				d = cleanDocument()
				field := reflect.ValueOf(entry(&d)).Elem().Field(i)
				is.True(!field.IsZero()) // cleanDocument sets each value
				field.SetZero()
				is.True(len(catalog.Compare(cleanDocument(), d)) > 0) // Compare shows the value
			}
		})
	}
}
