// Package work estimates the cost of a response: Lengths the number of its events, Pace the
// time that a target takes for an event, and End the time at which the response is complete.
//
// The estimators have no clock and are not safe for concurrent use. Each needs constant
// memory.
package work
