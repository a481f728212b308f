package admit

import (
	"math"
	"sort"

	"papayarock/core/fleet"
)

// CustomerDemand is the recent demand of a customer at one entry, in work per
// second. All demands of a call and its capacity must have the same unit.
type CustomerDemand struct {
	Entry    fleet.Host
	Customer fleet.Customer
	Weight   float64
	Demand   float64
}

// FairShares returns the weighted max-min fair share of each customer, summed over
// all entries. A share is at most the customer's demand.
func FairShares(capacity float64, demands []CustomerDemand) map[fleet.Customer]float64 {
	type total struct {
		name           fleet.Customer
		weight, demand float64
	}
	customers := make(map[fleet.Customer]*total)
	var order []*total
	weights := 0.0
	for _, w := range demands {
		t := customers[w.Customer]
		if t == nil {
			t = &total{name: w.Customer, weight: math.Max(w.Weight, 1)}
			weights += t.weight
			customers[w.Customer] = t
			order = append(order, t)
		}
		t.demand += w.Demand
	}
	sort.SliceStable(order, func(i, j int) bool {
		return order[i].demand/order[i].weight < order[j].demand/order[j].weight
	})
	grants := make(map[fleet.Customer]float64, len(order))
	for _, t := range order {
		g := math.Min(t.demand, capacity*t.weight/weights)
		grants[t.name] = g
		capacity -= g
		weights -= t.weight
	}
	return grants
}

// SplitCapacity splits a capacity among entries. Each entry gets the part of its
// customers' fair shares that corresponds to their demand there. The rest of the
// capacity is split in proportion to these parts, so that all of it is assigned. A burst
// of one customer at one entry therefore does not reduce the capacity that another
// customer needs at another entry.
func SplitCapacity(capacity float64, demands []CustomerDemand) map[fleet.Host]float64 {
	grants := FairShares(capacity, demands)
	demand := make(map[fleet.Customer]float64)
	for _, w := range demands {
		demand[w.Customer] += w.Demand
	}
	shares, sum := make(map[fleet.Host]float64), 0.0
	for _, w := range demands {
		if d := demand[w.Customer]; d > 0 {
			x := grants[w.Customer] * w.Demand / d
			shares[w.Entry] += x
			sum += x
		}
	}
	if sum > 0 {
		for e := range shares {
			shares[e] *= capacity / sum
		}
	}
	return shares
}
