package admit

import "papayarock/core/fleet"

const (
	averageWeight       = 0.1     // least weight of the newest response in the moving average
	maxEstimates        = 1 << 15 // number of estimates above which new customers use the estimate of the route
	defaultOutputTokens = 200.0   // estimate before the first response
	overrunFactor       = 1.5     // new estimate relative to the tokens so far when a response exceeds its estimate
)

type estimateKey struct {
	customer fleet.Customer
	route    string
}

type movingAverage struct {
	mean float64
	n    int
}

func (a *movingAverage) add(x float64) {
	a.n++
	w := max(averageWeight, 1/float64(a.n))
	a.mean += w * (x - a.mean)
}

// estimates predicts the number of output tokens by customer and route. The
// customer "" stands for all customers of the route; its estimate is always kept.
type estimates map[estimateKey]*movingAverage

func (e estimates) predict(c fleet.Customer, route string, maxTokens float64) float64 {
	x := defaultOutputTokens
	if a := e[estimateKey{c, route}]; a != nil {
		x = a.mean
	} else if a := e[estimateKey{"", route}]; a != nil {
		x = a.mean
	}
	if maxTokens > 0 {
		x = min(x, maxTokens)
	}
	return x
}

func (e estimates) observe(c fleet.Customer, route string, tokens float64) {
	for _, k := range [...]estimateKey{{c, route}, {"", route}} {
		a := e[k]
		if a == nil {
			if len(e) >= maxEstimates && k.customer != "" {
				continue
			}
			a = &movingAverage{}
			e[k] = a
		}
		a.add(tokens)
	}
}
