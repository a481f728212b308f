package catalog

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/quota"
)

// Kind says whether a request may be repeated.
type Kind uint8

// Kinds of requests.
const (
	Idempotent    Kind = iota // may run more than once
	NonIdempotent             // runs at most once
	Stream                    // answered by a stream of events; runs at most once unless the route is resumable
)

// String returns the name of the kind in kebab case.
func (k Kind) String() string {
	return [...]string{"idempotent", "non-idempotent", "stream"}[k]
}

// Document is one version of the configuration document.
type Document struct {
	Version   uint64
	Routes    []Route
	Pools     []Pool
	Customers []Customer // empty if requests carry no keys
	Limits    Limits
}

// Route configures how requests for one host name and path prefix are served.
type Route struct {
	Name      string
	Host      string // lower case, without port
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Timeout   time.Duration // after which the caller gets a final response
	Objective time.Duration // for the time to the response, or to the first event of a stream
	MaxPause  time.Duration // objective for the longest pause between events; zero means none
	Rank      int           // zero is the most urgent
	Shares    []Share
	Attempts  int  // maximum number of targets to which one request is sent
	Open      bool // requests need no key
	Affinity  bool // requests with the same prefix go to the same target
	Resumable bool // another target may continue an interrupted stream
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Share is the part of a route's requests that one pool serves, as a weight
// relative to the other shares of the route.
type Share struct {
	Pool   string
	Weight int
}

// Pool is a set of targets that serve the same requests.
type Pool struct {
	Name           string
	HealthPath     string
	MaxConnections int     // per target, over all callers
	Engine         *Engine // nil for a service without a model engine
}

// Engine describes the model engines of a pool.
type Engine struct {
	Slots         int           // requests in one batch
	EventTokens   int           // tokens in one event of a stream at most; zero if unknown
	CacheTokens   int           // capacity of the KV cache of one target, in tokens
	BytesPerToken int           // size of the KV cache of one token, in bytes
	LinkMbps      float64       // bandwidth of the link for KV cache transfers
	Retention     time.Duration // how long an exported KV cache is kept
	RoleChange    time.Duration // how long a role change makes a target unavailable
}

// Customer is a customer and its keys.
type Customer struct {
	Name    fleet.Customer
	Keys    []string
	Rank    int // overrides the rank of the route if HasRank is set
	HasRank bool
	Limit   Limit
}

// Limit is the limit on the requests of a customer at all gateways together. It is a rate
// with a burst, counted in requests or in tokens. The zero value is no limit.
type Limit struct {
	Rate        float64 // per second
	Burst       float64
	Tokens      bool    // Rate and Burst count tokens instead of requests
	PlainTokens float64 // what a request counts that does not state its tokens
}

// Limited reports whether l is a limit. A rate or a burst of zero is none.
func (l Limit) Limited() bool { return l.Rate > 0 && l.Burst > 0 }

// Cost returns what a request counts that states its tokens, or does not if stated is
// false. The sum of both numbers may exceed the range of an int.
func (l Limit) Cost(prompt, output int, stated bool) float64 {
	switch {
	case !l.Tokens:
		return 1
	case !stated:
		return l.PlainTokens
	}
	return float64(prompt) + float64(output)
}

// QuotaLimits returns the limits of the customers that have one.
func (d Document) QuotaLimits() []quota.Limit {
	var out []quota.Limit
	for _, c := range d.Customers {
		if l := c.Limit; l.Limited() {
			out = append(out, quota.Limit{Customer: c.Name, Rate: l.Rate, Burst: l.Burst, Tokens: l.Tokens})
		}
	}
	return out
}

// Limits are the sizes and times that requests from callers may use up. A gateway
// enforces BodyBytes. In place of the others it has limits of its own, which must not
// be lower.
type Limits struct {
	HeaderBytes   int           // size of a request header
	BodyBytes     int           // size of a request body
	HeaderTimeout time.Duration // time to read a request header
	IdleTimeout   time.Duration // time for which a connection may be idle
}
