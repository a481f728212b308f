// Package quarantine finds prompt segments that crash targets, so that requests with them
// can be rejected.
//
// A segment may crash every target that begins to respond to a prompt with it. Such prompts
// look sound, arrive at all gateways, and share their other segments with sound ones. Each
// gateway runs an Observer, which records the requests that broke off when a run of a
// target ended, and the segments that have been served. A Judge combines the reports of all
// gateways.
//
// A segment is suspected after it was among the requests that broke off at two runs without
// having been served since. It is quarantined after three runs, once so many other requests
// have been served that a sound segment would most likely have been among them. This
// distinguishes it from the segments of the other requests at the targets that crashed.
package quarantine
