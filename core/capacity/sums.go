package capacity

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/plan"
)

const (
	// SumPeriod is how often a relay reports the sums of its entries.
	SumPeriod = time.Second
	// sumLife is how long the sums of a relay count, and an entry in them. It
	// outlasts one lost report. Entries of a relay that died report to another
	// one after about 2 s and would count twice for longer.
	sumLife = 2500 * time.Millisecond
)

// Sums returns the rates of the entries that reported lately as one report of a
// relay for each pool, data centre and class.
func (d *Demand) Sums(now time.Time, relay fleet.Host) []Report {
	for k := range d.sources {
		if now.Sub(d.last[k]) >= sumLife {
			d.forget(k)
		}
	}
	rates := d.Rates(now)
	out := make([]Report, 0, len(rates))
	for _, r := range rates {
		s := SumPeriod.Seconds()
		out = append(out, Report{
			Entry: relay, Pool: r.Pool, DataCentre: r.DataCentre, Class: r.Class, Summed: true, Period: SumPeriod, At: now,
			Requests: r.Requests * s, Prompt: r.Prefill * s, Output: r.Decode * s,
		})
	}
	return out
}

// addSum takes in the sums of a relay, which replace the former ones: they are
// means over the window already.
func (d *Demand) addSum(now time.Time, r Report) {
	k := source{r.Entry, r.Pool, r.DataCentre, r.Class}
	if old, ok := d.sums[k]; now.Sub(r.At) >= sumLife || ok && !r.At.After(old.At) {
		return
	} else if !ok && len(d.sums) >= maxSources {
		d.dropped++
		return
	}
	if d.sums == nil {
		d.sums = make(map[source]Report)
	}
	d.sums[k] = r
}

// addSums adds the current sums of relays to the rates.
func (d *Demand) addSums(now time.Time, total map[source]plan.Rate) {
	for k, r := range d.sums {
		if now.Sub(r.At) >= sumLife {
			delete(d.sums, k)
			continue
		}
		k.entry = ""
		t, s := total[k], r.Period.Seconds()
		t.Requests += r.Requests / s
		t.Prefill += r.Prompt / s
		t.Decode += r.Output / s
		total[k] = t
	}
}

func (d *Demand) forget(k source) {
	delete(d.sources, k)
	delete(d.last, k)
}
