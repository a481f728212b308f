// Package watch decides how current a node's copy of the configuration is and
// when a change is in force.
//
// A node polls a relay or the leader. An answer confirms that the copy holds
// every change accepted before a moment the node knows on its own clock. A node
// whose copy has not been confirmed for MaxStale serves no keyed request, so a
// change is in force once each subscriber has it or has run out of that time,
// whether or not the subscriber can be reached.
package watch
