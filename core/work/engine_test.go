package work_test

import (
	"math"
	"math/rand/v2"
	"time"
)

// Load as measured on a deployment (docs/serving-under-shortage.md, part 4).
const (
	fastSpeed  = 1.2
	slowSpeed  = 0.55
	eventTime  = 44 * time.Millisecond // at speed 1
	noiseSpan  = 600 * time.Millisecond
	noiseShare = 0.15
	noiseSlow  = 2.5

	meanEvents = 72 // before the limit
	sigma      = 1.5
	maxEvents  = 171
	stride     = 74
)

// engine has a speed, which decreases in spans of noise.
type engine struct {
	speed float64
	noisy []bool // per noiseSpan, repeated
}

func newEngine(rng *rand.Rand, speed float64) engine {
	e := engine{speed: speed, noisy: make([]bool, 256)}
	for i := range e.noisy {
		e.noisy[i] = rng.Float64() < noiseShare
	}
	return e
}

// speedAt returns the speed at a time since the start.
func (e engine) speedAt(at time.Duration) float64 {
	if e.noisy[int(at/noiseSpan)%len(e.noisy)] {
		return e.speed / noiseSlow
	}
	return e.speed
}

// gapAt returns the time between events at a time since the start.
func (e engine) gapAt(at time.Duration) time.Duration {
	return time.Duration(float64(eventTime) / e.speedAt(at))
}

func randomEvents(rng *rand.Rand) int {
	n := meanEvents * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
	return int(min(max(math.Round(n), 1), maxEvents))
}

// randomHint returns a hint in tokens that is right in the median.
func randomHint(rng *rand.Rand, events int, deviation float64) int {
	return max(int(float64(events*stride)*math.Exp(deviation*rng.NormFloat64())), 1)
}
