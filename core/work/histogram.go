package work

import "math"

const (
	// perOctave is the number of buckets in which values double. A quantile is at most 9%
	// above the true one.
	perOctave = 8
	// buckets covers the values from 1 to 60,000: numbers of events, gaps of 0.5 ms to 30 s
	// and errors by a factor of 1/256 to 230.
	buckets = 128
)

// centres are the values of the buckets.
var centres = func() (c [buckets]float64) {
	for i := range c {
		c[i] = math.Exp2(float64(i) / perOctave)
	}
	return c
}()

// histogram is a distribution of values in logarithmic buckets. The zero value is empty.
type histogram struct {
	weights [buckets]float32
	total   float64
}

// add adds a value. Values out of range count as the least or greatest one. The weight is
// split between the two nearest buckets, so that the mean is exact.
func (h *histogram) add(value, weight float64) {
	value = clampValue(value)
	i := min(int(perOctave*math.Log2(value)), buckets-2)
	upper := (value - centres[i]) / (centres[i+1] - centres[i])
	upper = weight * min(max(upper, 0), 1)
	h.weights[i] += float32(weight - upper)
	h.weights[i+1] += float32(upper)
	h.total += weight
}

// merge adds the distribution o with the given total weight.
func (h *histogram) merge(o *histogram, weight float64) {
	if o.total <= 0 {
		return
	}
	factor := float32(weight / o.total)
	for i, w := range o.weights {
		h.weights[i] += factor * w
	}
	h.total += weight
}

// scale multiplies all weights by a factor.
func (h *histogram) scale(factor float64) {
	for i := range h.weights {
		h.weights[i] *= float32(factor)
	}
	h.total *= factor
}

// quantile returns the q-quantile, or zero if h is empty.
func (h *histogram) quantile(q float64) float64 {
	if h.total <= 0 {
		return 0
	}
	rest := q * h.total
	last := 0
	for i, w := range h.weights {
		if w > 0 {
			last = i
		}
		if rest -= float64(w); rest <= 0 && w > 0 {
			return centres[i]
		}
	}
	return centres[last] // the weights are rounded and may add up to less than the total
}

// mean returns the mean of the values, of which those above limit count as limit. It is
// zero if h is empty.
func (h *histogram) mean(limit float64) float64 {
	return h.average(func(i int) float64 { return min(centres[i], limit) })
}

// meanLog returns the mean of the binary logarithm of the values, or zero if h is empty.
func (h *histogram) meanLog() float64 {
	return h.average(func(i int) float64 { return float64(i) / perOctave })
}

func (h *histogram) average(value func(i int) float64) float64 {
	var sum, total float64
	for i, w := range h.weights {
		if w > 0 {
			sum += float64(w) * value(i)
			total += float64(w)
		}
	}
	if total <= 0 {
		return 0
	}
	return sum / total
}

func clampValue(v float64) float64 { return min(max(v, 1), centres[buckets-1]) }
