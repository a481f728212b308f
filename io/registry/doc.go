// Package registry implements one replica of the registry: the replicated log
// that holds the operator's catalog and the usage windows, the set of announced
// targets, and the feeds that deliver the catalog and the targets to gateways.
//
// The catalog and the counts of usage windows are committed to the log before
// they are acknowledged or reported. Announcements are not replicated: each
// replica forwards those that it receives to all gateways subscribed to it, and
// gateways subscribe to all replicas.
//
// The log identifies each replica by its link address, the address at which it
// accepts connections of package link. A replica with an empty data directory asks
// known members to add it. Only the first start of a deployment creates a log.
//
// A usage window is open until the leader commits its final counts. The leader then
// reports the window to the usage sink.
package registry
