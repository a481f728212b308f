package dispatch

import (
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/core/watch"
)

// View is the leader's knowledge at the time of a step.
type View struct {
	Config     *config.Index
	Targets    []state.TargetRecord
	Platform   []state.PlatformOrder // open orders
	Windows    []state.UsageWindow   // sealed, but not acknowledged
	OpenWindow uint64                // number of the usage window in progress
	OpenFrom   time.Time             // start of that window
	LastTick   time.Time             // clock of the state machine

	Polls      map[fleet.TargetName]LastPoll
	PollsSince time.Time // when this leader began to receive polls
}

// LastPoll is the most recent poll from the agent of a target.
type LastPoll struct {
	watch.AgentStatus
	At        time.Time
	Condition watch.Condition
}

// Action is an action that the leader should begin. An external action must end
// by its deadline, which lies before the end of the lease.
type Action interface{ action() }

// Propose commits a command to the replicated state.
type Propose struct {
	Key     Key
	Command state.Command
}

// SendOrder sends an open order to the agent of its target.
type SendOrder struct {
	Key      Key
	Target   fleet.Target
	Order    state.Order
	Deadline time.Time
}

// ReadTarget requests the actual state of a target from its agent. The agent
// then rejects orders with lower numbers.
type ReadTarget struct {
	Key      Key
	Target   fleet.Target
	Number   fleet.OrderNumber
	Deadline time.Time
}

// SendPlatform sends an order to the platform.
type SendPlatform struct {
	Key      Key
	Order    state.PlatformOrder
	Deadline time.Time
}

// SendUsage reports the usage of a sealed window.
type SendUsage struct {
	Key      Key
	Window   state.UsageWindow
	Deadline time.Time
}

func (Propose) action()      {}
func (SendOrder) action()    {}
func (ReadTarget) action()   {}
func (SendPlatform) action() {}
func (SendUsage) action()    {}

// Key identifies an action while it is in progress and until it may be attempted
// again.
type Key struct {
	kind   kind
	target fleet.TargetName
	number fleet.OrderNumber
	window uint64
	phase  fleet.Phase // tells apart proposals for one target
}

type kind uint8

const (
	kindPropose kind = iota
	kindOrder
	kindRead
	kindPlatform
	kindUsage
	kindTick
	kindSeal
)
