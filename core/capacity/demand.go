package capacity

import (
	"cmp"
	"slices"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/plan"
)

const (
	// demandWindow is the period over which rates are computed. It spans five
	// reports of an entry, so that one lost report has little effect.
	demandWindow = 5 * time.Second
	// windowSlots is the number of one-second slots: those of the window and
	// the current one.
	windowSlots = int64(demandWindow/time.Second) + 1
	// maxSources limits the number of reporting combinations of entry, pool,
	// data centre and class. 420 nodes with 5 models and 2 classes have 4,200.
	maxSources = 16_384
)

// Report is the work that one entry, or all entries that poll one relay, received
// for a pool and class in a period.
type Report struct {
	Entry        fleet.Host
	Pool         string
	DataCentre   fleet.DataCentre
	Class        fleet.Class
	Requests     float64 // number in Period, as are the tokens
	PromptTokens float64
	OutputTokens float64
	Period       time.Duration
	At           time.Time // end of the period
	Aggregated   bool      // totals of all entries that poll the relay; Entry names the relay
}

// Demand aggregates reports over a sliding window of demandWindow (5 s). The zero
// value is empty and ready to use.
type Demand struct {
	sources     map[source]*slotWindow
	lastReport  map[source]time.Time // time of the newest report
	relayTotals map[source]Report    // latest totals of each relay
	dropped     uint64               // number of reports dropped because of maxSources
}

// source identifies a series of reports. The entry is empty in the key of a total
// over all entries.
type source struct {
	entry      fleet.Host
	pool       string
	dataCentre fleet.DataCentre
	class      fleet.Class
}

// slotWindow is a ring of one-second slots, indexed by Unix time.
type slotWindow [windowSlots]slotTotals

// slotTotals holds the sums of the reports whose periods end in one second.
type slotTotals struct {
	second                           int64 // Unix time in seconds
	requests, prompt, output, period float64
}

// Add records a report. It ignores reports without a period, older than the
// window, or from the future, because no current rate can be derived from them. It
// drops reports of more than maxSources (16,384) combinations of entry, pool, data
// centre and class.
func (d *Demand) Add(now time.Time, r Report) {
	if r.Period <= 0 || now.Sub(r.At) >= demandWindow || r.At.After(now) {
		return
	}
	if r.Aggregated {
		d.addRelayTotals(now, r)
		return
	}
	k := source{r.Entry, r.Pool, r.DataCentre, r.Class}
	w := d.sources[k]
	if w == nil {
		if len(d.sources) >= maxSources {
			d.dropped++
			return
		}
		if d.sources == nil {
			d.sources = make(map[source]*slotWindow)
			d.lastReport = make(map[source]time.Time)
		}
		w = &slotWindow{}
		d.sources[k] = w
	}
	if r.At.After(d.lastReport[k]) {
		d.lastReport[k] = r.At
	}
	second := r.At.Unix()
	s := &w[second%windowSlots]
	if s.second > second { // the slot already holds a later second
		return
	}
	if s.second < second {
		*s = slotTotals{second: second}
	}
	s.requests += r.Requests
	s.prompt += r.PromptTokens
	s.output += r.OutputTokens
	s.period += r.Period.Seconds()
}

// Rates returns the offered load by pool, data centre and class. The rate of an
// entry is the sum of its tokens divided by the sum of its periods, so a lost
// report reduces both and does not bias the rate. Sources whose reports have all
// expired are removed.
func (d *Demand) Rates(now time.Time) []plan.Rate {
	oldest := now.Add(-demandWindow).Unix()
	total := make(map[source]plan.Rate)
	for k, w := range d.sources {
		s := w.totalAfter(oldest)
		if s.period == 0 {
			d.removeSource(k)
			continue
		}
		k.entry = ""
		r := total[k]
		r.Requests += s.requests / s.period
		r.Prefill += s.prompt / s.period
		r.Decode += s.output / s.period
		total[k] = r
	}
	d.addAllRelayTotals(now, total)
	out := make([]plan.Rate, 0, len(total))
	for k, r := range total {
		r.Pool, r.DataCentre, r.Class = k.pool, k.dataCentre, k.class
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b plan.Rate) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Class, b.Class))
	})
	return out
}

func (w *slotWindow) totalAfter(oldest int64) (total slotTotals) {
	for _, s := range w {
		if s.second <= oldest {
			continue
		}
		total.requests += s.requests
		total.prompt += s.prompt
		total.output += s.output
		total.period += s.period
	}
	return total
}
