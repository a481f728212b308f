package wire_test

import (
	"net/http"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/wire"
)

// Guards against messages from a peer that make the decoder panic, and against
// decoded requests that change when they are encoded again.
func FuzzDecodeRun(f *testing.F) {
	r := wire.Request{ID: fleet.RequestID{1}, Method: "POST", Path: "/v1?a=b", Header: http.Header{"Accept": {"*/*"}}, Deadline: time.Unix(5, 0)}
	b, err := proto.Marshal(wire.EncodeRun(r))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0x0a, 0x01, 0x00})
	f.Fuzz(func(t *testing.T, b []byte) {
		var m wire.Run
		if proto.Unmarshal(b, &m) != nil {
			return
		}
		r, err := wire.DecodeRun(&m)
		if err != nil {
			return
		}
		if _, err := http.NewRequest(r.Method, "http://127.0.0.1:1"+r.Path, nil); err != nil {
			t.Skip("the HTTP client refuses the path, so the request is never sent")
		}
		again, err := wire.DecodeRun(wire.EncodeRun(r))
		if err != nil || !reflect.DeepEqual(r, again) {
			t.Fatalf("%+v became %+v: %v", r, again, err)
		}
	})
}

// Guards against request smuggling and header injection, in which a method, path or
// header inserts a second request or header into what is sent to the target, and
// against an invalid request ID or class.
func TestDecodeRunRejectsInvalid(t *testing.T) {
	id := make([]byte, 16)
	for name, m := range map[string]*wire.Run{
		"short id":     {RequestId: id[1:], Method: "GET", Path: "/"},
		"method":       {RequestId: id, Method: "GET /x", Path: "/"},
		"no path":      {RequestId: id, Method: "GET"},
		"path newline": {RequestId: id, Method: "GET", Path: "/ HTTP/1.1\r\nA: b"},
		"header name":  {RequestId: id, Method: "GET", Path: "/", Headers: []*wire.Header{{Name: "a b"}}},
		"header value": {RequestId: id, Method: "GET", Path: "/", Headers: []*wire.Header{{Name: "a", Value: []byte("b\r\nc: d")}}},
		"class":        {RequestId: id, Method: "GET", Path: "/", Class: 9},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := wire.DecodeRun(m)
			is.New(t).True(err != nil) // DecodeRun must return an error
		})
	}
}

// Guards against a conversion that drops a field of a usage record, and against a
// response without usage that is billed.
func TestUsageRoundTrip(t *testing.T) {
	is := is.New(t)
	u := state.UsageRecord{
		ID:       state.UsageID{Node: "a1", Incarnation: 3, Sequence: 9},
		Customer: "c", Route: "r", PromptTokens: 5, OutputTokens: 6, Ended: time.Unix(7, 0),
	}
	got, ok := wire.DecodeUsage(wire.EncodeUsage(u), "c", "r")
	is.True(ok)
	is.Equal(got, u)
	_, ok = wire.DecodeUsage(nil, "c", "r")
	is.True(!ok)
}
