// Package agent implements the agent, which runs requests against the one target
// on its host and streams the answers back to the entries. All requests to the
// target pass through its agent.
package agent
