package dispatch

import (
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/core/watch"
)

// View is what the leader knows.
type View struct {
	Config     *config.Index
	Targets    []state.TargetRecord
	Platform   []state.PlatformOrder // open orders
	Windows    []state.UsageWindow   // sealed and not acknowledged
	OpenWindow uint64
	OpenFrom   time.Time
	Ticked     time.Time // clock of the state machine

	Signs map[fleet.TargetName]Seen
	Since time.Time // when this leader began to receive polls
}

// Seen is the last sign of a target.
type Seen struct {
	watch.Sign
	At        time.Time
	Condition watch.Condition
}

// Action is something the leader does next. An external action must end by its
// deadline, which lies before the end of the lease.
type Action interface{ action() }

// Propose commits a command.
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

// ReadTarget asks the agent for the real state of its target. The number shuts
// out earlier orders.
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

// SendUsage reports the figures of a sealed window.
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

// Key names an action while it is under way.
type Key struct {
	kind   kind
	target fleet.TargetName
	number fleet.OrderNumber
	window uint64
	phase  fleet.Phase
}

type kind uint8

const (
	propose kind = iota
	order
	read
	platform
	usage
	tick
	seal
)
