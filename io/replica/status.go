package replica

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/log"
)

// Leader returns the leader as known to this member. It is empty if the leader is
// unknown or the member is not running.
func (m *Member) Leader() fleet.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.node == nil {
		return ""
	}
	return m.node.Status().Leader
}

// Members returns the membership as known to this member. It is nil if the member is
// not running.
func (m *Member) Members() log.Membership {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.node == nil {
		return nil
	}
	return m.node.Status().Members
}

// Now returns the time by which the times in the Status of this member are measured.
func (m *Member) Now() time.Time { return m.o.Clock.now() }
