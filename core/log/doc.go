// Package log is a replicated log: Raft as published, as a pure value.
//
// Node.Step takes the time and one event (a message, a proposal, a report of
// the storage, a tick) and returns the actions that the caller carries out.
// The package has no goroutine, clock, file or socket.
//
// Entries, votes and terms count only after the storage has reported them
// synced: the node holds back every message that depends on a write until the
// Synced event for that write.
//
// A leader holds a lease that a quorum of voters has confirmed. A voter that
// confirmed a lease refuses to help elect another leader until the lease has
// certainly ended; after a restart it waits one whole lease first. A new leader
// acts outwardly only once the longest action begun under the old lease must
// have ended as well.
//
// Members are named by host and by the identity of their data directory, so
// that a host with a replaced directory does not count as the voter it was.
package log
