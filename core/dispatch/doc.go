// Package dispatch decides which actions the leader begins: orders to engines
// and to the platform, reads of targets in unknown state, usage reports, and
// commands that move targets through their life cycle.
//
// A Dispatcher holds no state that must survive the leader's term. Everything
// it acts on is in the replicated state, and an action that is repeated has the
// same number and content.
package dispatch
