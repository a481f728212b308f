package work

import "math"

const (
	// assumedSlope and assumedWeight state how far a hint is believed before its error is
	// known: the slope is that for lengths with a deviation of 1.5 and hints with one of
	// 0.75, in natural logarithms. The weight is in squared binary logarithms.
	assumedSlope  = 0.8
	assumedWeight = 16
	// assumedDeviation is the assumed standard deviation of the error of a hint, in binary
	// logarithms: right in the median, and off by a factor of 2 in every third case.
	assumedDeviation = 1
	// assumedSamples is the number of hints that the assumed error counts for.
	assumedSamples = 4
	// maxDeparture limits how far a hint departs from the known lengths, in binary
	// logarithms. It limits the influence of single hints.
	maxDeparture = 6
	// errorUnit is the factor by which errors are multiplied in a histogram.
	errorUnit = 256
)

// assumedErrors is the assumed distribution of the errors of hints, a log-normal one. An
// error is a factor times errorUnit.
var assumedErrors = func() (h histogram) {
	const points = 20
	for i := range points {
		q := math.Sqrt2 * math.Erfinv(2*(float64(i)+0.5)/points-1)
		h.add(errorUnit*math.Exp2(assumedDeviation*q), assumedSamples/float64(points))
	}
	return h
}()

// hints learns how to combine hints with the known lengths. It is a linear
// regression of the length on the hint, in the logarithm and both relative to the mean of
// what is known without the hint. If the hint errs independently of the length, the slope is
// the weight by inverse variances; if the hint says nothing, the slope is zero. All logarithms
// are binary. The zero value is ready to use.
type hints struct {
	count                    float64
	sumX, sumY, sumXX, sumXY float64
	errors                   histogram // of lengths divided by what was expected
}

// observe records a response with a hint. x is the logarithm of the hint in events, y that of
// the number of events, and known the mean logarithm of what is known without the hint.
func (h *hints) observe(x, y, known float64) {
	expected, _ := h.expect(x, known)
	if h.errors.total <= 0 {
		h.errors = assumedErrors
	}
	h.errors.add(errorUnit*math.Exp2(y-expected), 1)
	x, y = departure(x, known), y-known
	h.count++
	h.sumX += x
	h.sumY += y
	h.sumXX += x * x
	h.sumXY += x * y
	if h.count > maxSamples {
		h.halve()
	}
}

// expect returns the expected logarithm of the number of events and the distribution of the
// errors of that expectation.
func (h *hints) expect(x, known float64) (float64, *histogram) {
	n := h.count + assumedSamples // the assumed mean of both is zero
	meanX, meanY := h.sumX/n, h.sumY/n
	slope := (h.sumXY - n*meanX*meanY + assumedSlope*assumedWeight) /
		(h.sumXX - n*meanX*meanX + assumedWeight)
	expected := known + meanY + slope*(departure(x, known)-meanX)
	if h.errors.total <= 0 {
		return expected, &assumedErrors
	}
	return expected, &h.errors
}

// halve halves the weight of the older responses.
func (h *hints) halve() {
	h.count /= 2
	h.sumX /= 2
	h.sumY /= 2
	h.sumXX /= 2
	h.sumXY /= 2
	h.errors.scale(0.5)
}

func departure(x, known float64) float64 {
	return min(max(x-known, -maxDeparture), maxDeparture)
}

// hintLog returns the binary logarithm of a hint in events. It returns false without a hint
// or stride.
func hintLog(hint, stride int) (float64, bool) {
	if hint <= 0 || stride <= 0 {
		return 0, false
	}
	return math.Log2(clampValue(float64(hint) / float64(stride))), true
}
