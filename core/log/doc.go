// Package log implements a replicated log with the Raft consensus algorithm, as
// a deterministic state machine without I/O.
//
// Node.Step takes the current time and one event (a message, a proposal, a
// completion from storage, a tick) and returns the actions that the caller must
// carry out. The package uses no goroutines, clocks, files or sockets.
//
// Entries, votes and terms take effect only after storage has reported them
// synced: the node delays every message that depends on a write until the
// Synced event for that write.
//
// A leader holds a lease that a quorum of voters has granted by answering its
// heartbeats. A voter that granted a lease does not vote for another candidate
// until its own clock has advanced by the full lease, unless the leader has given
// the lease up to transfer its leadership. The leader stops using the lease earlier
// by a margin that covers clocks that run at different rates. Grants are not
// stored, so a voter that restarts waits one full lease before it votes. Except
// after a transfer, a new leader also waits until the longest action begun under
// the previous lease must have ended, before it starts external actions.
//
// Members are identified by host and by the identity of their data directory, so
// that a host whose directory was replaced does not count as the previous voter.
package log
