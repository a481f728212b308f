package replica

import (
	"papayarock/core/fleet"
	"papayarock/core/log"
)

// Leader returns the leader that this member knows of, or "" if it knows of none.
func (g *Group) Leader() fleet.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node == nil {
		return ""
	}
	return g.node.Status().Leader
}

// Members returns the membership that this member knows of. It is nil while the
// member is not running.
func (g *Group) Members() log.Membership {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node == nil {
		return nil
	}
	return g.node.Status().Members
}
