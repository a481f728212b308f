package admit

import "papayarock/core/fleet"

const (
	estimateWeight   = 0.1     // of the newest answer, once enough have been seen
	estimateLimit    = 1 << 15 // (customer, route) pairs; further ones use the route's estimate
	firstEstimate    = 200.0   // output tokens before any answer was seen
	overrunExtension = 1.5     // new estimate over tokens so far, when an answer outgrows its estimate
)

type estimateKey struct {
	customer fleet.Customer
	route    string
}

type average struct {
	mean float64
	n    int
}

func (a *average) add(x float64) {
	a.n++
	w := max(estimateWeight, 1/float64(a.n))
	a.mean += w * (x - a.mean)
}

// estimates predicts output tokens by customer and route. The customer "" is
// the route's average.
type estimates map[estimateKey]*average

func (e estimates) of(c fleet.Customer, route string, bound float64) float64 {
	x := firstEstimate
	if a := e[estimateKey{c, route}]; a != nil {
		x = a.mean
	} else if a := e[estimateKey{"", route}]; a != nil {
		x = a.mean
	}
	if bound > 0 {
		x = min(x, bound)
	}
	return x
}

func (e estimates) learn(c fleet.Customer, route string, tokens float64) {
	for _, k := range [...]estimateKey{{c, route}, {"", route}} {
		a := e[k]
		if a == nil {
			if len(e) >= estimateLimit && k.customer != "" {
				continue
			}
			a = &average{}
			e[k] = a
		}
		a.add(tokens)
	}
}
