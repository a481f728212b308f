// Package serving lets an entry decide by the packages papayarock/core/route,
// admit and retry: which requests run now, at which target, and whether a failed
// attempt is followed by another.
//
// It keeps their values behind one lock, passes them the time, the
// configuration and the load reports of the agents, and collects the demand that
// control plans by.
package serving
