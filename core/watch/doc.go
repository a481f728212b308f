// Package watch tracks the propagation of configuration changes and the health
// of targets. It determines how current a node's copy of the configuration is
// and when a change is in force.
//
// A node polls a relay or the leader. A response confirms that the copy contains
// every change accepted before a certain time. The node computes this time on its
// own clock, from when it sent the poll and the age of the responder's copy. A
// node whose copy has not been confirmed for MaxStale refuses keyed requests. A
// change is therefore in force once each subscriber either has it or has been
// unconfirmed for that long, whether or not the subscriber can be reached.
package watch
