package link

import (
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"papayarock/io/identity"
)

const (
	// heartbeatInterval applies to sessions with open streams. An unresponsive
	// session is closed after heartbeatInterval + heartbeatTimeout.
	heartbeatInterval = time.Second
	// idleHeartbeatInterval applies to sessions without open streams, whose failure
	// delays no request. It is longer because a heartbeat per second costs 134 B/s
	// per session. Once a stream is opened, a heartbeat follows within
	// heartbeatInterval.
	idleHeartbeatInterval = 3 * time.Second
	heartbeatTimeout      = 3 * time.Second
	// maxLateHeartbeats is the number of consecutive heartbeats that may be unanswered in time
	// while the peer sends other data.
	maxLateHeartbeats = 8
)

// monitorSession closes a session whose peer stops answering heartbeats and sends nothing
// else, or whose peer's certificate is revoked. Revocation is checked during the session too,
// because streams between replicas stay open indefinitely.
func monitorSession(s *session, credentials *identity.Credentials, peer Peer) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	lastPing := time.Now()
	late := 0 // consecutive heartbeats
	for {
		select {
		case <-s.CloseChan():
			return
		case now := <-ticker.C:
			if credentials.IsRevoked(peer.Peer) {
				_ = s.Close()
				return
			}
			// The tolerance of half a tick prevents a tick that fires slightly early
			// from postponing the heartbeat to the next tick.
			if s.NumStreams() == 0 && now.Sub(lastPing) < idleHeartbeatInterval-heartbeatInterval/2 {
				continue
			}
			lastPing = now
			received := s.conn.received.Load()
			if _, err := s.Ping(); err != nil {
				// On a slow link, the answer may be queued behind a large message for longer than
				// heartbeatTimeout. Closing the session then would start the message again.
				late++
				if errors.Is(err, yamux.ErrTimeout) && s.conn.received.Load() != received && late <= maxLateHeartbeats {
					continue
				}
				_ = s.reset()
				return
			}
			late = 0
		}
	}
}
