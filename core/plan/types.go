package plan

import (
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// Demand is the input of one planning step, as measured by the leader.
//
// For a group (the engines of one pool in one data centre) without a rate, the planner
// keeps its estimate and makes no decision, because missing reports do not imply that
// there is no load.
type Demand struct {
	Rates    []Rate
	Engines  []Engine
	Starting []Starting
	Speeds   []Speed
}

// Starting is a target that was ordered but is not in service yet.
type Starting struct {
	Pool       string
	DataCentre fleet.DataCentre
}

// Rate is the offered load of one pool and class in one data centre. It includes
// requests refused for lack of capacity, but not those beyond a customer's share
// (admit.SplitCapacity): otherwise a burst of one customer would determine the roles
// for all customers.
type Rate struct {
	Pool       string
	DataCentre fleet.DataCentre
	Class      fleet.Class
	Requests   float64 // requests/s
	Prefill    float64 // prompt tokens/s that are not cached
	Decode     float64 // output tokens/s
}

// Engine is the state of one engine.
type Engine struct {
	Name       fleet.TargetName
	Pool       string
	DataCentre fleet.DataCentre
	Role       fleet.Role
	Ready      bool    // false while it starts, drains or changes role
	Unknown    bool    // the state is not known: the engine is unavailable, but counts towards cost
	Load       float64 // accepted work, used only to compare engines: seconds of work or requests in progress
}

// Speed is the measured throughput of a busy engine. A mixed engine reports for
// each phase the throughput that it would have if it ran only that phase.
type Speed struct {
	Pool    string
	Role    fleet.Role
	Prefill float64 // prompt tokens/s
	Decode  float64 // output tokens/s
}

// DecisionKind is the kind of change that a Decision requests.
type DecisionKind uint8

// Kinds of decisions.
const (
	ChangeRole    DecisionKind = iota // drain Target, then switch it to Role
	OrderTarget                       // request one more target from the platform
	ReleaseTarget                     // drain Target, then return it to the platform
)

// Decision is a planned change that the leader commits and carries out.
type Decision struct {
	Kind       DecisionKind
	Pool       string
	DataCentre fleet.DataCentre
	Target     fleet.TargetName // empty for OrderTarget
	Role       fleet.Role       // for ChangeRole and OrderTarget
	Gain       float64          // expected net gain of a role change per changed engine, in seconds of engine work that meets its objective
}

// Options configures a Planner. Zero fields select defaults.
type Options struct {
	Budget              config.Budget
	Windows             []config.Window
	Horizon             time.Duration // period over which a role change must pay off; 0 means 5 min
	Drain               time.Duration // expected time to drain an engine; 0 means 4 s
	FirstTokenObjective time.Duration // time-to-first-token objective of urgent requests; 0 means 330 ms
	PrefillSpeed        float64       // initial prompt tokens/s of a prefill engine; 0 means 10,000
	DecodeSpeed         float64       // initial output tokens/s of a decode engine; 0 means 2,000
	FixedSize           bool          // targets are neither ordered nor released
}

// Estimate is the estimated load of one group of engines.
type Estimate struct {
	Pool       string
	DataCentre fleet.DataCentre
	Engines    [3]int // by fleet.Role, without unknown ones; an engine that changes role counts under the new one
	Starting   int
	Fast, Slow Rate    // averages over about 10 s and 3 min; Class is not set
	Urgent     float64 // fraction of the work that is urgent
}

// LearnedSpeeds holds the speeds that the planner assumes for a pool.
type LearnedSpeeds struct {
	Pool    string
	Prefill float64 // prompt tokens/s of a prefill engine
	Decode  float64 // output tokens/s of a decode engine
	Mixed   float64 // efficiency of a mixed engine relative to dedicated ones
}
