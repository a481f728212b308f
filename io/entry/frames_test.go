package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cespare/xxhash/v2"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/internal/memlink"
	"papayarock/io/entry"
	"papayarock/io/link"
	"papayarock/io/wire"
)

func headFrame(id []byte, status uint32, header ...string) *wire.Frame {
	h := &wire.Head{RequestId: id, Status: status}
	for i := 0; i < len(header); i += 2 {
		h.Headers = append(h.Headers, &wire.Header{Name: header[i], Value: []byte(header[i+1])})
	}
	return &wire.Frame{Frame: &wire.Frame_Head{Head: h}}
}

func partFrame(id []byte, offset uint64, data string) *wire.Frame {
	return &wire.Frame{Frame: &wire.Frame_Part{Part: &wire.Part{RequestId: id, Offset: offset, Data: []byte(data)}}}
}

func endFrame(id []byte, body string) *wire.Frame {
	return &wire.Frame{Frame: &wire.Frame_End{End: &wire.End{RequestId: id, Length: uint64(len(body)), Checksum: xxhash.Sum64String(body)}}}
}

// startScriptedAgent replaces the agents of the rig by one that responds to each
// Run with the frames of script and fails each Resume.
func (r *rig) startScriptedAgent(script func(id []byte) []*wire.Frame) (stop func()) {
	l := memlink.NewListener()
	s := &link.Server{Listener: l}
	link.Handle(s, func(_ context.Context, s *link.Stream, open *wire.Open) {
		if m := open.GetResume(); m != nil {
			_ = s.Send(&wire.Frame{Frame: &wire.Frame_Failed{Failed: &wire.Failed{RequestId: m.GetRequestId()}}})
			return
		}
		for {
			var p wire.BodyPart
			if s.Receive(&p) != nil {
				return
			}
			if p.GetLast() {
				break
			}
		}
		for _, f := range script(open.GetRun().GetRequestId()) {
			_ = s.Queue(f)
		}
		_ = s.Flush()
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	r.links = []*memlink.Listener{l}
	snapshot := r.snapshot(2, key())
	snapshot.Targets = []fleet.Target{{Name: "t1", Pool: "app", Phase: fleet.Ready, Agent: netip.MustParseAddrPort("127.0.0.1:1")}}
	r.index.Store(config.NewIndex(snapshot))
	return func() {
		cancel()
		r.is.NoErr(<-done)
	}
}

// Repeated frames and frames of other requests must not get into a response.
func TestCrossedFrames(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		r := newRig(t, &countingTarget{}, 0)
		defer r.stop()
		defer r.startScriptedAgent(func(id []byte) []*wire.Frame {
			other := make([]byte, 16)
			return []*wire.Frame{
				headFrame(other, 500), headFrame(id, 200), partFrame(other, 0, "theirs"), partFrame(id, 0, "mine "), endFrame(other, "theirs"),
				partFrame(id, 0, "mine "), partFrame(id, 3, "e alone"), partFrame(other, 12, "x"), endFrame(id, "mine alone"), endFrame(other, ""),
			}
		})()
		got := r.do(http.MethodGet, "/reads", "")
		r.is.Equal(got.status, http.StatusOK)
		r.is.Equal(got.body, "mine alone")
		r.is.Equal(r.entry.Dump().(entry.Dump).StrayFrames, uint64(4))
	})
}

// Guards against an entry that forwards a status that can't be the status of a final
// response, and against one that takes such a response for a deadline that has passed.
func TestInvalidStatus(t *testing.T) {
	for name, status := range map[string]uint32{"000": 0, "099": 99, "101": 101, "199": 199, "600": 600, "999": 999, "1000": 1000} {
		for _, path := range []string{"/reads", "/orders"} {
			t.Run(name+path, func(t *testing.T) {
				memlink.RunInBubble(t, func(t *testing.T) {
					r := newRig(t, &countingTarget{}, 0)
					defer r.stop()
					defer r.startScriptedAgent(func(id []byte) []*wire.Frame {
						return []*wire.Frame{headFrame(id, status), partFrame(id, 0, "one"), endFrame(id, "one")}
					})()
					got := r.do(http.MethodPost, path, "")
					r.is.Equal(got.status, http.StatusBadGateway)
					r.is.True(strings.Contains(got.body, `"type":"target-failed"`))
					r.is.True(strings.Contains(got.body, `"not-run":"unknown"`))
					r.is.True(strings.Contains(r.log.text(), fmt.Sprintf("status %03d", status))) // the log line names the value
				})
			})
		}
	}
}

