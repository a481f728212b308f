// Package capacity runs the planner of papayarock/core/plan for the leader: it
// turns the demand that entries report and the replicated targets into the
// planner's input, and the planner's acts into commands.
//
// What must outlive a leader is in the replicated state. A Term of a new leader
// observes first: it proposes nothing until it has seen demand for long enough
// and every serving target.
package capacity
