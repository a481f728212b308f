package route

import (
	"math"
	"time"

	"papayarock/core/fleet"
)

// summaryLife is the age at which a summary no longer counts. Summaries reach an
// entry about 2 s old through two relays; a data centre that is silent for
// longer may have lost its targets.
const summaryLife = 5 * time.Second

// backlog is the mean backlog by the last summary, or 0 if none is current.
func (g *group) backlog(now time.Time) float64 {
	if !g.current(now) {
		return 0
	}
	return g.summary
}

func (g *group) current(now time.Time) bool {
	return !g.summaryTime.IsZero() && now.Sub(g.summaryTime) < summaryLife
}

// kind is that of all targets of the group.
func (r *Router) kind(g *group) fleet.Kind {
	if len(g.members) > 0 {
		return r.targets[g.members[0]].Kind
	}
	return r.targets[g.rest[0]].Kind
}

// pickBeyond looks for a better candidate than best among the targets outside
// the subset, nearest first. Where no summary is current nothing is known of
// them, so that they are used only if there is no other candidate.
func (r *Router) pickBeyond(now time.Time, q Request, p *pool, best candidate, bestGroup int32) (candidate, int32) {
	for _, known := range []bool{true, false} {
		for _, gi := range p.byStage[q.Stage] {
			g := &r.groups[gi]
			if len(g.rest) == 0 || g.current(now) != known {
				continue
			}
			c := r.pickAmong(now, q, g, g.rest)
			if c.score += 2 * g.delay.Seconds(); c.slot >= 0 && c.score < best.score {
				best, bestGroup = c, gi
			}
			if best.slot >= 0 && r.keeps(now, q, best, bestGroup) {
				return best, bestGroup
			}
		}
		if best.slot >= 0 {
			break
		}
	}
	return best, bestGroup
}

// pickAmong compares a few of the given targets of a group. Their caches are not
// known.
func (r *Router) pickAmong(now time.Time, q Request, g *group, of []int32) candidate {
	best := candidate{slot: -1, score: math.Inf(1)}
	r.sample(now, q, g, of, nil, 0, &best)
	return best
}

// sample compares all targets if they are few, or else a few random ones.
func (r *Router) sample(now time.Time, q Request, g *group, of []int32, entry *cacheEntry, tokens float64, best *candidate) {
	if len(of) <= candidates {
		for _, m := range of {
			r.compare(now, q, g, entry, tokens, m, best)
		}
		return
	}
	for found, draw := 0, 0; found < candidates && draw < maxSamples; draw++ {
		if r.compare(now, q, g, entry, tokens, of[r.o.Random.IntN(len(of))], best) {
			found++
		}
	}
}
