package admit

import (
	"math"
	"sort"

	"papayarock/core/fleet"
)

// Want is what a customer asked for at one entry lately, in any unit of work
// per second.
type Want struct {
	Entry    fleet.Host
	Customer fleet.Customer
	Weight   float64
	Demand   float64
}

// Grants returns the weighted max-min share of each customer over all entries:
// its demand, or less when the capacity is short.
func Grants(capacity float64, wants []Want) map[fleet.Customer]float64 {
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

// Divide splits a capacity among entries by what their customers are granted.
// What is left over is split in proportion, so that no capacity is unassigned.
// A burst of one customer at one entry thus takes nothing that another
// customer asks for elsewhere.
func Divide(capacity float64, wants []Want) map[fleet.Host]float64 {
	grants := Grants(capacity, wants)
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
