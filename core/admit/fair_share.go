package admit

import (
	"math"
	"sort"

	"papayarock/core/fleet"
)

// CustomerDemand is the recent demand of a customer at one entry. The unit is any unit of
// work per second, the same for all.
type CustomerDemand struct {
	Entry    fleet.Host
	Customer fleet.Customer
	Weight   float64
	Demand   float64
}

// FairShares returns the weighted max-min fair share of each customer, summed over
// all entries. A share is at most the customer's demand.
func FairShares(capacity float64, wants []CustomerDemand) map[fleet.Customer]float64 {
	type total struct {
		name           fleet.Customer
		weight, demand float64
	}
	customers := make(map[fleet.Customer]*total)
	var order []*total
	weights := 0.0
	for _, w := range wants {
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

// SplitCapacity splits a capacity among entries according to the fair shares of their
// customers. Unused capacity is split in the same proportion, so that all of it
// is assigned. A burst of one customer at one entry therefore does not reduce the
// capacity that another customer needs at another entry.
func SplitCapacity(capacity float64, wants []CustomerDemand) map[fleet.Host]float64 {
	grants := FairShares(capacity, wants)
	demand := make(map[fleet.Customer]float64)
	for _, w := range wants {
		demand[w.Customer] += w.Demand
	}
	shares, sum := make(map[fleet.Host]float64), 0.0
	for _, w := range wants {
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
