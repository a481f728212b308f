package link

import (
	"time"
)

const (
	// unusedTimeout is how long Retain keeps an unused session to a peer that keep
	// rejects, because a peer that is no longer selected for calls may be selected
	// again soon.
	unusedTimeout = 30 * time.Second
	// closePollInterval is how often a removed session is checked for open
	// streams.
	closePollInterval = 5 * time.Second
)

// Retain removes the sessions to peers for which keep returns false and that no
// call has used for unusedTimeout (30 s). Sessions with open streams are kept. The
// next call to a removed peer dials again.
func (p *Pool) Retain(now time.Time, keep func(Address) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, ps := range p.peers {
		if keep(a) {
			continue
		}
		if s := ps.takeUnused(now.Add(-unusedTimeout)); s != nil {
			delete(p.peers, a)
			go closeUnused(s)
		}
	}
}

// takeUnused removes and returns the session if it has no open streams and has
// not been used after cutoff. Otherwise it returns nil.
func (ps *peerSession) takeUnused(cutoff time.Time) *session {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.session == nil || ps.lastUsed.After(cutoff) || ps.session.NumStreams() > 0 {
		return nil
	}
	s := ps.session
	ps.session = nil
	return s
}

// closeUnused closes a session that has been removed from the pool. It waits
// first, because a call that obtained the session just before its removal may
// still open a stream on it.
func closeUnused(s *session) {
	for {
		select {
		case <-s.CloseChan():
			return
		case <-time.After(closePollInterval):
			if s.NumStreams() == 0 {
				_ = s.Close()
				return
			}
		}
	}
}
