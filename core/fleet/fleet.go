package fleet

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// ErrRequestID reports text that is not a request id.
var ErrRequestID = errors.New("request id is not 32 hexadecimal digits")

// requestIDBytes is the length of a RequestID in bytes.
const requestIDBytes = 16

// RequestID identifies one request from entry to target. It is drawn at
// random by the entry, so two entries need not agree on it.
type RequestID [requestIDBytes]byte

// ParseRequestID reads the form that String writes.
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

// Host names a machine.
type Host string

// Region names a group of data centres with short links between them.
type Region string

// DataCentre names a zone of hosts that may fail together.
type DataCentre string

// Customer names a tenant.
type Customer string

// TargetName names a back end for its whole life.
type TargetName string

// Incarnation distinguishes the runs of one process. It is drawn at start and
// is higher for a later start on the same host.
type Incarnation uint64

// OrderNumber orders instructions to targets and to the platform. Numbers
// compare by Term, then by Sequence.
type OrderNumber struct {
	Term     uint64
	Sequence uint64
}

// Compare returns -1, 0 or 1 as n is below, equal to or above o.
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
	Patient Class = iota
	Urgent
)

// String returns the kebab-case name of the class.
func (c Class) String() string { return name(c, "patient", "urgent") }

// Role says which phase of inference an engine runs.
type Role uint8

// Engine roles. A Mixed engine runs both phases in one batch.
const (
	Mixed Role = iota
	Prefill
	Decode
)

// String returns the kebab-case name of the role.
func (r Role) String() string { return name(r, "mixed", "prefill", "decode") }

// Kind separates model engines from plain services.
type Kind uint8

// Kinds of target.
const (
	Service Kind = iota
	Engine
)

// String returns the kebab-case name of the kind.
func (k Kind) String() string { return name(k, "service", "engine") }

// Phase is the stage of a target's life cycle.
type Phase uint8

// Life cycle of a target. Only a Ready target receives new requests.
const (
	Announced Phase = iota // known, not yet able to serve
	Ready                  // receives requests
	Draining               // ends its requests, then returns or leaves
	Leaving                // ends its requests, then goes
	Gone                   // ended in order
	Lost                   // stopped answering
	Unknown                // state must be read before the next order
)

// String returns the kebab-case name of the phase.
func (p Phase) String() string {
	return name(p, "announced", "ready", "draining", "leaving", "gone", "lost", "unknown")
}

// Target describes one back end as the control state knows it.
type Target struct {
	Name          TargetName
	Host          Host
	Region        Region
	DataCentre    DataCentre
	Agent         netip.AddrPort // link address of the agent beside the target
	Incarnation   Incarnation    // of the agent
	Kind          Kind
	Pool          string // model or service name; routes select targets by it
	Role          Role
	Phase         Phase
	PhaseUntil    time.Time // deadline of the phase; zero means none
	ChecksFencing bool      // the target itself refuses old order numbers
	Slots         uint32    // requests the target runs at once
}

func name[T ~uint8](v T, names ...string) string {
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("invalid-%d", uint8(v))
}
