// Package state implements the deterministic state machine that every control
// replica applies the replicated log to. It holds configuration and keys,
// targets, orders, request claims, usage windows and the shares that entries
// have of the customer limits.
package state
