package plan

import (
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// Demand is what the leader measured since the last step.
type Demand struct {
	Rates   []Rate
	Engines []Engine
	Speeds  []Speed
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
}
