// Package route chooses the target of a request: first the data centre by the
// mean load of its targets, then a target by its own load.
//
// A Router is updated by events (configuration, load reports, outcomes, cache
// events) and chooses targets in Pick. It does not read the clock: callers pass
// the current time. It is not safe for concurrent use; callers must hold a lock.
package route
