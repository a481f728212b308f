// Package pathsearch holds a seeded search over the whole path of a request:
// callers that repeat, entries, links, agents, services and the replicated
// claims. It runs the product code in memory under testing/synctest.
//
// A seed draws the orders, the callers' repetitions and the faults. Goroutines
// that become ready at the same instant still run in an order that the seed does
// not fix, so a fault that a seed has shown may need several runs of that seed.
//
// A paused process is one whose connections, control calls and handlers stand
// still; its timers go on. A message is late or repeated when all that an entry
// has sent on a connection is delivered to the same agent again, after the
// connection was lost or beside it.
package pathsearch
