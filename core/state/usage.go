package state

import (
	"time"

	"papayarock/core/fleet"
)

// UsageID identifies one usage record. The agent of the target numbers the records.
// Both the agent and the entry report each record, so that none is lost
// when one of them fails, and the id ensures that it is counted once.
type UsageID struct {
	Node        fleet.Host // host of the agent
	Incarnation fleet.Incarnation
	Sequence    uint64 // starts at 1, without gaps
}

// UsageRecord is the usage of one served request.
type UsageRecord struct {
	ID           UsageID
	Customer     fleet.Customer
	Route        string
	PromptTokens uint64
	OutputTokens uint64
	Ended        time.Time
}
