package wire

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/route"
	"papayarock/core/summary"
)

// maxSummaryAge limits the age that is sent. Every receiver ignores older rows.
const maxSummaryAge = time.Minute

// EncodeSummaries converts load summaries to their messages. Times are sent as ages,
// as in EncodeSubscriber.
func EncodeSummaries(rows []summary.Row, now time.Time) []*ControlSummary {
	out := make([]*ControlSummary, 0, len(rows))
	for _, r := range rows {
		age := min(max(now.Sub(r.ComputedAt), 0), maxSummaryAge)
		out = append(out, &ControlSummary{
			Pool: r.Pool, DataCentre: string(r.DataCentre), Stage: uint32(r.Stage), Targets: r.Targets,
			Work: float32(r.Backlog), AgeMillis: uint32(age.Milliseconds()),
		})
	}
	return out
}

// DecodeSummaries converts messages to load summaries. It skips rows without targets
// and rows of an unknown stage. Ages are subtracted from now.
func DecodeSummaries(ms []*ControlSummary, now time.Time) []summary.Row {
	out := make([]summary.Row, 0, len(ms))
	for _, m := range ms {
		if m.GetTargets() == 0 || m.GetStage() > uint32(route.Decode) {
			continue
		}
		out = append(out, summary.Row{
			Key:     summary.Key{Pool: m.GetPool(), DataCentre: fleet.DataCentre(m.GetDataCentre()), Stage: route.Stage(m.GetStage())},
			Targets: m.GetTargets(), Backlog: finiteOrZero(float64(m.GetWork())),
			ComputedAt: now.Add(-time.Duration(m.GetAgeMillis()) * time.Millisecond),
		})
	}
	return out
}
