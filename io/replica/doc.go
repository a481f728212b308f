// Package replica runs one member of a replicated log. It connects a node of
// papayarock/core/log to a data directory of papayarock/io/disk, a transport and
// a state machine.
//
// One goroutine steps the node and applies committed entries. Another writes to
// disk, so that all writes that arrive during a sync share the next sync.
package replica
