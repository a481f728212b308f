package roles

import (
	"math"
	"slices"
	"time"

	"papayarock/core/fleet"
)

// Roles by work. Where requests are placed by work, the planner compares the prefill
// engines that the prompts keep busy and the decode engines that the streams need with
// those that there are. The mix of prompts and responses changes within seconds, faster
// than a role change takes, so it plans for the peaks of both in the last half minute.
// Engines with long gaps between events are the first to prefill: the speed of a prompt
// adds up over all engines, but a stream depends on its engine alone.

const (
	// peakHalfLife is the time in which the remembered peak of a load falls by half.
	peakHalfLife = 30 * time.Second
	// streamOccupancy is the share of the slots of decode engines that streams may use at
	// the peak.
	streamOccupancy = 0.6
	// decodeReserve is the number of decode engines, as a multiple of those that the peak
	// needs, up to which unsteady ones keep their role.
	decodeReserve = 1.5
	// minDecodeShare is the share of all engines that keep the role even if the peak needs
	// fewer.
	minDecodeShare = 0.5
	// minRoleGain is the number of engines, as a share of all, by which the split must be
	// wrong for a change.
	minRoleGain = 0.08
	// minPrefillUse is the share of the prefill engines that must be busy at the peak for
	// unsteady decode engines to join them.
	minPrefillUse = 0.2
)

// peakLoad is the peak of the load on both roles. The zero value is ready to use.
type peakLoad struct {
	busy      float64 // prefill engines
	streams   float64
	transfers float64
	at        time.Time
}

// observe adds a sample of the load.
func (p *peakLoad) observe(now time.Time, load Load) {
	decay := 1.0
	if !p.at.IsZero() {
		decay = math.Exp2(-max(0, now.Sub(p.at)).Seconds() / peakHalfLife.Seconds())
	}
	p.busy = max(p.busy*decay, load.PrefillBusy)
	p.streams = max(p.streams*decay, load.Streams)
	p.transfers = max(p.transfers*decay, load.Transfers)
	p.at = now
}

// withPaces returns the engines with their paces.
func withPaces(decode []Engine, load Load) []Engine {
	for i := range decode {
		decode[i].pace = load.Paces[decode[i].Target]
	}
	return decode
}

// planByWork returns the changes to order now. Unsteady decode engines prefill once the
// others suffice for the streams at the peak. If streams fill the slots later, engines
// return one at a time.
func planByWork(prefill, decode []Engine, peak peakLoad, load Load) []Change {
	all := len(prefill) + len(decode)
	slots := float64(totalSlots(prefill)+totalSlots(decode)) / float64(all)
	if slots < 1 {
		return nil // the engines do not announce them
	}
	needed := max(1, peak.streams/(streamOccupancy*slots), peak.transfers/linkOccupancy)
	kept := int(math.Ceil(min(max(decodeReserve*needed, minDecodeShare*float64(all)), float64(all))))
	spare := min(unsteady(decode), len(decode)-kept)
	gain := max(1, int(math.Round(minRoleGain*float64(all))))
	switch {
	case spare >= gain && peak.busy > minPrefillUse*float64(len(prefill)):
		return pickUnsteady(decode, prefill, spare)
	case load.Streams > fullOccupancy*slots*float64(len(decode)):
		return pick(prefill, decode, 1, fleet.Decode)
	}
	return nil
}

// pickUnsteady is like pick, but takes no steady engine where an unsteady one is the last of
// its region.
func pickUnsteady(decode, prefill []Engine, n int) []Change {
	return slices.DeleteFunc(pick(decode, prefill, n, fleet.Prefill), func(c Change) bool {
		return !slices.ContainsFunc(decode, func(e Engine) bool { return e.Target == c.Target && e.pace.Unsteady })
	})
}

// unsteady returns the number of engines that are unsteady.
func unsteady(list []Engine) int {
	n := 0
	for _, e := range list {
		if e.pace.Unsteady {
			n++
		}
	}
	return n
}

// compareForRole returns a positive number if a is the better choice for a change to role.
func compareForRole(a, b Engine, role fleet.Role) int {
	if role != fleet.Prefill {
		return 0
	}
	switch {
	case a.pace.Unsteady == b.pace.Unsteady:
		return 0
	case a.pace.Unsteady:
		return 1
	}
	return -1
}
