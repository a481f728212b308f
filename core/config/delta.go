package config

import (
	"papayarock/core/fleet"
)

// General is the part of a Document without customers. It is small, and deltas
// replace it as a whole.
type General struct {
	Team      string
	Routes    []Route
	Models    []Model
	PoolModel map[string]string // see Document
	Windows   []Window
	Budget    Budget
}

// InterruptedKey identifies a withdrawn key. Nodes interrupt the running requests
// that were admitted with it.
type InterruptedKey struct {
	ID       string
	Revision uint64 // at which the key was withdrawn
}

// Delta holds the changes from one revision to a later one. Removals are applied
// before additions. Each list is sorted.
type Delta struct {
	From            uint64
	To              uint64
	General         *General // nil when unchanged
	RemoveCustomers []fleet.Customer
	PutCustomers    []Customer
	RemoveKeys      []string // by ID
	PutKeys         []Key
	InterruptedKeys []InterruptedKey // withdrawn keys whose running requests are interrupted
	RemoveTargets   []fleet.TargetName
	PutTargets      []fleet.Target
	Revoked         []Revocation // added revocations
}
