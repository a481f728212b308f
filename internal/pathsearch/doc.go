// Package pathsearch is a seeded, randomised search for faults on the whole path
// of a request: callers that retry, entries, links, agents, services and the
// replicated claims. It runs the product code in memory under testing/synctest.
//
// A seed determines the orders, the callers' retries and the faults. Goroutines
// that become runnable at the same instant still run in an order that the seed
// does not determine, so reproducing a failure may take several runs of its seed.
//
// While a process is paused, its connections, control calls and handlers block,
// but its timers continue. Messages are delayed or duplicated by delivering
// everything that an entry has sent on a connection to the same agent again,
// either after the connection was lost or while it is open.
package pathsearch
