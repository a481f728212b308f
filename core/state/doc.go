// Package state is the deterministic state machine that every control replica
// applies the replicated log to: configuration and keys, targets, orders,
// request claims and usage windows.
package state
