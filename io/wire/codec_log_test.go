package wire_test

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"papayarock/core/log"
	"papayarock/io/wire"
)

// Guards against a conversion that drops a field of a log message.
func TestLogMessageRoundTrip(t *testing.T) {
	is := is.New(t)
	members := log.Membership{{Host: "a", Identity: 5}, {Host: "b", Learner: true}}
	want := log.Message{
		Kind: log.Append, From: "a", To: "b", FromIdentity: 1, ToIdentity: 2, Term: 3, Index: 4, LogTerm: 5,
		Reject: true, Hint: 6, Commit: 7, Sequence: 8, Members: members, Offset: 9, Total: 10, Data: []byte{11},
		Entries: []log.Entry{
			{Index: 5, Term: 3, Kind: log.Command, Command: []byte("c")},
			{Index: 6, Term: 3, Kind: log.Noop},
			{Index: 7, Term: 3, Kind: log.Members, Members: members},
		},
	}
	v := reflect.ValueOf(want)
	for i := range v.NumField() {
		is.True(!v.Field(i).IsZero()) // every field must be set for the comparison below to cover it
	}
	b, err := proto.Marshal(wire.EncodeLogMessage(want))
	is.NoErr(err)
	var m wire.LogMessage
	is.NoErr(proto.Unmarshal(b, &m))
	got, err := wire.DecodeLogMessage(&m)
	is.NoErr(err)
	is.Equal(got, want)
}

// Guards against messages of an unknown kind, and against entries of an unknown kind or
// with gaps, which the receiver would write to its log.
func TestDecodeLogMessageRejectsInvalid(t *testing.T) {
	for name, m := range map[string]*wire.LogMessage{
		"no kind":            {},
		"unknown kind":       {Kind: 99},
		"gap before entries": {Kind: wire.LogMessage_APPEND, Index: 4, Entries: []*wire.LogEntry{{Index: 6}}},
		"gap in entries":     {Kind: wire.LogMessage_APPEND, Index: 4, Entries: []*wire.LogEntry{{Index: 5}, {Index: 7}}},
		"unknown entry kind": {Kind: wire.LogMessage_APPEND, Entries: []*wire.LogEntry{{Index: 1, Kind: 9}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := wire.DecodeLogMessage(m)
			is.True(errors.Is(err, wire.ErrInvalidLogMessage))
		})
	}
}
