package capacity

import (
	"cmp"
	"slices"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/plan"
)

const (
	// demandWindow is the time over which rates are computed. It spans five
	// reports of an entry, so that a lost one takes away little.
	demandWindow = 5 * time.Second
	// slots of a second each hold the window and the second under way.
	slots = int64(demandWindow/time.Second) + 1
	// maxSources bounds the entries times pools and classes that report: 420
	// nodes with 5 models and 2 classes are 4,200.
	maxSources = 16_384
)

// Report is the work that one entry received for a pool in a period.
type Report struct {
	Entry      fleet.Host
	Pool       string
	DataCentre fleet.DataCentre
	Class      fleet.Class
	Requests   float64
	Prompt     float64 // tokens
	Output     float64 // tokens
	Period     time.Duration
	At         time.Time // end of the period
	Summed     bool      // over all entries that poll the relay named as Entry
}

// Demand sums reports up over the last seconds. The zero value is empty.
type Demand struct {
	sources map[source]*window
	last    map[source]time.Time // of the newest report
	sums    map[source]Report    // of relays
	dropped uint64               // reports beyond maxSources
}

type source struct {
	entry      fleet.Host
	pool       string
	dataCentre fleet.DataCentre
	class      fleet.Class
}

type window [slots]sum

type sum struct {
	second                           int64 // Unix time of the slot
	requests, prompt, output, period float64
}

// Add takes in a report. One without a period, or older than the window, says
// nothing about a rate.
func (d *Demand) Add(now time.Time, r Report) {
	if r.Period <= 0 || now.Sub(r.At) >= demandWindow || r.At.After(now) {
		return
	}
	if r.Summed {
		d.addSum(now, r)
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
			d.sources = make(map[source]*window)
			d.last = make(map[source]time.Time)
		}
		w = &window{}
		d.sources[k] = w
	}
	if r.At.After(d.last[k]) {
		d.last[k] = r.At
	}
	second := r.At.Unix()
	s := &w[second%slots]
	if s.second > second {
		return
	}
	if s.second < second {
		*s = sum{second: second}
	}
	s.requests += r.Requests
	s.prompt += r.Prompt
	s.output += r.Output
	s.period += r.Period.Seconds()
}

// Rates returns the offered load by pool, data centre and class. An entry's
// rate is its tokens over its periods, so a lost report takes both away and
// leaves the rate as it is. Sources whose reports have expired are forgotten.
func (d *Demand) Rates(now time.Time) []plan.Rate {
	oldest := now.Add(-demandWindow).Unix()
	total := make(map[source]plan.Rate)
	for k, w := range d.sources {
		s := w.since(oldest)
		if s.period == 0 {
			d.forget(k)
			continue
		}
		k.entry = ""
		r := total[k]
		r.Requests += s.requests / s.period
		r.Prefill += s.prompt / s.period
		r.Decode += s.output / s.period
		total[k] = r
	}
	d.addSums(now, total)
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

func (w *window) since(oldest int64) (total sum) {
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
