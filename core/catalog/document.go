package catalog

import (
	"time"

	"papayarock/core/fleet"
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
