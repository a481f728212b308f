package route

import (
	"math"
	"time"

	"papayarock/core/fleet"
)

// summaryTTL is the age at which a summary expires. Summaries pass through two
// relays and are about 2 s old when they reach an entry. A data centre that has
// sent no summary within this time may have lost its targets.
const summaryTTL = 5 * time.Second

// summaryBacklog returns the mean backlog in the last summary, or 0 if the
// summary is missing or has expired.
func (g *group) summaryBacklog(now time.Time) float64 {
	if !g.hasCurrentSummary(now) {
		return 0
	}
	return g.summaryMean
}

func (g *group) hasCurrentSummary(now time.Time) bool {
	return !g.summaryTime.IsZero() && now.Sub(g.summaryTime) < summaryTTL
}

// kind returns the kind of the group's targets, which is the same for all.
func (r *Router) kind(g *group) fleet.Kind {
	if len(g.members) > 0 {
		return r.targets[g.members[0]].Kind
	}
	return r.targets[g.outside[0]].Kind
}

// pickOutsideSubset looks for a better candidate than best among the targets
// outside the subset, nearest groups first. The load of targets without a
// current summary is unknown; they are used only if there is no other candidate.
func (r *Router) pickOutsideSubset(now time.Time, q Request, p *pool, best candidate, bestGroup int32) (candidate, int32) {
	for _, withSummary := range []bool{true, false} {
		for _, gi := range p.byStage[q.Stage] {
			g := &r.groups[gi]
			if len(g.outside) == 0 || g.hasCurrentSummary(now) != withSummary {
				continue
			}
			c := r.pickFrom(now, q, g, g.outside)
			if c.score += 2 * g.networkDelay.Seconds(); c.index >= 0 && c.score < best.score {
				best, bestGroup = c, gi
			}
			if best.index >= 0 && r.meetsDeadline(now, q, best, bestGroup) {
				return best, bestGroup
			}
		}
		if best.index >= 0 {
			break
		}
	}
	return best, bestGroup
}

// pickFrom returns the best of the targets that sample draws from indexes. It
// assumes that none of them has the prompt's prefix in its cache.
func (r *Router) pickFrom(now time.Time, q Request, g *group, indexes []int32) candidate {
	best := candidate{index: -1, score: math.Inf(1)}
	r.sample(now, q, g, indexes, nil, 0, &best)
	return best
}

// sample considers all targets if there are at most candidatesPerGroup. Otherwise
// it draws that many at random; the same target may be drawn more than once.
func (r *Router) sample(now time.Time, q Request, g *group, indexes []int32, prefix *cacheEntry, prefixTokens float64, best *candidate) {
	if len(indexes) <= candidatesPerGroup {
		for _, m := range indexes {
			r.consider(now, q, g, prefix, prefixTokens, m, best)
		}
		return
	}
	for found, draw := 0, 0; found < candidatesPerGroup && draw < maxDraws; draw++ {
		if r.consider(now, q, g, prefix, prefixTokens, indexes[r.options.Random.IntN(len(indexes))], best) {
			found++
		}
	}
}
