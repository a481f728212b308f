package fleet

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// ErrRequestID reports a string that is not a request id.
var ErrRequestID = errors.New("request id is not 32 hexadecimal digits")

// requestIDBytes is the length of a RequestID in bytes.
const requestIDBytes = 16

// RequestID identifies a request on its way from entry to target. The entry
// generates it at random, so that entries need no coordination.
type RequestID [requestIDBytes]byte

// ParseRequestID parses the output of RequestID.String. It returns ErrRequestID for
// any other string.
func ParseRequestID(s string) (RequestID, error) {
	var id RequestID
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != requestIDBytes {
		return id, errors.Wrapf(ErrRequestID, "%q", s)
	}
	copy(id[:], b)
	return id, nil
}

// String returns the id as 32 hexadecimal digits.
func (id RequestID) String() string { return hex.EncodeToString(id[:]) }

// Host is the name of a machine.
type Host string

// Region is the name of a group of data centres with low latency between them.
type Region string

// DataCentre is the name of a zone, a group of hosts that may fail together.
type DataCentre string

// Customer is the name of a tenant.
type Customer string

// TargetName is the name of a back end. It does not change during its life.
type TargetName string

// Incarnation identifies a run of a process. It is generated at start and is
// higher for a later start on the same host.
type Incarnation uint64

// OrderNumber orders the instructions to targets and to the platform, by Term
// and then by Sequence.
type OrderNumber struct {
	Term     uint64
	Sequence uint64
}

// Compare returns -1, 0 or 1 if n is less than, equal to or greater than o.
func (n OrderNumber) Compare(o OrderNumber) int {
	if c := cmp.Compare(n.Term, o.Term); c != 0 {
		return c
	}
	return cmp.Compare(n.Sequence, o.Sequence)
}

// String returns the number as term.sequence.
func (n OrderNumber) String() string { return fmt.Sprintf("%d.%d", n.Term, n.Sequence) }

// Class is the priority class of a request.
type Class uint8

// Priority classes.
const (
	Patient Class = iota // can wait, such as batch work
	Urgent               // dispatched before waiting patient requests
)

// String returns the name of the class in kebab case.
func (c Class) String() string { return enumName(c, "patient", "urgent") }

// Role is the phase of inference that an engine runs.
type Role uint8

// Engine roles. A Mixed engine runs both phases in one batch.
const (
	Mixed   Role = iota
	Prefill      // processes prompts
	Decode       // generates output tokens
)

// String returns the name of the role in kebab case.
func (r Role) String() string { return enumName(r, "mixed", "prefill", "decode") }

// Kind distinguishes model engines from other services.
type Kind uint8

// Kinds of targets.
const (
	Service Kind = iota // plain HTTP service
	Engine              // inference engine that serves a model
)

// String returns the name of the kind in kebab case.
func (k Kind) String() string { return enumName(k, "service", "engine") }

// Phase is the phase of a target's life cycle.
type Phase uint8

// Phases of the life cycle. Only a Ready target receives new requests.
const (
	Announced Phase = iota // known, but not yet able to serve
	Ready                  // receives requests
	Draining               // finishes its requests, then serves again or leaves
	Leaving                // finishes its requests, then stops
	Gone                   // stopped in an orderly way
	Lost                   // no longer responds
	Unknown                // its state must be read before the next order
)

// String returns the name of the phase in kebab case.
func (p Phase) String() string {
	return enumName(p, "announced", "ready", "draining", "leaving", "gone", "lost", "unknown")
}

// Target describes a back end as recorded in the control state.
type Target struct {
	Name          TargetName
	Host          Host
	Region        Region
	DataCentre    DataCentre
	Agent         netip.AddrPort // link address of the agent next to the target
	Incarnation   Incarnation    // of the agent
	Kind          Kind
	Pool          string // name of the model or service; routes select targets by it
	Role          Role
	Phase         Phase
	PhaseUntil    time.Time // deadline of the phase; zero means none
	ChecksFencing bool      // the target itself rejects outdated order numbers
	Slots         uint32    // number of requests that the target runs concurrently
}

func enumName[T ~uint8](v T, names ...string) string {
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("invalid-%d", uint8(v))
}
