// Package summary sums up the load of targets by pool, data centre and stage, so
// that an entry can judge targets that do not report to it one by one.
//
// Agents report to a relay, each relay sends its sums to the leader, and the
// leader hands the totals back to the relays, which pass them to entries. Every
// figure carries the time at which it was summed up; what is too old no longer
// counts, whoever reports it.
package summary
