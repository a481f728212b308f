package summary

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/route"
)

const (
	// reportLife is the age at which an agent's report no longer counts. Agents
	// report twice a second, and an agent that moved to another relay is counted
	// twice for that long.
	reportLife = 2 * time.Second
	// partLife is the age at which the sums of a relay no longer count. Relays
	// send them twice a second; the agents of a relay that died are at another
	// one after about 1.1 s.
	partLife = 2 * time.Second
	// totalLife is the age at which the totals of a leader no longer count at a
	// relay. It is longer than a leader is silent in a usual change of leader.
	totalLife = 3 * time.Second
	// maxRows bounds the rows of one relay or leader: 5 pools, 11 data centres
	// and 2 stages have 110.
	maxRows = 4096
)

// Key is what load is summed up by.
type Key struct {
	Pool       string
	DataCentre fleet.DataCentre
	Stage      route.Stage
}

// Row is the load of the targets under one key.
type Row struct {
	Key
	Targets uint32
	Work    float64   // sum of the backlogs in seconds
	Taken   time.Time // when it was summed up
}

// Mean is the backlog of one target in seconds.
func (r Row) Mean() float64 { return r.Work / float64(max(r.Targets, 1)) }

// part is what one relay has summed up.
type part struct {
	taken time.Time
	rows  []Row
}

type report struct {
	target fleet.Target
	load   route.Load
}

// Board holds the load known to one control replica. The zero value is empty.
type Board struct {
	reports map[fleet.TargetName]report
	parts   map[fleet.Host]part // at the leader, by relay
	totals  map[Key]Row         // at a relay, of the leader
}

// Hear takes in the load that the agent of a target reported. A report older
// than the one known is ignored, unless the agent was started anew.
func (b *Board) Hear(t fleet.Target, l route.Load) {
	if old, ok := b.reports[t.Name]; ok && old.target.Incarnation == t.Incarnation && l.Taken.Before(old.load.Taken) {
		return
	}
	if b.reports == nil {
		b.reports = make(map[fleet.TargetName]report)
	}
	b.reports[t.Name] = report{t, l}
}

// Own sums up the current reports of agents.
func (b *Board) Own(now time.Time) []Row {
	sums := make(map[Key]Row)
	for name, r := range b.reports {
		if now.Sub(r.load.Taken) >= reportLife {
			delete(b.reports, name)
			continue
		}
		for _, stage := range []route.Stage{route.Start, route.Decode} {
			if work, ok := route.Backlog(r.target, r.load, stage); ok {
				add(sums, Row{Key{r.target.Pool, r.target.DataCentre, stage}, 1, work, now})
			}
		}
	}
	return sorted(sums)
}

// Take replaces the sums of a relay by those taken at the given time. Sums that
// arrive after newer ones are ignored.
func (b *Board) Take(relay fleet.Host, taken time.Time, rows []Row) {
	if taken.Before(b.parts[relay].taken) || len(rows) > maxRows {
		return
	}
	if b.parts == nil {
		b.parts = make(map[fleet.Host]part)
	}
	b.parts[relay] = part{taken, rows}
}

// Total sums up the agents of this replica and of all relays. The time of a row
// is that of its newest part.
func (b *Board) Total(now time.Time) []Row {
	sums := make(map[Key]Row)
	for _, r := range b.Own(now) {
		add(sums, r)
	}
	for relay, p := range b.parts {
		if now.Sub(p.taken) >= partLife {
			delete(b.parts, relay)
			continue
		}
		for _, r := range p.rows {
			r.Taken = p.taken
			add(sums, r)
		}
	}
	return sorted(sums)
}

// Adopt takes in totals of a leader. Of two totals the newer one counts: a
// former leader may answer after the next one.
func (b *Board) Adopt(rows []Row) {
	for _, r := range rows {
		if old, ok := b.totals[r.Key]; ok && !r.Taken.After(old.Taken) || len(b.totals) >= maxRows && !ok {
			continue
		}
		if b.totals == nil {
			b.totals = make(map[Key]Row)
		}
		b.totals[r.Key] = r
	}
}

// Known returns what a relay passes to entries: the current totals, and its own
// sums where there is none, as while the leader cannot be reached.
func (b *Board) Known(now time.Time) []Row {
	out := make(map[Key]Row)
	for _, r := range b.Own(now) {
		out[r.Key] = r
	}
	for k, r := range b.totals {
		if now.Sub(r.Taken) >= totalLife {
			delete(b.totals, k)
			continue
		}
		out[k] = r
	}
	return sorted(out)
}

func add(sums map[Key]Row, r Row) {
	s, ok := sums[r.Key]
	if !ok {
		sums[r.Key] = r
		return
	}
	s.Targets += r.Targets
	s.Work += r.Work
	if r.Taken.After(s.Taken) {
		s.Taken = r.Taken
	}
	sums[r.Key] = s
}

func sorted(rows map[Key]Row) []Row {
	return slices.SortedFunc(maps.Values(rows), func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Stage, b.Stage))
	})
}
