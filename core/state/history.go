package state

import "papayarock/core/config"

const (
	// maxDeltas limits the number of deltas held.
	maxDeltas = 4096
	// maxDeltaEntries limits the sum of the costs of these deltas, in entries.
	maxDeltaEntries = 65536
	// generalPartCost is the additional cost, in entries, of a delta that replaces
	// the general part, which is as large as tens of entries.
	generalPartCost = 64
)

// history holds the latest deltas, which have consecutive revisions. It is not
// part of a snapshot: after a restore, nodes that are behind get a full
// snapshot.
type history struct {
	deltas  []config.Delta
	entries int
}

func (h *history) add(d config.Delta) {
	h.deltas = append(h.deltas, d)
	h.entries += deltaCost(d)
	for len(h.deltas) > maxDeltas || h.entries > maxDeltaEntries {
		h.entries -= deltaCost(h.deltas[0])
		h.deltas[0] = config.Delta{} // releases the entries before the slice is reallocated
		h.deltas = h.deltas[1:]
	}
}

// last returns the latest delta, or an empty one if it was too large to store.
func (h *history) last() config.Delta {
	if len(h.deltas) == 0 {
		return config.Delta{}
	}
	return h.deltas[len(h.deltas)-1]
}

// deltaCost returns the size of a delta, in entries.
func deltaCost(d config.Delta) int {
	n := 1 + d.ItemCount()
	if d.General != nil {
		n += generalPartCost
	}
	return n
}

// since returns the changes between the revisions from and revision, the current
// one. It returns false if a delta is no longer held or their sum exceeds one
// message.
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
		total += deltaCost(d)
	}
	if total > config.MaxPieceItems {
		return config.Delta{}, false // exceeds one message; a snapshot is sent in pieces
	}
	return config.Merge(missed...), true
}
