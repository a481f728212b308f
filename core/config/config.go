package config

import (
	"crypto/sha256"
	"time"

	"papayarock/core/fleet"
)

// Digest is the SHA-256 hash of a key's secret. The secret itself is not stored.
type Digest [sha256.Size]byte

// Key authenticates requests of one customer.
type Key struct {
	ID       string // public identifier, shown in lists and dumps
	Digest   Digest
	Customer fleet.Customer
	Issued   time.Time
}

// Customer describes a customer.
type Customer struct {
	Name            fleet.Customer
	Weight          uint32  // share of capacity relative to other customers, at least 1
	TokensPerSecond float64 // rate limit over all entries; 0 means no limit
	RequestsPerSec  float64 // rate limit over all entries; 0 means no limit
	Large           bool    // marked as large in the questionnaire; nodes do not use it
}

// Protocol is the protocol of requests on a route.
type Protocol uint8

// Protocols of a route.
const (
	Plain    Protocol = iota // any method and path below the prefix
	Language                 // completion and chat completion requests in JSON
)

// Route maps a path prefix to a pool of targets.
type Route struct {
	Name       string
	Prefix     string // URL path prefix, starting with a slash
	Protocol   Protocol
	Pool       string // targets that serve the route
	Class      fleet.Class
	Open       bool          // served without a key
	Idempotent bool          // requests with any method may be retried
	SafeReads  bool          // GET and HEAD requests may be retried even if Idempotent is false
	Promise    time.Duration // time limit for the complete response
	FirstToken time.Duration // time limit for the first token; 0 means none
}

// Model describes a model that engines serve.
type Model struct {
	Name    string
	Version string
	Bytes   uint64 // size of the weights
}

// Window is a period, known in advance, in which urgent requests are expected, for
// example a tide window.
type Window struct {
	Name     string
	Opens    time.Time
	Closes   time.Time
	Reserved float64 // share of capacity reserved for urgent requests, 0 to 1
}

// Budget limits the cost of targets.
type Budget struct {
	HourlyCap       float64            // cost of running targets in currency units per hour; 0 means no limit
	PricePerHour    map[string]float64 // currency units per hour for one target, by pool
	StartDelay      time.Duration      // time from ordering a target until it is ready
	MinimumPerPool  map[string]int
	MaximumPerPool  map[string]int
	RoleChangeDelay time.Duration // time for which an engine is unavailable during a role change
}

// Document is the part of the configuration that is generated from the
// questionnaire.
type Document struct {
	Team      string
	Customers []Customer
	Routes    []Route
	Models    []Model
	PoolModel map[string]string // model that the engines of a pool serve, by pool
	Windows   []Window
	Budget    Budget
}

// Snapshot is the complete configuration at one revision.
type Snapshot struct {
	Revision        uint64
	Document        Document
	Keys            []Key
	Targets         []fleet.Target
	InterruptedKeys []InterruptedKey // recently withdrawn keys whose running requests are interrupted
	Revoked         []Revocation
}
