package config

import (
	"crypto/sha256"
	"time"

	"papayarock/core/fleet"
)

// Digest is the SHA-256 of a key. The key itself is never stored.
type Digest [sha256.Size]byte

// Key admits requests of one customer.
type Key struct {
	ID       string // public identifier, shown in lists and dumps
	Digest   Digest
	Customer fleet.Customer
	Issued   time.Time
}

// Customer describes one tenant.
type Customer struct {
	Name            fleet.Customer
	Weight          uint32  // share of capacity relative to other customers, at least 1
	TokensPerSecond float64 // limit over all entries; 0 means no limit
	RequestsPerSec  float64 // limit over all entries; 0 means no limit
	Large           bool
}

// Protocol is how callers speak on a route.
type Protocol uint8

// Protocols of a route.
const (
	Plain    Protocol = iota // any method and path below the prefix
	Language                 // completion and chat-completion JSON
)

// Route maps a path prefix to a pool of targets.
type Route struct {
	Name       string
	Prefix     string // URL path prefix, starting with a slash
	Protocol   Protocol
	Pool       string // targets that serve the route
	Class      fleet.Class
	Open       bool          // served without a key
	Idempotent bool          // all methods may be repeated
	SafeReads  bool          // GET and HEAD may be repeated even if Idempotent is false
	Promise    time.Duration // time within which an answer must be complete
	FirstToken time.Duration // time within which the first token is promised; 0 means none
}

// Model describes a model that engines load.
type Model struct {
	Name    string
	Version string
	Bytes   uint64 // weights, in bytes
}

// Window is a period known ahead in which urgent work is expected, such as a
// tide window.
type Window struct {
	Name     string
	Opens    time.Time
	Closes   time.Time
	Reserved float64 // share of capacity kept for urgent work, 0 to 1
}

// Budget limits what targets may cost.
type Budget struct {
	HourlyCap       float64            // currency units an hour for running targets; 0 means no cap
	PricePerHour    map[string]float64 // by pool
	StartDelay      time.Duration      // from a target order to a ready target
	MinimumPerPool  map[string]int
	MaximumPerPool  map[string]int
	RoleChangeDelay time.Duration // time an engine is away during a role change
}

// Document is the part of the configuration generated from the questionnaire.
type Document struct {
	Team      string
	Customers []Customer
	Routes    []Route
	Models    []Model
	PoolModel map[string]string // model that the engines of a pool serve
	Windows   []Window
	Budget    Budget
}

// Snapshot is the whole configuration at one revision.
type Snapshot struct {
	Revision uint64
	Document Document
	Keys     []Key
	Targets  []fleet.Target
	Cut      []CutKey // keys withdrawn of late whose running requests are interrupted
	Revoked  []Revocation
}
