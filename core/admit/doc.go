// Package admit decides which requests run, which wait and which are refused
// before they run.
//
// A Queue holds the waiting requests of one pool at one entry. Within a class
// it is a start-time fair queue over token prices, so that the backlog of one
// customer doesn't delay another. It is not safe for concurrent use.
package admit
