package capacity

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/plan"
)

const (
	// RelayReportPeriod is the interval at which a relay reports the totals of its
	// entries.
	RelayReportPeriod = time.Second
	// reportLifetime is the time after which the totals of a relay expire at the
	// leader, and an entry's reports expire at its relay. It is long enough to
	// tolerate one lost report. It is not longer because the entries of a failed
	// relay report to another one after about 2 s and until expiry count twice.
	reportLifetime = 2500 * time.Millisecond
)

// RelayReports returns the total rates of the entries that reported within
// reportLifetime (2.5 s), as one report of the relay for each pool, data centre and
// class. It removes the other entries.
func (d *Demand) RelayReports(now time.Time, relay fleet.Host) []Report {
	for k := range d.sources {
		if now.Sub(d.lastReport[k]) >= reportLifetime {
			d.removeSource(k)
		}
	}
	rates := d.Rates(now)
	out := make([]Report, 0, len(rates))
	for _, r := range rates {
		seconds := RelayReportPeriod.Seconds()
		out = append(out, Report{
			Entry: relay, Pool: r.Pool, DataCentre: r.DataCentre, Class: r.Class, Aggregated: true, Period: RelayReportPeriod, At: now,
			Requests: r.Requests * seconds, PromptTokens: r.Prefill * seconds, OutputTokens: r.Decode * seconds,
		})
	}
	return out
}

// addRelayTotals records the totals of a relay. They replace the previous ones, because
// they are already averaged over the window.
func (d *Demand) addRelayTotals(now time.Time, r Report) {
	k := source{r.Entry, r.Pool, r.DataCentre, r.Class}
	if old, ok := d.relayTotals[k]; now.Sub(r.At) >= reportLifetime || ok && !r.At.After(old.At) {
		return
	} else if !ok && len(d.relayTotals) >= maxSources {
		d.dropped++
		return
	}
	if d.relayTotals == nil {
		d.relayTotals = make(map[source]Report)
	}
	d.relayTotals[k] = r
}

// addAllRelayTotals adds the current totals of all relays to the rates and removes expired
// ones.
func (d *Demand) addAllRelayTotals(now time.Time, total map[source]plan.Rate) {
	for k, r := range d.relayTotals {
		if now.Sub(r.At) >= reportLifetime {
			delete(d.relayTotals, k)
			continue
		}
		k.entry = ""
		t, seconds := total[k], r.Period.Seconds()
		t.Requests += r.Requests / seconds
		t.Prefill += r.PromptTokens / seconds
		t.Decode += r.OutputTokens / seconds
		total[k] = t
	}
}

func (d *Demand) removeSource(k source) {
	delete(d.sources, k)
	delete(d.lastReport, k)
}
