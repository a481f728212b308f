package work

import (
	"math"
	"time"
)

const (
	// recentTime is the time constant of Pace.High. A target that becomes slow is noticed
	// when a tenth of the recent gaps are slow, which takes about a fifth of it.
	recentTime = 2 * time.Second
	// usualTime is the time constant of Pace.Mean. It covers the spans of 0.6 s, one in 4 s,
	// in which engines with other work are slow, and the duration of a long response.
	usualTime = 10 * time.Second
	// usualWeight is the number of gaps that the usual distribution counts for in Pace.High
	// beside the recent gaps.
	usualWeight = 8
	// highQuantile is the quantile of Pace.High.
	highQuantile = 0.9
	// outlierFactor limits gaps to a multiple of the median in Pace.Mean. A target that reads
	// a prompt in between gives some gaps that say nothing about its pace.
	outlierFactor = 4
	// gapUnit is the shortest gap that is told from shorter ones.
	gapUnit = 500 * time.Microsecond
	// minWeight keeps the usual distribution over a long time without gaps.
	minWeight = 1e-6
)

// Pace learns the time between events of one run of a target. It takes constant time and
// memory for each gap. The zero value is ready to use.
type Pace struct {
	recent, usual histogram // of gaps in units of gapUnit
	updated       time.Time // time of the last gap
}

// Observe records the gap between two consecutive events of a stream. It ignores gaps that
// are not positive.
func (p *Pace) Observe(now time.Time, gap time.Duration) {
	if gap <= 0 {
		return
	}
	p.recent.scale(p.decay(now, recentTime))
	p.usual.scale(max(p.decay(now, usualTime), minWeight))
	value := gap.Seconds() / gapUnit.Seconds()
	p.recent.add(value, 1)
	p.usual.add(value, 1)
	if now.After(p.updated) {
		p.updated = now
	}
}

// Mean returns the mean time between events over the last ten seconds or so, or zero if it
// is unknown. Few long gaps have little influence.
func (p *Pace) Mean(time.Time) time.Duration {
	return gapTime(p.usual.mean(outlierFactor * p.usual.quantile(0.5)))
}

// High returns about the 0.9 quantile of the time between events over the last seconds, or
// zero if it is unknown. Without new gaps it returns to the usual value.
func (p *Pace) High(now time.Time) time.Duration {
	h := p.recent
	h.scale(p.decay(now, recentTime))
	lost := p.recent.total - h.total // without new gaps, the usual ones replace the recent ones
	h.merge(&p.usual, min(p.usual.total, usualWeight)+lost)
	return gapTime(h.quantile(highQuantile))
}

// Samples returns the weight of the gaps that Mean is based on, at most their number.
func (p *Pace) Samples() float64 { return p.usual.total }

// decay returns the factor by which weights have decreased since the last gap.
func (p *Pace) decay(now time.Time, constant time.Duration) float64 {
	return math.Exp(-max(now.Sub(p.updated), 0).Seconds() / constant.Seconds())
}

func gapTime(value float64) time.Duration { return time.Duration(value * float64(gapUnit)) }
