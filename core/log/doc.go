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
// until the lease has expired by any clock within the rate margin; after a
// restart it waits one full lease first, since grants are not stored. A new
// leader starts external actions only once the longest action begun under the
// previous lease must have ended as well.
//
// Members are identified by host and by the identity of their data directory, so
// that a host whose directory was replaced does not count as the previous voter.
package log
