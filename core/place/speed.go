package place

import (
	"math"
	"slices"
	"time"

	"papayarock/core/fleet"
)

const (
	// speedSamples is the number of prompts over which the prefill speed is measured.
	speedSamples = 32
	// minSpeedSamples is the number of prompts from which the speed is known.
	minSpeedSamples = 8
	// speedQuantile is the quantile of the samples that is taken for the speed. Most
	// samples are too low, because prompts queue or a shared part was not cached. A few
	// are too high, because a shared part was cached at an engine unknown to this gateway.
	speedQuantile = 0.9
	// speedHalfLife is the time in which the estimate falls by half while the samples are
	// lower. It is longer than a burst, in which all prompts queue.
	speedHalfLife = time.Minute
)

// prefillSpeed estimates the speed at which prefill engines process prompts that do not
// queue. The zero value is ready to use.
type prefillSpeed struct {
	samples   []float64 // the newest ones, in tokens per second
	next      int       // index of the oldest sample, once there are speedSamples
	perSecond float64   // estimate; zero if unknown
	updated   time.Time // time of the last sample
}

// add records that a prefill engine took the given time for a prompt with the given
// number of uncached tokens.
func (s *prefillSpeed) add(now time.Time, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	sample := float64(tokens) / took.Seconds()
	if len(s.samples) < speedSamples {
		s.samples = append(s.samples, sample)
	} else {
		s.samples[s.next] = sample
		s.next = (s.next + 1) % speedSamples
	}
	if len(s.samples) >= minSpeedSamples {
		sorted := slices.Sorted(slices.Values(s.samples))
		decayed := s.perSecond * math.Exp2(-now.Sub(s.updated).Seconds()/speedHalfLife.Seconds())
		s.perSecond = max(decayed, sorted[int(speedQuantile*float64(len(sorted)-1))])
	}
	s.updated = now
}

// time returns the time in which a prefill engine processes a number of tokens. It
// returns false if the speed is unknown.
func (s *prefillSpeed) time(tokens int) (time.Duration, bool) {
	if s.perSecond <= 0 {
		return 0, false
	}
	return time.Duration(float64(tokens) / s.perSecond * float64(time.Second)), true
}

// timeAt returns the time in which t processes a number of tokens, or zero if it is
// unknown.
func (s *prefillSpeed) timeAt(t *target, tokens int) time.Duration {
	took, ok := s.time(tokens)
	if ok && t.record.Role == fleet.Decode {
		took = time.Duration(float64(took) / decodePrefillSpeed)
	}
	return took
}
