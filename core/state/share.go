package state

import (
	"cmp"
	"slices"
	"time"

	"papayarock/core/fleet"
)

const (
	// shareGrace is how long an expired share still counts as in use, to allow
	// for clock differences.
	shareGrace = time.Second
	// maxShareGrants limits the overlapping grants of one entry.
	maxShareGrants = 8
)

// registerEntry grants an entry an equal share, as far as the shares in
// use leave room. A larger share granted earlier counts in full until it
// expires, since the entry may not have received the new one.
func (m *Machine) registerEntry(c RegisterEntry) Result {
	own, known := m.shares[c.Entry]
	refuse := ShareResult{Share: Share{Entry: c.Entry}}
	if c.Entry == "" || !c.Until.After(m.now) || !known && len(m.shares) >= m.limits.entries {
		return refuse
	}
	if known {
		own = slices.DeleteFunc(slices.Clone(own), func(o Share) bool {
			// A delayed command must not remove a share granted after it was sent.
			// Such a share expires after c.Until.
			return c.CurrentParts > 0 && o.Parts > c.CurrentParts && o.Expires.Before(c.Until)
		})
	}
	used, entries := uint32(0), 1
	for name, grants := range m.shares {
		if name != c.Entry {
			used += activeParts(grants)
			entries++
		}
	}
	parts := min(uint32(ShareUnit/entries), ShareUnit-used)
	s := Share{Entry: c.Entry, Parts: parts, Expires: c.Until}
	own = slices.DeleteFunc(slices.Clone(own), func(o Share) bool { return o.Parts <= s.Parts && !o.Expires.After(s.Expires) })
	if len(own) >= maxShareGrants {
		return refuse
	}
	m.shares[c.Entry] = append(own, s)
	return ShareResult{Granted: parts > 0, Share: s}
}

// activeParts returns the parts that an entry may be using: the largest of
// its grants, since it uses only one at a time.
func activeParts(grants []Share) uint32 {
	var parts uint32
	for _, g := range grants {
		parts = max(parts, g.Parts)
	}
	return parts
}

func (m *Machine) expireShares() int {
	n := 0
	for name, grants := range m.shares {
		left := slices.DeleteFunc(grants, func(s Share) bool { return !s.Expires.Add(shareGrace).After(m.now) })
		n += len(grants) - len(left)
		if len(left) == 0 {
			delete(m.shares, name)
			continue
		}
		m.shares[name] = left
	}
	return n
}

func (m *Machine) shareList() []Share {
	var out []Share
	for _, grants := range m.shares {
		out = append(out, grants...)
	}
	slices.SortFunc(out, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), a.Expires.Compare(b.Expires), cmp.Compare(a.Parts, b.Parts))
	})
	return out
}

func sharesByEntry(list []Share) map[fleet.Host][]Share {
	out := make(map[fleet.Host][]Share)
	for _, s := range list {
		out[s.Entry] = append(out[s.Entry], s)
	}
	return out
}
