package serving

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/watch"
	"papayarock/io/entry"
)

// recordContact records whether an attempt reached the agent of a target. Refused and
// cancelled attempts are not evidence either way. The caller holds mu.
func (p *Policy) recordContact(now time.Time, t fleet.TargetName, o entry.Outcome) {
	c := p.contacts[t]
	c.Target = t
	switch {
	case o.Unreached:
		c.Failed = now
	case o.Ending == entry.Answered || o.Ending == entry.Failed:
		c.Reached = now
	default:
		return
	}
	p.contacts[t] = c
}

// maxContacts limits the size of one report. Reporting every target of a large subset
// would take 3 of the 27 KB/s that a node may use for control traffic, and many
// entries contact the same targets.
const maxContacts = 8

// Contacts returns contacts with targets since the previous call, at most maxContacts.
// Failures have priority, and those that do not fit remain for the next call.
// Successes are sampled at random; the rest are dropped, as they soon become stale.
func (p *Policy) Contacts() []watch.Contact {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []watch.Contact
	for t, c := range p.contacts {
		if len(out) < maxContacts && c.Failed.After(c.Reached) {
			out = append(out, c)
			delete(p.contacts, t)
		}
	}
	for t, c := range p.contacts { // map iteration order is random
		if c.Failed.After(c.Reached) {
			continue
		}
		if len(out) < maxContacts {
			out = append(out, c)
		}
		delete(p.contacts, t)
	}
	return out
}