// Guards against an idempotent request that is not sent to another target, and against
// bytes of the invalid response in the one that the caller gets.
func TestInvalidStatusIsRepeated(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		r := newRig(t, &countingTarget{}, 0)
		defer r.stop()
		var attempts atomic.Int32
		defer r.startScriptedAgent(func(id []byte) []*wire.Frame {
			if attempts.Add(1) == 1 {
				return []*wire.Frame{headFrame(id, 600), partFrame(id, 0, "one"), endFrame(id, "one")}
			}
			return []*wire.Frame{headFrame(id, 200), partFrame(id, 0, "second"), endFrame(id, "second")}
		})()
		snapshot := r.snapshot(3, key())
		for _, name := range []fleet.TargetName{"t1", "t2"} {
			snapshot.Targets = append(snapshot.Targets, fleet.Target{Name: name, Pool: "app", Phase: fleet.Ready, Agent: netip.MustParseAddrPort("127.0.0.1:1")})
		}
		r.index.Store(config.NewIndex(snapshot))
		got := r.do(http.MethodPost, "/reads", "")
		r.is.NoErr(got.err)
		r.is.Equal(got.status, http.StatusOK)
		r.is.Equal(got.body, "second")
		r.is.Equal(attempts.Load(), int32(2))
	})
}

// A response of which the last frames are missing, or of which one byte is changed,
// must not look complete to the caller.
func TestTruncatedAfterEachFrame(t *testing.T) {
	for name, parts := range map[string][]string{
		"with length": {"stone ", "seven ", "is loose"},
		"stream":      {"data: 1\n\n", "data: 2\n\n", "data: [DONE]\n\n"},
		"chunks":      {"stone ", "seven ", "is loose"},
	} {
		body := strings.Join(parts, "")
		script := func(id []byte) []*wire.Frame {
			head := headFrame(id, 200, "Content-Type", "text/event-stream")
			if name == "with length" {
				head = headFrame(id, 200, "Content-Length", fmt.Sprint(len(body)))
			}
			frames, offset := []*wire.Frame{head}, 0
			for _, p := range parts {
				frames = append(frames, partFrame(id, uint64(offset), p))
				offset += len(p)
			}
			return append(frames, endFrame(id, body))
		}
		for n := range len(parts) + 3 {
			t.Run(fmt.Sprintf("%s, %d frames", name, n), func(t *testing.T) {
				memlink.RunInBubble(t, func(t *testing.T) {
					r := newRig(t, &countingTarget{}, 0)
					defer r.stop()
					defer r.startScriptedAgent(func(id []byte) []*wire.Frame {
						frames := script(id)
						if n == len(frames) { // all frames, but one byte changed
							frames[1].GetPart().Data[0]++
							return frames
						}
						return frames[:n]
					})()
					got := r.do(http.MethodGet, "/reads", "")
					r.is.True(got.err != nil || got.status == http.StatusBadGateway) // looks complete to an HTTP/1 client
					r.is.True(!strings.Contains(got.body, "[DONE]"))                 // looks complete to a caller that reads an event stream
				})
			})
		}
	}
}

// Requests over HTTP/2 must be served like those over HTTP/1. A truncated response
// must end the HTTP/2 stream with an error.
func TestHTTP2(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		r := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			_, _ = w.Write(make([]byte, 100_000))
			if q.URL.Path == "/reads/cut" {
				panic(http.ErrAbortHandler)
			}
		}), 1)
		defer r.stop()
		tr := r.client.Transport.(*http.Transport)
		tr.Protocols = new(http.Protocols)
		tr.Protocols.SetUnencryptedHTTP2(true)
		got := r.do(http.MethodGet, "/reads/whole", "")
		r.is.NoErr(got.err)
		r.is.Equal(len(got.body), 100_000)
		r.is.True(r.do(http.MethodGet, "/reads/cut", "").err != nil)
	})
}
