// Package plan implements the capacity planner of the leader. It assigns a role
// to each engine and decides how many targets to run.
//
// A role change takes an engine out of service for seconds, while the mix of
// prompt and output tokens changes within minutes. The planner therefore
// compares the goodput that a change is expected to gain over a planning
// horizon with the goodput lost during the change. A Planner is not safe for
// concurrent use.
package plan
