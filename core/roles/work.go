package roles

import (
	"math"
	"time"

	"papayarock/core/fleet"
)

// Roles by work. Where requests are placed by work, the planner compares the prefill
// engines that the prompts keep busy and the decode engines that the streams need with
// those that there are. The mix of prompts and responses changes within seconds, faster
// than a role change takes, so it plans for the peaks of both in the last half minute.

const (
	// peakHalfLife is the time in which the remembered peak of a load falls by half.
	peakHalfLife = 30 * time.Second
	// prefillOccupancy is the share of the time for which prefill engines may be busy at the
	// peak. Prompts queue at higher shares.
	prefillOccupancy = 0.75
	// streamOccupancy is the share of the slots of decode engines that streams may use at
	// the peak.
	streamOccupancy = 0.6
	// minRoleGain is the number of engines, as a share of all, by which the split must be
	// wrong for a change.
	minRoleGain = 0.08
)

// peakLoad is the peak of the load on both roles. The zero value is ready to use.
type peakLoad struct {
	busy    float64 // prefill engines
	streams float64
	at      time.Time
}

// observe adds a sample of the load.
func (p *peakLoad) observe(now time.Time, load Load) {
	decay := 1.0
	if !p.at.IsZero() {
		decay = math.Exp2(-now.Sub(p.at).Seconds() / peakHalfLife.Seconds())
	}
	p.busy = max(p.busy*decay, load.PrefillBusy)
	p.streams = max(p.streams*decay, load.Streams)
	p.at = now
}

// planByWork returns the changes after which both roles have the engines that they need at
// the peak, or, if there are too few, equal shares of that.
func planByWork(prefill, decode []Engine, peak peakLoad, load Load) []Change {
	all := len(prefill) + len(decode)
	slots := float64(totalSlots(prefill)+totalSlots(decode)) / float64(all)
	needPrefill := peak.busy / prefillOccupancy
	needDecode := max(1, peak.streams/(streamOccupancy*slots), float64(linksNeeded(load)))
	wanted := int(math.Round(float64(all) * needPrefill / (needPrefill + needDecode)))
	wanted = min(max(wanted, 1), all-1)
	gain := max(1, int(math.Round(minRoleGain*float64(all))))
	switch more := wanted - len(prefill); {
	case more >= gain && needPrefill > float64(len(prefill)):
		return pick(decode, prefill, more, fleet.Prefill)
	case -more >= gain && needDecode > float64(len(decode)):
		return pick(prefill, decode, -more, fleet.Decode)
	}
	return nil
}
