package serving

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/watch"
	"papayarock/io/entry"
)

// meet notes whether an attempt reached the agent of a target. A refusal and a
// cancelled attempt tell neither.
func (p *Policy) meet(now time.Time, t fleet.TargetName, o entry.Outcome) {
	c := p.met[t]
	c.Target = t
	switch {
	case o.Unreached:
		c.Failed = now
	case o.Ending == entry.Answered || o.Ending == entry.Failed:
		c.Reached = now
	default:
		return
	}
	p.met[t] = c
}

// Contacts returns what was met at each target since it was last called.
func (p *Policy) Contacts() []watch.Contact {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]watch.Contact, 0, len(p.met))
	for _, c := range p.met {
		out = append(out, c)
	}
	clear(p.met)
	return out
}
