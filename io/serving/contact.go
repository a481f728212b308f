package serving

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/watch"
	"papayarock/io/entry"
)

// recordContact records whether an attempt reached the agent of a target. Attempts that
// were refused or cancelled are not recorded, as they show neither. The caller holds mu.
func (p *Policy) recordContact(now time.Time, t fleet.TargetName, o entry.Outcome) {
	c := p.contacts[t]
	c.Target = t
	switch {
	case o.AgentUnreachable:
		c.Failed = now
	case o.Ending == entry.Completed || o.Ending == entry.Failed:
		c.Reached = now
	default:
		return
	}
	p.contacts[t] = c
}

// maxContacts limits the number of contacts that are reported to control at once.
// Reporting every target of a large subset would take 3 of the 27 KB/s that a node may
// use for control traffic. A sample is enough, since many entries contact the same
// targets.
const maxContacts = 8

// Contacts returns, for up to maxContacts targets, when an attempt since the previous
// call last reached the target's agent and when one last failed to. Targets whose last
// attempt failed have priority, and those that do not fit remain for the next call. The
// others are sampled at random. The rest is dropped, as it soon becomes stale.
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
