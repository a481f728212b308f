// Package controller runs the control role: it keeps a replica of the state
// machine, answers the polls and commands of the other processes, and on the
// leader carries out the actions that papayarock/core/dispatch decides.
//
// Each replica answers polls. One that does not lead confirms with the leader
// that its copy of the configuration is current; the changes themselves reach it
// through the log.
package controller
