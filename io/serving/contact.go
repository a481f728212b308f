package serving

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/watch"
	"papayarock/io/entry"
)

// observe notes whether an attempt reached the agent of a target. A refusal and a
// cancelled attempt tell neither.
func (p *Policy) observe(now time.Time, t fleet.TargetName, o entry.Outcome) {
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

// maxContacts bounds one report. Contacts with each target of a large subset
// would take 3 of the 27 KB/s that a node may use for control, and many entries
// meet the same targets.
const maxContacts = 8

// Contacts returns the contacts with targets since it was last called. Of many,
// failures go first; others are drawn, and dropped if not drawn, as they soon
// say nothing.
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
	for t, c := range p.contacts { // in random order
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
