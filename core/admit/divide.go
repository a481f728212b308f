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

// Divide splits a capacity among entries so that every customer gets its
// weighted max-min share over all entries. What is left over is split in
// proportion, so that no capacity is unassigned. A burst of one customer at one
// entry thus takes nothing that another customer asks for elsewhere.
func Divide(capacity float64, wants []Want) map[fleet.Host]float64 {
	type total struct{ weight, demand, granted float64 }
	customers := make(map[fleet.Customer]*total)
	var order []*total
	for _, w := range wants {
		t := customers[w.Customer]
		if t == nil {
			t = &total{weight: math.Max(w.Weight, 1)}
			customers[w.Customer] = t
			order = append(order, t)
		}
		t.demand += w.Demand
	}
	sort.SliceStable(order, func(i, j int) bool {
		return order[i].demand/order[i].weight < order[j].demand/order[j].weight
	})
	left, weights, granted := capacity, 0.0, 0.0
	for _, t := range order {
		weights += t.weight
	}
	for _, t := range order {
		t.granted = math.Min(t.demand, left*t.weight/weights)
		left -= t.granted
		weights -= t.weight
		granted += t.granted
	}
	shares := make(map[fleet.Host]float64)
	for _, w := range wants {
		if t := customers[w.Customer]; t.demand > 0 {
			shares[w.Entry] += t.granted * w.Demand / t.demand * (1 + left/granted)
		}
	}
	return shares
}
