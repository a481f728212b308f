package link

import (
	"time"

	"github.com/hashicorp/yamux"

	"papayarock/io/identity"
)

const (
	// heartbeatInterval applies to a session with open streams: one that went
	// silent is replaced after heartbeatInterval + heartbeatTimeout.
	heartbeatInterval = time.Second
	// idleInterval applies to a session without streams, which delays no request.
	// A stream that opens on it is followed by a heartbeat within
	// heartbeatInterval. Heartbeats each second cost 134 B/s a session.
	idleInterval     = 3 * time.Second
	heartbeatTimeout = 3 * time.Second
)

// watch ends a session whose peer no longer answers, or whose peer's certificate
// is revoked: streams between replicas never end by themselves.
func watch(s *yamux.Session, credentials *identity.Credentials, peer Peer) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-s.CloseChan():
			return
		case now := <-tick.C:
			if credentials.IsRevoked(peer.Peer) {
				_ = s.Close()
				return
			}
			// Half a tick less: a tick that comes early must not delay the
			// heartbeat to the next one.
			if s.NumStreams() == 0 && now.Sub(last) < idleInterval-heartbeatInterval/2 {
				continue
			}
			last = now
			if _, err := s.Ping(); err != nil {
				_ = s.Close()
				return
			}
		}
	}
}
