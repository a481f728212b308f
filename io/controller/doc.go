// Package controller implements the control role. It holds a replica of the
// state machine, serves polls and commands of the other processes, and on the
// leader executes the actions that papayarock/core/dispatch decides on.
//
// Every replica serves polls. A replica that does not lead, called a relay,
// confirms with the leader that its copy of the configuration is current, and
// reports its subscribers; it receives configuration changes through the log.
package controller
