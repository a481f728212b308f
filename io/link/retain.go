package link

import (
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// unusedAfter is how long a session is kept that Retain does not name. A
	// target outside an entry's subset may be chosen again soon.
	unusedAfter = 30 * time.Second
	// closeCheck is how often a dropped session is looked at for open streams.
	closeCheck = 5 * time.Second
)

// Retain drops the sessions with peers that keep does not name and that no call
// has used for unusedAfter. Open streams go on; the next call dials again.
func (p *Pool) Retain(now time.Time, keep func(Address) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, o := range p.peers {
		if keep(a) {
			continue
		}
		if s := o.unused(now.Add(-unusedAfter)); s != nil {
			delete(p.peers, a)
			go closeUnused(s)
		}
	}
}

// unused takes the session out if it has not been used since before.
func (o *outbound) unused(before time.Time) *yamux.Session {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.session == nil || o.used.After(before) || o.session.NumStreams() > 0 {
		return nil
	}
	s := o.session
	o.session = nil
	return s
}

// closeUnused closes a session that is handed out no more. It waits first, since
// a call may have taken the session just before and open a stream on it.
func closeUnused(s *yamux.Session) {
	for {
		select {
		case <-s.CloseChan():
			return
		case <-time.After(closeCheck):
			if s.NumStreams() == 0 {
				_ = s.Close()
				return
			}
		}
	}
}
