package route

import (
	"net/netip"
	"time"

	"papayarock/core/fleet"
)

// Event is something a Router learns: Configure, Load, Summary, FirstToken,
// Outcome, Moved or Cache.
type Event interface{ event() }

// Configure replaces the known targets. Figures of targets that stay under the
// same name and incarnation are kept. Targets outside the subset are chosen only
// when no target in it is expected to keep the promise.
type Configure struct {
	Targets []fleet.Target
	Subset  Subset
}

// Load is a target's report of its own backlog.
type Load struct {
	Target        fleet.TargetName
	Taken         time.Time // when the figures were read at the target, on this node's clock
	PrefillTokens float64   // prompt tokens accepted and not yet processed
	DecodeTokens  float64   // estimated output tokens of accepted requests still to come
	Requests      uint32    // running and waiting; the only figure of a plain service
	PrefillSpeed  float64   // prompt tokens/s; 0 keeps the previous value
	DecodeSpeed   float64   // output tokens/s over all requests; 0 keeps the previous value
}

// Summary gives the mean backlog of a data centre's targets, for data centres
// whose targets don't report to this node one by one.
type Summary struct {
	Pool       string
	DataCentre fleet.DataCentre
	Stage      Stage
	Taken      time.Time
	Work       float64 // mean backlog per target in seconds
}

// Result says how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	Served    Result = iota
	Failed           // the target refused, broke off or could not be reached
	Cancelled        // ended by the caller; says nothing about the target
)

// FirstToken reports that the prompt of an attempt has been processed, or that
// a plain service has answered. It is optional, once per Choice.
type FirstToken struct {
	Choice Choice
	Took   time.Duration // since Choice.Sent
}

// Outcome reports the end of the attempt that a Choice began. Each Choice needs
// exactly one Outcome.
type Outcome struct {
	Choice   Choice
	Result   Result
	Began    bool // FirstToken was reported for the Choice
	Customer fleet.Customer
	Bytes    uint64 // sent and received
}

// Moved reports a move of the KV cache of a prompt from one target to another.
type Moved struct {
	From, To fleet.TargetName
	Customer fleet.Customer
	Tokens   float64       // of the prompt
	Bytes    uint64        // sent
	Took     time.Duration // until the cache could be used, or the move was given up
	Whole    bool          // the cache can be used
}

// Cache reports changes of a target's prefix cache.
type Cache struct {
	Target   fleet.TargetName
	Sequence uint64   // consecutive per incarnation; a jump means lost events
	Whole    bool     // Stored is the whole content; answers a Resync
	Stored   []uint64 // prefix hashes, as in Request.Prefix
	Evicted  []uint64
}

func (Configure) event()  {}
func (Load) event()       {}
func (Summary) event()    {}
func (FirstToken) event() {}
func (Outcome) event()    {}
func (Moved) event()      {}
func (Cache) event()      {}

// Resync asks the owner to request the whole cache content of a target, after
// a gap in its cache events.
type Resync struct{ Target fleet.TargetName }

// Stage says which part of a request is placed.
type Stage uint8

// Stages of a request. A plain service runs the whole request at its start, and
// so does a mixed engine, unless the Choice says HandOver.
const (
	Start Stage = iota
	Decode
)

// Request is what Pick needs to know of a request.
type Request struct {
	Pool         string
	Customer     fleet.Customer
	Stage        Stage
	Near         fleet.DataCentre // with Decode: of the prefill engine, whose KV cache moves
	PromptTokens float64          // 0 for plain services
	OutputTokens float64          // estimate
	FirstTokenBy time.Time        // promise; zero means none
	Prefix       []uint64         // hashes of the prompt's prefixes in blocks of Options.BlockTokens, shortest first
	Tried        []fleet.TargetName

	region fleet.Region // of Near, once no target there can decode
}

// Choice is a chosen target. It is passed back in the Outcome.
type Choice struct {
	Target   fleet.TargetName
	Agent    netip.AddrPort
	HandOver bool // the target processes the prompt only; Pick again with stage Decode
	Sent     time.Time
	Expected time.Duration // expected time to the first token
	Prefill  float64       // seconds of target time that the attempt adds until its first token
	Decode   float64       // and after it
	Probe    bool          // the one attempt that tests an ejected target
	Crosses  bool          // leaves the region
	MoveKV   bool          // with Near: the KV cache moves to the target, which processes the prompt itself otherwise

	incarnation fleet.Incarnation
}
