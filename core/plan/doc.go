// Package plan decides at the leader which role each engine has and how many
// targets are paid for.
//
// A role change takes an engine out of service for seconds, and the mix of
// prompt and output tokens swings within minutes, so the planner weighs the
// goodput that a change is expected to gain over a horizon against the goodput
// lost meanwhile. It is not safe for concurrent use.
package plan
