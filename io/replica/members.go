package replica

import (
	"papayarock/core/fleet"
	"papayarock/core/log"
)

// Leader returns the leader this member knows; empty if it knows none.
func (g *Group) Leader() fleet.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node == nil {
		return ""
	}
	return g.node.Status().Leader
}

// Members returns the membership this member knows.
func (g *Group) Members() log.Membership {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node == nil {
		return nil
	}
	return g.node.Status().Members
}
