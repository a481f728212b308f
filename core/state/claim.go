package state

import (
	"time"

	"papayarock/core/fleet"
)

// ClaimKey names a non-idempotent request for its caller.
type ClaimKey struct {
	Customer       fleet.Customer
	IdempotencyKey string
}

// Claim asks for the right to hand a non-idempotent request to a target. It is
// committed before the hand-over, so that of all entries only one hands over.
// A new attempt after SettledBarred uses a new request id.
type Claim struct {
	Key     ClaimKey
	Request fleet.RequestID
	Body    [32]byte // SHA-256 of method, path and body
	Target  fleet.TargetName
	Expires time.Time // end of the retention of the claim and its answer
}

// ClaimOutcome says what became of a Claim.
type ClaimOutcome uint8

// Outcomes of a claim. Only ClaimGranted allows the hand-over.
const (
	ClaimRefused  ClaimOutcome = iota // not recorded; the request has not run
	ClaimGranted                      // this request holds the claim
	ClaimRunning                      // another request holds it and has not settled
	ClaimAnswered                     // settled; the kept answer is returned
	ClaimRan                          // settled; the answer was too large to keep
	ClaimMismatch                     // the key was used with another body
	ClaimUnknown                      // ended unknown; nobody may try again
)

// ClaimResult is the answer to a Claim.
type ClaimResult struct {
	Outcome ClaimOutcome
	Index   uint64          // log index of the granting entry
	Holder  fleet.RequestID // request that holds the claim
	Target  fleet.TargetName
	Answer  KeptAnswer // with ClaimAnswered
}

// KeptAnswer is a whole answer kept for replay.
type KeptAnswer struct {
	Status  int
	Headers []Header
	Body    []byte // at most MaxKeptAnswerBytes
}

// MaxKeptAnswerBytes bounds the body of an answer kept with a claim.
const MaxKeptAnswerBytes = 16 << 10

// Header is one header field of an answer.
type Header struct {
	Name  string
	Value string
}

// Settlement says how the request of a claim ended.
type Settlement uint8

// Ways a claimed request ends.
const (
	SettledRan     Settlement = iota // ran; Answer holds what is kept
	SettledBarred                    // not run and never will be: the claim is free again
	SettledUnknown                   // agent or target lost: nobody may try again
)

// Settle ends a claim.
type Settle struct {
	Key        ClaimKey
	Request    fleet.RequestID
	Settlement Settlement
	Answer     *KeptAnswer // nil when the answer was too large to keep
}
