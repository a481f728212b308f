package roles

import (
	"maps"
	"time"

	"papayarock/core/fleet"
)

const (
	// meterWindow is the span of the load that a Meter returns. It contains four
	// reports of each gateway.
	meterWindow = 2 * time.Second
	// reportTimeout is the age from which the last report of a gateway is ignored.
	reportTimeout = 3 * time.Second
)

// Counters are the totals of one gateway since its start for one pool, and the number
// of its streams that run now.
type Counters struct {
	Prefills uint64 // prompts that a prefill engine has processed
	Delayed  uint64 // prompts too long for decode engines that were queued for too long, or refused
	Refused  uint64 // the refused ones among Delayed
	Paced    uint64 // streams whose pace was measured
	// PaceSum is the sum over the paced streams of the mean pause between events, in
	// thousandths of the objective for the longest pause.
	PaceSum uint64
	Streams uint64 // running at engines that decode
	// Imports counts the KV caches offered to decode engines, and RefusedImports those
	// that an engine refused. TransferMicros is the sum of the expected transfer times of
	// those that were imported.
	Imports        uint64
	RefusedImports uint64
	TransferMicros uint64
	// PromptTokens is the number of tokens of the prompts that were offered to prefill
	// engines, without those that they have cached. It grows only while requests are placed
	// by work. PrefillSpeed, in tokens per second of one engine, is zero otherwise.
	PromptTokens uint64
	PrefillSpeed float64
	Paces        map[fleet.TargetName]Pace // of decode engines with recent streams
}

// Pace describes the time between the events of the streams of a decode engine.
type Pace struct {
	Mean     time.Duration
	Unsteady bool // long streams are likely to have a gap above the objective
}

// Load is the load of all gateways over the last seconds.
type Load struct {
	Prefills float64
	Delayed  float64 // of the prompts
	Refused  float64 // of Delayed
	Streams  float64 // running at the same time
	Pace     float64 // mean pause between events relative to its objective; zero if unknown

	Imports        float64 // KV caches offered to decode engines
	RefusedImports float64
	Transfers      float64 // KV caches in transfer at the same time, if none waits for another

	// PrefillBusy is the number of prefill engines that the offered prompts keep busy, or
	// zero unless requests are placed by work.
	PrefillBusy float64
	// Paces are those of decode engines. An engine is unsteady if most gateways that have
	// streams there say so. It is nil unless a gateway places requests by work.
	Paces map[fleet.TargetName]Pace
}

// Meter computes the load of one pool from the reports of gateways. G identifies a run
// of a gateway, whose counters start at zero. The zero value is ready to use.
type Meter[G comparable] struct {
	reports map[G][]report
}

type report struct {
	at       time.Time
	counters Counters
}

// Add records a report.
func (m *Meter[G]) Add(now time.Time, gateway G, c Counters) {
	if m.reports == nil {
		m.reports = make(map[G][]report)
	}
	list := m.reports[gateway]
	list = append(list, report{now, c})
	// The newest report before the window is kept, since differences start there.
	for len(list) > 1 && !list[1].at.After(now.Add(-meterWindow)) {
		list = list[1:]
	}
	m.reports[gateway] = list
}

// Expire forgets gateways that have stopped reporting.
func (m *Meter[G]) Expire(now time.Time) {
	maps.DeleteFunc(m.reports, func(_ G, list []report) bool { return now.Sub(list[len(list)-1].at) > reportTimeout })
}

// Load returns the load over the last window. Gateways that have stopped reporting are
// forgotten.
func (m *Meter[G]) Load(now time.Time) Load {
	m.Expire(now)
	var out Load
	var paced, paceSum, tokensPerSecond, speed float64
	speeds := 0
	paces := make(paceSums)
	for _, list := range m.reports {
		first, last := list[0], list[len(list)-1]
		out.Prefills += float64(last.counters.Prefills - first.counters.Prefills)
		out.Delayed += float64(last.counters.Delayed - first.counters.Delayed)
		out.Refused += float64(last.counters.Refused - first.counters.Refused)
		out.Imports += float64(last.counters.Imports - first.counters.Imports)
		out.RefusedImports += float64(last.counters.RefusedImports - first.counters.RefusedImports)
		if last.counters.PrefillSpeed > 0 {
			paces.add(last.counters.Paces)
			speed += last.counters.PrefillSpeed
			speeds++
		}
		if span := last.at.Sub(first.at); span > 0 {
			tokensPerSecond += float64(last.counters.PromptTokens-first.counters.PromptTokens) / span.Seconds()
			out.Transfers += float64(last.counters.TransferMicros-first.counters.TransferMicros) / float64(span.Microseconds())
		}
		paced += float64(last.counters.Paced - first.counters.Paced)
		paceSum += float64(last.counters.PaceSum - first.counters.PaceSum)
		var streams float64
		for _, r := range list {
			streams += float64(r.counters.Streams)
		}
		out.Streams += streams / float64(len(list))
	}
	if paced > 0 {
		out.Pace = paceSum / paced / thousandths
	}
	if speeds > 0 {
		out.PrefillBusy = tokensPerSecond / (speed / float64(speeds))
		out.Paces = paces.mean()
	}
	return out
}

const thousandths = 1000

// paceSums adds up the paces that several gateways report.
type paceSums map[fleet.TargetName]paceSum

type paceSum struct {
	sum      time.Duration
	n        int
	unsteady int // gateways that say so
}

func (s paceSums) add(paces map[fleet.TargetName]Pace) {
	for target, p := range paces {
		x := s[target]
		x.sum += p.Mean
		x.n++
		if p.Unsteady {
			x.unsteady++
		}
		s[target] = x
	}
}

func (s paceSums) mean() map[fleet.TargetName]Pace {
	out := make(map[fleet.TargetName]Pace, len(s))
	for target, x := range s {
		out[target] = Pace{x.sum / time.Duration(x.n), 2*x.unsteady > x.n}
	}
	return out
}
