package wire

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/route"
	"papayarock/core/summary"
)

// maxSummaryAge bounds the age that is sent. Older rows count nowhere.
const maxSummaryAge = time.Minute

// EncodeSummaries maps sums of load. Their times are sent as ages.
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

// DecodeSummaries reads what EncodeSummaries wrote. Rows without targets or of a
// stage that is not known are left out.
func DecodeSummaries(ms []*ControlSummary, now time.Time) []summary.Row {
	out := make([]summary.Row, 0, len(ms))
	for _, m := range ms {
		if m.GetTargets() == 0 || m.GetStage() > uint32(route.Decode) {
			continue
		}
		out = append(out, summary.Row{
			Key:     summary.Key{Pool: m.GetPool(), DataCentre: fleet.DataCentre(m.GetDataCentre()), Stage: route.Stage(m.GetStage())},
			Targets: m.GetTargets(), Backlog: amount(float64(m.GetWork())),
			ComputedAt: now.Add(-time.Duration(m.GetAgeMillis()) * time.Millisecond),
		})
	}
	return out
}
