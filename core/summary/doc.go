// Package summary aggregates the load of targets by pool, data centre and stage,
// so that an entry can estimate the load of targets that do not report to it
// individually.
//
// An agent reports to one control replica, its relay. Each relay sends its sums to
// the leader of the control replicas, and the leader returns the totals to the
// relays, which pass them on to entries. Every figure carries the time at which it
// was computed; figures that are too old are ignored, regardless of their source.
package summary
