package route

import (
	"net/netip"
	"time"

	"papayarock/core/fleet"
)

// Event is an input of Router.Step: Configure, Load, Summary, FirstToken,
// Outcome, KVTransferred or CacheUpdate.
type Event interface{ event() }

// Configure replaces the set of targets. The state of targets that keep their
// name and incarnation is retained. Targets outside the subset are chosen only
// when no target in it is expected to meet the first-token deadline.
type Configure struct {
	Targets []fleet.Target
	Subset  Subset
}

// Load is a load report of a target.
type Load struct {
	Target        fleet.TargetName
	MeasuredAt    time.Time // when the target measured its load, on this node's clock
	PrefillTokens float64   // prompt tokens of accepted requests that are not yet processed
	DecodeTokens  float64   // estimated output tokens still to be generated for accepted requests
	Requests      uint32    // running and waiting; a plain service reports nothing else
	PrefillSpeed  float64   // prompt tokens/s; 0 keeps the previous value
	DecodeSpeed   float64   // output tokens/s, summed over all requests; 0 keeps the previous value
}

// Summary is the mean backlog of a data centre's targets. It is used for targets
// that do not send load reports to this node.
type Summary struct {
	Pool        string
	DataCentre  fleet.DataCentre
	Stage       Stage
	ComputedAt  time.Time
	MeanBacklog float64 // mean backlog per target in seconds
}

// Result is the result of an attempt.
type Result uint8

// Results of an attempt.
const (
	Served    Result = iota
	Failed           // the target refused the request, aborted it or could not be reached
	Cancelled        // ended by the caller; does not affect the target's health
)

// FirstToken reports that the prompt of an attempt has been processed, or that a
// plain service has responded. It is optional and sent at most once per Choice.
type FirstToken struct {
	Choice  Choice
	Elapsed time.Duration // since Choice.Sent
}

// Outcome reports the end of an attempt. Each Choice must be followed by exactly
// one Outcome.
type Outcome struct {
	Choice         Choice
	Result         Result
	FirstTokenSeen bool // a FirstToken event was applied for the Choice
	Customer       fleet.Customer
	Bytes          uint64 // sent and received
}

// KVTransferred reports the transfer of a prompt's KV cache from one target to another.
type KVTransferred struct {
	From, To fleet.TargetName
	Customer fleet.Customer
	Tokens   float64       // of the prompt
	Bytes    uint64        // sent
	Elapsed  time.Duration // until the cache was usable or the transfer was abandoned
	Complete bool          // the transfer succeeded and the cache is usable
}

// CacheUpdate reports changes to a target's prefix cache.
type CacheUpdate struct {
	Target   fleet.TargetName
	Sequence uint64   // consecutive per incarnation; a gap means lost events
	Full     bool     // Stored is the complete content, sent in reply to a Resync
	Stored   []uint64 // prefix hashes, as in Request.PrefixHashes
	Evicted  []uint64
}

func (Configure) event()     {}
func (Load) event()          {}
func (Summary) event()       {}
func (FirstToken) event()    {}
func (Outcome) event()       {}
func (KVTransferred) event() {}
func (CacheUpdate) event()   {}

// Resync asks the caller to request the complete cache content of a target after
// a gap in its cache events.
type Resync struct{ Target fleet.TargetName }

// Stage is the part of a request for which a target is chosen.
type Stage uint8

// Stages of a request. A plain service runs the whole request in the Start stage,
// and so does a mixed engine unless Choice.PrefillOnly is set.
const (
	Start Stage = iota
	Decode
)

// Request describes a request to Pick.
type Request struct {
	Pool              string
	Customer          fleet.Customer
	Stage             Stage
	PrefillDataCentre fleet.DataCentre // in the Decode stage: data centre of the engine that holds the KV cache of the prompt
	PromptTokens      float64          // 0 for plain services
	OutputTokens      float64          // estimate
	FirstTokenBy      time.Time        // deadline of the first token; zero means none
	PrefixHashes      []uint64         // hashes of the prompt's prefixes in blocks of Options.BlockTokens, shortest first
	TriedTargets      []fleet.TargetName

	region fleet.Region // region of PrefillDataCentre, set by Pick if no target in that data centre may be chosen
}

// Choice is a chosen target. The caller passes it back in the Outcome.
type Choice struct {
	Target        fleet.TargetName
	Agent         netip.AddrPort
	PrefillOnly   bool          // the target only processes the prompt; call Pick again for the Decode stage
	Sent          time.Time     // time passed to Pick
	Expected      time.Duration // expected time to the first token
	Prefill       float64       // estimated target time in seconds up to the first token
	Decode        float64       // estimated target time in seconds after the first token
	Probe         bool          // probes an ejected target; there is one probe at a time
	CrossesRegion bool          // the target is in another region
	TransferKV    bool          // with PrefillDataCentre: transfer the KV cache; if false, the target processes the prompt itself

	incarnation fleet.Incarnation
}
