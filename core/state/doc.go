// Package state implements the deterministic state machine that every control
// replica applies the replicated log to. It holds configuration and keys,
// targets, orders, request claims and usage windows.
package state
