package replica

import (
	"papayarock/core/fleet"
	"papayarock/core/log"
)

// Leader returns the leader as known to this member. It is empty if the leader is
// unknown or the member is not running.
func (g *Member) Leader() fleet.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node == nil {
		return ""
	}
	return g.node.Status().Leader
}

// Members returns the membership as known to this member. It is nil if the member is
// not running.
func (g *Member) Members() log.Membership {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.node == nil {
		return nil
	}
	return g.node.Status().Members
}
