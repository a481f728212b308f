// Package admit implements admission control: it decides which requests are
// dispatched, which wait and which are refused before they run.
//
// A Queue holds the waiting requests of one pool at one entry. Within a class it
// applies start-time fair queueing to the estimated cost of requests, so that the
// backlog of one customer does not delay another. It is not safe for concurrent
// use.
package admit
