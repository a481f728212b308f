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
	// maxReportAge is the age at which an agent's report expires. Agents report
	// twice a second. An agent that moved to another relay is counted twice until
	// its last report to the old relay expires.
	maxReportAge = 2 * time.Second
	// maxRelayAge is the age at which the sums of a relay expire. Relays send them
	// twice a second. The agents of a failed relay have moved to another one after
	// about 1.1 s.
	maxRelayAge = 2 * time.Second
	// maxTotalAge is the age at which the leader's totals expire at a relay. It is
	// longer than the gap between totals in a usual leader change.
	maxTotalAge = 3 * time.Second
	// maxRows limits the rows accepted in one message of a relay, and the keys for
	// which a relay keeps totals. For comparison, 5 pools, 11 data centres and 2
	// stages have 110 rows.
	maxRows = 4096
)

// Key is the group of targets that a row aggregates.
type Key struct {
	Pool       string
	DataCentre fleet.DataCentre
	Stage      route.Stage
}

// Row is the aggregated load of the targets with one key.
type Row struct {
	Key
	Targets    uint32
	Backlog    float64   // sum of the targets' backlogs, in seconds
	ComputedAt time.Time // time at which the row, or the newest of its parts, was computed
}

// Mean returns the mean backlog of a target, in seconds.
func (r Row) Mean() float64 { return r.Backlog / float64(max(r.Targets, 1)) }

// relaySums are the latest sums received from one relay.
type relaySums struct {
	computedAt time.Time
	rows       []Row
}

// report is the latest load reported for one target.
type report struct {
	target fleet.Target
	load   route.Load
}

// LoadTable holds the load known to one control replica. The zero value is empty
// and ready to use.
type LoadTable struct {
	reports map[fleet.TargetName]report
	relays  map[fleet.Host]relaySums // at the leader: sums by relay
	totals  map[Key]Row              // at a relay: totals of the leader
}

// RecordReport records the load that the agent of a target reported. A report older
// than the latest one is ignored, unless the agent has restarted.
func (lt *LoadTable) RecordReport(t fleet.Target, l route.Load) {
	if old, ok := lt.reports[t.Name]; ok && old.target.Incarnation == t.Incarnation && l.MeasuredAt.Before(old.load.MeasuredAt) {
		return
	}
	if lt.reports == nil {
		lt.reports = make(map[fleet.TargetName]report)
	}
	lt.reports[t.Name] = report{t, l}
}

// LocalSums returns the sums of the unexpired reports that agents sent to this
// replica.
func (lt *LoadTable) LocalSums(now time.Time) []Row {
	sums := make(map[Key]Row)
	for name, r := range lt.reports {
		if now.Sub(r.load.MeasuredAt) >= maxReportAge {
			delete(lt.reports, name)
			continue
		}
		for _, stage := range []route.Stage{route.Start, route.Decode} {
			if backlog, ok := route.Backlog(r.target, r.load, stage); ok {
				addRow(sums, Row{Key{r.target.Pool, r.target.DataCentre, stage}, 1, backlog, now})
			}
		}
	}
	return sortedRows(sums)
}

// SetRelaySums replaces the sums of a relay with rows, which were computed at time
// computedAt. The call is ignored if the relay's current sums are newer or if there
// are more than maxRows (4096) rows.
func (lt *LoadTable) SetRelaySums(relay fleet.Host, computedAt time.Time, rows []Row) {
	if computedAt.Before(lt.relays[relay].computedAt) || len(rows) > maxRows {
		return
	}
	if lt.relays == nil {
		lt.relays = make(map[fleet.Host]relaySums)
	}
	lt.relays[relay] = relaySums{computedAt, rows}
}

// Totals returns the sums over the agents of this replica and of all relays. The
// time of a row is that of its newest part.
func (lt *LoadTable) Totals(now time.Time) []Row {
	sums := make(map[Key]Row)
	for _, r := range lt.LocalSums(now) {
		addRow(sums, r)
	}
	for relay, p := range lt.relays {
		if now.Sub(p.computedAt) >= maxRelayAge {
			delete(lt.relays, relay)
			continue
		}
		for _, r := range p.rows {
			r.ComputedAt = p.computedAt
			addRow(sums, r)
		}
	}
	return sortedRows(sums)
}

// MergeTotals merges totals received from a leader. For each key the newest row is
// kept, since a former leader may answer after its successor.
func (lt *LoadTable) MergeTotals(rows []Row) {
	for _, r := range rows {
		if old, ok := lt.totals[r.Key]; ok && !r.ComputedAt.After(old.ComputedAt) || len(lt.totals) >= maxRows && !ok {
			continue
		}
		if lt.totals == nil {
			lt.totals = make(map[Key]Row)
		}
		lt.totals[r.Key] = r
	}
}

// Current returns what a relay passes to entries: the unexpired totals of the leader
// and, for keys without one, its own sums, for example while the leader is
// unreachable.
func (lt *LoadTable) Current(now time.Time) []Row {
	out := make(map[Key]Row)
	for _, r := range lt.LocalSums(now) {
		out[r.Key] = r
	}
	for k, r := range lt.totals {
		if now.Sub(r.ComputedAt) >= maxTotalAge {
			delete(lt.totals, k)
			continue
		}
		out[k] = r
	}
	return sortedRows(out)
}

func addRow(sums map[Key]Row, r Row) {
	s, ok := sums[r.Key]
	if !ok {
		sums[r.Key] = r
		return
	}
	s.Targets += r.Targets
	s.Backlog += r.Backlog
	if r.ComputedAt.After(s.ComputedAt) {
		s.ComputedAt = r.ComputedAt
	}
	sums[r.Key] = s
}

func sortedRows(rows map[Key]Row) []Row {
	return slices.SortedFunc(maps.Values(rows), func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Stage, b.Stage))
	})
}
