package plan

import (
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// Demand is what the leader measured since the last step.
//
// A group of engines without a rate keeps its estimate and gets no orders: that
// nobody reported is not to say that there is no load.
type Demand struct {
	Rates    []Rate
	Engines  []Engine
	Starting []Starting
	Speeds   []Speed
}

// Starting is a target that was ordered and does not serve yet.
type Starting struct {
	Pool       string
	DataCentre fleet.DataCentre
}

// Rate is the offered load of one class in one data centre. Requests refused
// for want of capacity count; those beyond a customer's share (admit.Grants)
// don't, or a burst would set the roles for everybody.
type Rate struct {
	Pool       string
	DataCentre fleet.DataCentre
	Class      fleet.Class
	Requests   float64 // requests/s
	Prefill    float64 // prompt tokens/s that no cache holds
	Decode     float64 // output tokens/s
}

// Engine is the state of one engine.
type Engine struct {
	Name       fleet.TargetName
	Pool       string
	DataCentre fleet.DataCentre
	Role       fleet.Role
	Ready      bool    // false while it starts, drains or changes its role
	Unknown    bool    // its state is not known: it is away and no capacity, but paid for
	Load       float64 // seconds of work it has accepted
}

// Speed is what an engine of a role achieves while it is busy. A mixed engine
// reports both as if it spent all its time on one phase.
type Speed struct {
	Pool    string
	Role    fleet.Role
	Prefill float64 // prompt tokens/s
	Decode  float64 // output tokens/s
}

// Kind is the kind of an Act.
type Kind uint8

// Kinds of acts.
const (
	ChangeRole    Kind = iota // drain Target, then give it Role
	OrderTarget               // order one more target from the platform
	ReleaseTarget             // drain Target, then give it back
)

// Act is one order that the leader commits and sends.
type Act struct {
	Kind       Kind
	Pool       string
	DataCentre fleet.DataCentre
	Target     fleet.TargetName // not with OrderTarget
	Role       fleet.Role       // with ChangeRole and OrderTarget
	Gain       float64          // expected, in seconds of engine work within the promise
}

// Options configures a Planner. Zero fields take defaults.
type Options struct {
	Budget  config.Budget
	Windows []config.Window
	Horizon time.Duration // over which a role change must pay; 0 means 5 min
	Drain   time.Duration // expected time to drain an engine; 0 means 4 s
	First   time.Duration // promise of the first token of urgent requests; 0 means 330 ms
	Prefill float64       // prompt tokens/s of a prefill engine until learned
	Decode  float64       // output tokens/s of a decode engine until learned
	Fixed   bool          // targets are neither ordered nor released
}

// Estimate is the load that the planner sees in one group of engines.
type Estimate struct {
	Pool       string
	DataCentre fleet.DataCentre
	Engines    [3]int // by fleet.Role, with the role they are changing to
	Starting   int
	Fast, Slow Rate // over about 10 s and 3 min; the class is not set
	Urgent     float64
}

// Learned are the speeds that the planner reckons with for a pool.
type Learned struct {
	Pool    string
	Prefill float64 // prompt tokens/s of a prefill engine
	Decode  float64 // output tokens/s of a decode engine
	Mixed   float64 // efficiency of a mixed engine against those
}
