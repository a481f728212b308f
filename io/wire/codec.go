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

// ErrCodec is returned for a command, order, result, configuration or state snapshot
// that cannot be encoded, or whose bytes or message cannot be decoded.
var ErrCodec = errors.New("codec")

// marshalOptions makes the encoding deterministic, so that equal values are encoded
// as equal bytes. Snapshots of different replicas are compared byte by byte.
var marshalOptions = proto.MarshalOptions{Deterministic: true}

func marshal(m proto.Message) ([]byte, error) {
	b, err := marshalOptions.Marshal(m)
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

// decoder converts message fields and records the first error.
type decoder struct{ err error }

func (dec *decoder) fail(format string, args ...any) {
	if dec.err == nil {
		dec.err = errors.Wrapf(ErrCodec, format, args...)
	}
}

// decodeEnum converts v, or records an error and returns 0 if v is above last.
func decodeEnum[T ~uint8](dec *decoder, field string, v uint32, last T) T {
	if v > uint32(last) {
		dec.fail("%s %d is above %d", field, v, last)
		return 0
	}
	return T(v)
}

func (dec *decoder) bytes32(field string, b []byte) (d [32]byte) {
	if copy(d[:], b) != len(d) || len(b) != len(d) {
		dec.fail("%s has %d bytes, not %d", field, len(b), len(d))
	}
	return d
}

func (dec *decoder) requestID(b []byte) (id fleet.RequestID) {
	if copy(id[:], b) != len(id) || len(b) != len(id) {
		dec.fail("request id has %d bytes, not %d", len(b), len(id))
	}
	return id
}

func (dec *decoder) addrPort(b []byte) (a netip.AddrPort) {
	if len(b) == 0 {
		return a
	}
	if err := a.UnmarshalBinary(b); err != nil {
		dec.fail("agent address: %v", err)
	}
	return a
}

func addrPortBytes(a netip.AddrPort) []byte {
	if a == (netip.AddrPort{}) {
		return nil
	}
	b, _ := a.MarshalBinary() // always returns a nil error
	return b
}

// unixNanos returns t in Unix nanoseconds, and 0 for the zero time. Times outside
// the range of int64 nanoseconds, which ends in 1677 and 2262, are clamped to its
// bounds. A time at a bound is encoded unchanged, so that a replica that restores a
// snapshot holds the same time as a replica that applied the command.
func unixNanos(t time.Time) int64 {
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

func fromUnixNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}

// mapSlice returns f of each element of in, and nil if in is empty.
func mapSlice[A, B any](in []A, f func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, len(in))
	for i, v := range in {
		out[i] = f(v)
	}
	return out
}

// mapValues returns f of each value of in under its key, and nil if in is empty.
func mapValues[A, B any](in map[string]A, f func(A) B) map[string]B {
	if len(in) == 0 {
		return nil
	}
	out := make(map[string]B, len(in))
	for k, v := range in {
		out[k] = f(v)
	}
	return out
}

func toString[T ~string](s T) string       { return string(s) }
func customerName(s string) fleet.Customer { return fleet.Customer(s) }
func targetName(s string) fleet.TargetName { return fleet.TargetName(s) }

func encodeOrderNumber(n fleet.OrderNumber) *StateNumber {
	if n == (fleet.OrderNumber{}) {
		return nil
	}
	return &StateNumber{Term: n.Term, Sequence: n.Sequence}
}

func decodeOrderNumber(m *StateNumber) fleet.OrderNumber {
	return fleet.OrderNumber{Term: m.GetTerm(), Sequence: m.GetSequence()}
}

// EncodeConfigSnapshot encodes a configuration snapshot or one of its pieces.
func EncodeConfigSnapshot(s config.Snapshot) ([]byte, error) { return marshal(encodeConfigSnapshot(s)) }

// DecodeConfigSnapshot decodes the output of EncodeConfigSnapshot.
func DecodeConfigSnapshot(b []byte) (config.Snapshot, error) {
	var m ConfigSnapshot
	if err := unmarshal(b, &m); err != nil {
		return config.Snapshot{}, err
	}
	var dec decoder
	s := dec.configSnapshot(&m)
	return s, dec.err
}

// EncodeDelta encodes the changes between two revisions of the configuration.
func EncodeDelta(d config.Delta) ([]byte, error) { return marshal(encodeDelta(d)) }

// DecodeDelta decodes the output of EncodeDelta.
func DecodeDelta(b []byte) (config.Delta, error) {
	var m ConfigDelta
	if err := unmarshal(b, &m); err != nil {
		return config.Delta{}, err
	}
	var dec decoder
	d := dec.delta(&m)
	return d, dec.err
}
