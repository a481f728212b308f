package state

import (
	"time"

	"papayarock/core/fleet"
)

// UsageID identifies one usage record. The agent beside the target numbers its
// records; agent and entry both report a record, so the loss of either loses
// nothing, and the id makes it count once.
type UsageID struct {
	Node        fleet.Host // of the agent
	Incarnation fleet.Incarnation
	Sequence    uint64 // from 1, without gaps
}

// UsageRecord is what one served request consumed.
type UsageRecord struct {
	ID           UsageID
	Customer     fleet.Customer
	Route        string
	PromptTokens uint64
	OutputTokens uint64
	Ended        time.Time
}
