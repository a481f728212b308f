package state

import (
	"time"

	"papayarock/core/fleet"
)

// ClaimKey identifies a non-idempotent request by its customer and the caller's
// idempotency key.
type ClaimKey struct {
	Customer       fleet.Customer
	IdempotencyKey string
}

// Claim requests the exclusive right to forward a non-idempotent request to a
// target. It is committed before the request is forwarded, so that only one of
// all entries forwards it. A new attempt after SettledBarred uses a new
// request id.
type Claim struct {
	Key     ClaimKey
	Request fleet.RequestID
	Body    [32]byte // SHA-256 of method, path and body
	Target  fleet.TargetName
	Expires time.Time // end of the retention of the claim and its stored response
}

// ClaimOutcome is the outcome of a Claim.
type ClaimOutcome uint8

// Outcomes of a claim. The request may be forwarded only with ClaimGranted.
const (
	ClaimRefused   ClaimOutcome = iota // not recorded; the request has not run
	ClaimGranted                       // this request holds the claim
	ClaimRunning                       // another request holds it and has not settled
	ClaimReplayed                      // settled; the stored response is returned
	ClaimCompleted                     // settled; the response was too large to store
	ClaimMismatch                      // the key was used with another body
	ClaimUnknown                       // settled with an unknown result; no request may retry
)

// ClaimResult is the result of a Claim.
type ClaimResult struct {
	Outcome ClaimOutcome
	Index   uint64           // log index at which the claim was granted
	Holder  fleet.RequestID  // request that holds the claim
	Target  fleet.TargetName // target that the holder is forwarded to
	Answer  StoredAnswer     // stored response; with ClaimReplayed
}

// StoredAnswer is a complete HTTP response stored for replay.
type StoredAnswer struct {
	Status  int
	Headers []Header
	Body    []byte // of limited size
}

// MaxStoredAnswerBytes limits the body of a response stored with a claim.
const MaxStoredAnswerBytes = 16 << 10

// Header is one header field of a response.
type Header struct {
	Name  string
	Value string
}

// Settlement is the result of a claimed request.
type Settlement uint8

// Results of a claimed request.
const (
	SettledCompleted Settlement = iota // completed; the response is stored if possible
	SettledBarred                      // has not run and is barred from ever running; the key can be claimed again
	SettledUnknown                     // agent or target lost; no request may retry
)

// Settle reports the result of a claimed request.
type Settle struct {
	Key        ClaimKey
	Request    fleet.RequestID
	Settlement Settlement
	Answer     *StoredAnswer // nil when the response was too large to store
}
