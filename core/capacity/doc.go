// Package capacity runs the planner of papayarock/core/plan for the leader. It
// converts the demand reported by entries and the replicated targets into the
// planner's input, and the planner's decisions into commands.
//
// Everything that must survive a change of leader is in the replicated state.
// The TermPlanner of a new leader starts with an observation period: it proposes
// nothing until it has received demand for long enough and a poll from the agent
// of every serving target.
package capacity
