// Package route chooses the target of a request: first the data centre by a
// summary of its targets, then a target by its own figures.
//
// A Router is fed with events (configuration, load reports, outcomes, cache
// events) and asked by Pick. It is not safe for concurrent use; its owner
// passes the time in and holds the lock.
package route
