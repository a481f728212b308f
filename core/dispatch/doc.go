// Package dispatch decides which external actions the leader begins: orders to
// engines and to the platform, reads of unknown targets, usage reports, and the
// commands that move targets along their life cycle.
//
// A Dispatcher holds no state that matters beyond one leader's term: everything
// it acts on is in the replicated state, and an action that is begun again goes
// out under the same number with the same content.
package dispatch
