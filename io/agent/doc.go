// Package agent implements the agent, which runs requests against the one target
// on its host and streams the responses back to the entries. A target is an
// inference engine or a plain HTTP service. All requests to the target pass through
// its agent.
//
// An agent keeps each response for a while, so that an entry that loses its link can
// resume it, and records which requests have been started, so that it can say
// whether a request has run. An entry can bar a request: the agent then never
// starts it. Orders are commands of the control leader that change the target, such
// as loading a model. An agent executes at most one order at a time, and none while
// requests run.
package agent
