package wire

import (
	"math"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// ErrCodec reports bytes or values that have no mapping.
var ErrCodec = errors.New("codec")

// encoding is deterministic so that equal values have equal bytes; snapshots
// of replicas are compared by their bytes.
var encoding = proto.MarshalOptions{Deterministic: true}

func marshal(m proto.Message) ([]byte, error) {
	b, err := encoding.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(ErrCodec, err.Error())
	}
	return b, nil
}

func unmarshal(b []byte, m proto.Message) error {
	if err := proto.Unmarshal(b, m); err != nil {
		return errors.Wrap(ErrCodec, err.Error())
	}
	return nil
}

// reader converts fields and keeps the first error.
type reader struct{ err error }

func (r *reader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = errors.Wrapf(ErrCodec, format, args...)
	}
}

// enum checks that v is at most last.
func enum[T ~uint8](r *reader, field string, v uint32, last T) T {
	if v > uint32(last) {
		r.fail("%s %d is above %d", field, v, last)
		return 0
	}
	return T(v)
}

func (r *reader) bytes32(field string, b []byte) (d [32]byte) {
	if copy(d[:], b) != len(d) || len(b) != len(d) {
		r.fail("%s has %d bytes, not %d", field, len(b), len(d))
	}
	return d
}

func (r *reader) requestID(b []byte) (id fleet.RequestID) {
	if copy(id[:], b) != len(id) || len(b) != len(id) {
		r.fail("request id has %d bytes, not %d", len(b), len(id))
	}
	return id
}

func (r *reader) addrPort(b []byte) (a netip.AddrPort) {
	if len(b) == 0 {
		return a
	}
	if err := a.UnmarshalBinary(b); err != nil {
		r.fail("agent address: %v", err)
	}
	return a
}

func addrPortBytes(a netip.AddrPort) []byte {
	if a == (netip.AddrPort{}) {
		return nil
	}
	b, _ := a.MarshalBinary() // never fails
	return b
}

// nanos maps the zero time to 0 and clamps times that int64 nanoseconds cannot
// hold, in 1677 and 2262. The bounds are exact: a replica that restores a snapshot
// must hold the same time as one that applied the command.
func nanos(t time.Time) int64 {
	switch {
	case t.IsZero():
		return 0
	case t.After(time.Unix(0, math.MaxInt64)):
		return math.MaxInt64
	case t.Before(time.Unix(0, math.MinInt64)):
		return math.MinInt64
	}
	return t.UnixNano()
}

func fromNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}

func mapped[A, B any](in []A, f func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, len(in))
	for i, v := range in {
		out[i] = f(v)
	}
	return out
}

func mappedValues[A, B any](in map[string]A, f func(A) B) map[string]B {
	if len(in) == 0 {
		return nil
	}
	out := make(map[string]B, len(in))
	for k, v := range in {
		out[k] = f(v)
	}
	return out
}

func text[T ~string](s T) string           { return string(s) }
func customerName(s string) fleet.Customer { return fleet.Customer(s) }
func targetName(s string) fleet.TargetName { return fleet.TargetName(s) }

func encodeNumber(n fleet.OrderNumber) *StateNumber {
	if n == (fleet.OrderNumber{}) {
		return nil
	}
	return &StateNumber{Term: n.Term, Sequence: n.Sequence}
}

func decodeNumber(m *StateNumber) fleet.OrderNumber {
	return fleet.OrderNumber{Term: m.GetTerm(), Sequence: m.GetSequence()}
}

// EncodeConfig writes a whole configuration.
func EncodeConfig(s config.Snapshot) ([]byte, error) { return marshal(encodeSnapshot(s)) }

// DecodeConfig reads what EncodeConfig wrote.
func DecodeConfig(b []byte) (config.Snapshot, error) {
	var m ConfigSnapshot
	if err := unmarshal(b, &m); err != nil {
		return config.Snapshot{}, err
	}
	var r reader
	s := r.snapshot(&m)
	return s, r.err
}

// EncodeDelta writes a change of the configuration.
func EncodeDelta(d config.Delta) ([]byte, error) { return marshal(encodeDelta(d)) }

// DecodeDelta reads what EncodeDelta wrote.
func DecodeDelta(b []byte) (config.Delta, error) {
	var m ConfigDelta
	if err := unmarshal(b, &m); err != nil {
		return config.Delta{}, err
	}
	var r reader
	d := r.delta(&m)
	return d, r.err
}
