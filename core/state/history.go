package state

import "papayarock/core/config"

const (
	maxDeltas       = 4096
	maxDeltaEntries = 65536
	// generalEntries is what a replaced general part counts as; its size is
	// that of tens of entries.
	generalEntries = 64
)

// history holds the latest deltas, of consecutive revisions. It is no part of
// a snapshot: after a restore nodes that are behind get a full snapshot.
type history struct {
	deltas  []config.Delta
	entries int
}

func (h *history) add(d config.Delta) {
	h.deltas = append(h.deltas, d)
	h.entries += weight(d)
	for len(h.deltas) > maxDeltas || h.entries > maxDeltaEntries {
		h.entries -= weight(h.deltas[0])
		h.deltas[0] = config.Delta{} // releases the entries before the array is copied
		h.deltas = h.deltas[1:]
	}
}

// last returns the latest delta, or none if it was too large to keep.
func (h *history) last() config.Delta {
	if len(h.deltas) == 0 {
		return config.Delta{}
	}
	return h.deltas[len(h.deltas)-1]
}

func weight(d config.Delta) int {
	n := 1 + d.Entries()
	if d.General != nil {
		n += generalEntries
	}
	return n
}

func (h *history) since(from, revision uint64) (config.Delta, bool) {
	if from == revision {
		return config.Delta{From: from, To: from}, true
	}
	if len(h.deltas) == 0 || from < h.deltas[0].From || from > revision {
		return config.Delta{}, false
	}
	missed := h.deltas[from-h.deltas[0].From:]
	total := 0
	for _, d := range missed {
		total += weight(d)
	}
	if total > config.PieceEntries {
		return config.Delta{}, false // a message holds no more; a snapshot goes in pieces
	}
	return config.Merge(missed...), true
}
