// Package replica runs one member of a replicated log: a node of
// papayarock/core/log over a data directory of papayarock/io/disk, a transport
// and a state machine.
//
// One goroutine steps the node and applies committed entries; another writes to
// disk, so that all writes that arrive during a sync share the next one.
package replica
