// Package agent runs requests against the one target on its host and streams
// the answers back to the entries. It is the only way to the target.
package agent
