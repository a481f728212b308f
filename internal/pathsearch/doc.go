// Package pathsearch searches for violations of the guarantees of the request path
// by randomised fault injection. It covers callers that retry, entries, links,
// agents, services and the replicated claims. The product code runs in memory under
// testing/synctest.
//
// A seed determines the requests of the callers, their retries and the injected
// faults. Goroutines that become runnable at the same instant still run in an order
// that the seed does not determine, so a violation may only show up again after
// several runs of its seed.
//
// A process is paused by blocking its connections, control calls and handlers. Its
// timers continue. To simulate delayed and duplicated messages, everything that an
// entry has sent on a connection is sent to the same agent again, on a second
// connection, while the first is open or after it was lost.
package pathsearch
