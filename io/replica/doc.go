// Package replica runs one member of a replicated log. It connects a node of
// papayarock/core/log, which implements Raft, to a data directory of
// papayarock/io/disk, a transport and a state machine.
//
// One goroutine passes events to the node and carries out its actions, which includes
// the application of committed entries. Another goroutine writes to disk, so that all
// writes that arrive during a sync share the next sync.
package replica
