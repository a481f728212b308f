package quota

import (
	"time"

	"papayarock/core/fleet"
)

const (
	// Lifetime is how long a lease is valid after the gateway has sent the report that the
	// leader answered with it. It covers an election of the registry's leader.
	Lifetime = 2 * time.Second
	// guard is how much longer the leader counts a lease as in use. It covers differences
	// in the speed of the clocks of hosts.
	guard = 50 * time.Millisecond
	// fallbackShare is the share of the rate that all gateways without a lease use together.
	// A window with it exceeds the limit by this share.
	fallbackShare = 0.05
	// creditAgeDivisor limits the age of charges that are credited, as a part of the window.
	// A window may exceed the limit by what the rate yields in that time, here 3% of the
	// window, since requests charged before it are credited in it.
	creditAgeDivisor = 32
	// fallbackWindowDepth, fallbackBurstDepth and fallbackSlackDepth are the parts of the
	// limit in a window, the burst and the slack that make up the depths of the buckets of
	// all gateways without a lease. With fallbackShare and the credits they stay below an
	// overage of 0.1.
	fallbackWindowDepth = 0.01
	fallbackBurstDepth  = 0.06
	fallbackSlackDepth  = 0.25
	// debtSlack is the part of the slack by which requests may exceed the burst.
	debtSlack = 0.5
	// depthSlack is the part of the slack that is added to the depth of the leader's bucket.
	// It makes up for the reserves of gateways.
	depthSlack = 0.2
	// baseOverage is the overage for which the parts above are chosen. They are reduced in
	// proportion to a lower one.
	baseOverage = 0.1
)

// Bounds are the bounds within which limits are enforced.
type Bounds struct {
	Window  time.Duration // to which the limits apply
	Overage float64       // part of the limit by which a window may exceed it
	Slack   float64       // tokens by which a window may exceed the limit in addition
}

// scale returns the factor for the parts that the overage covers.
func (b Bounds) scale() float64 { return min(1, b.Overage/baseOverage) }

// creditAge returns the age up to which charges are credited.
func (b Bounds) creditAge() time.Duration {
	return time.Duration(b.scale() * float64(b.Window) / creditAgeDivisor)
}

// Limit is the limit of a customer.
type Limit struct {
	Customer fleet.Customer
	Rate     float64 // per second
	Burst    float64
	Tokens   bool // counts tokens, so that the slack applies
}

// slack returns the slack that applies to l.
func (l Limit) slack(b Bounds) float64 {
	if l.Tokens {
		return b.Slack
	}
	return 0
}

// debt returns by how much one request may exceed the burst.
func (l Limit) debt(b Bounds) float64 { return debtSlack * l.slack(b) }

// depth returns by how much the leader's bucket is deeper than the burst.
func (l Limit) depth(b Bounds) float64 { return depthSlack * l.slack(b) }

// Lease is the part of a customer's limit that a gateway may use.
type Lease struct {
	Customer  fleet.Customer
	Share     float64 // of the rate and of the burst, from 0 to 1
	Granted   float64 // sum of the grants to the gateway in the term of the leader
	Available float64 // for further grants; negative if requests wait for more than that
	Fill      float64 // by which Available grows, per second
}

// Update is what the leader sends to a gateway.
type Update struct {
	Term     uint64 // of the leader
	Sequence uint64 // of the update in the term, for this gateway
	Seen     uint64 // sequence of the newest report received from the gateway
	Gateways int    // among which the fallback share is divided
	Leases   []Lease
}

// Demand is what a gateway reports on a customer. Totals are those of the run of the
// gateway unless stated otherwise.
type Demand struct {
	Customer fleet.Customer
	Charged  float64 // total that was charged
	Asked    float64 // total of all requests, admitted or not
	Share    float64 // that is in force
	Want     float64 // missing for all requests that wait, or for a reserve if none waits
	Need     float64 // missing for the first request that waits; zero if none does
	Released float64 // total of the grants of the term that are spent or have expired
	Returned float64 // total of the term that the leader may grant again
	Size     float64 // of a usual request
}

// Report is what a gateway sends to the leader.
type Report struct {
	Sequence uint64 // of the report in the run of the gateway
	Term     uint64 // of the newest update in force
	Applied  uint64 // sequence of that update
	Demands  []Demand
}
