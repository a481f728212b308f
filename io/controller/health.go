package controller

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/watch"
	"papayarock/io/wire"
)

// maxContacts limits the contacts queued for the next report to the leader.
const maxContacts = 2_000

// recordContacts records contacts of entries with targets. A relay's report has
// contacts of many entries, each with its name; then entry is empty. The caller
// holds mu.
func (c *Controller) recordContacts(entry fleet.Host, list []*wire.ControlContact, now time.Time) {
	for _, m := range list {
		x := wire.DecodeContact(m, now)
		if entry != "" {
			x.Entry = entry // the authenticated name
			if len(c.contacts) < maxContacts {
				c.contacts = append(c.contacts, x)
			}
		}
		if c.leadingTerm != 0 {
			c.health.RecordContact(x)
		}
	}
}

// takeContacts returns and clears the contacts queued for the leader. The caller
// holds mu.
func (c *Controller) takeContacts(now time.Time) []*wire.ControlContact {
	var out []*wire.ControlContact
	for _, x := range c.contacts {
		out = append(out, wire.EncodeContact(x, now))
	}
	c.contacts = nil
	return out
}

// assessments returns the condition of each target in service. Only the leader has the
// reports of all agents and entries; on another replica, assessments returns nil. The
// leader's own queue of contacts is cleared.
func (c *Controller) assessments(now time.Time) map[fleet.TargetName]watch.Assessment {
	if _, _, held := c.member.Lease(); !held {
		return nil
	}
	index, _ := c.machine.config()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.contacts = nil // from entries that poll this replica; already in c.health
	polls := make(map[fleet.TargetName]watch.Subscriber)
	for _, s := range c.tracker.Subscribers() {
		if s.Target.Name != "" {
			polls[s.Target.Name] = s
		}
	}
	out, known := make(map[fleet.TargetName]watch.Assessment), make(map[fleet.TargetName]bool)
	for _, t := range index.Targets() {
		if t.Phase != fleet.Ready && t.Phase != fleet.Draining && t.Phase != fleet.Leaving {
			continue
		}
		known[t.Name] = true
		// An agent that has not polled this leader yet counts as silent only since
		// the leader began to lead.
		e := watch.Evidence{Target: t.Name, LastPoll: c.tracker.Since, Ready: true}
		if s, ok := polls[t.Name]; ok && s.Target.Incarnation == t.Incarnation {
			if s.Heard.After(e.LastPoll) {
				e.LastPoll = s.Heard
			}
			// A role change takes an engine out of service for seconds.
			e.Ready = s.Target.Ready || t.Phase != fleet.Ready
			e.Relay, e.LastRelayReport = s.Via, c.tracker.LastPoll(s.Via)
		}
		out[t.Name] = c.health.Assess(now, e)
	}
	c.health.Retain(known)
	return out
}
