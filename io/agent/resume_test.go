package agent_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"papayarock/internal/fake"
	"papayarock/io/wire"
)

// Guards against an agent that leaves a response incomplete although the engine could
// resume it, and against one that reports an incomplete response as complete.
func TestEngineStreamIsResumed(t *testing.T) {
	tests := map[string]struct {
		window   time.Duration // how long the engine keeps an interrupted response
		fault    func(faults *fake.EngineFaults)
		complete bool
	}{
		"connection dropped":     {time.Minute, func(faults *fake.EngineFaults) { faults.DropAfterFrames = 5 }, true},
		"engine does not resume": {0, func(faults *fake.EngineFaults) { faults.DropAfterFrames = 5 }, false},
		"engine crashed":         {time.Minute, func(faults *fake.EngineFaults) { faults.CrashAfterFrames = 5 }, false},
		"no fault":               {0, func(*fake.EngineFaults) {}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newEngineFixture(t, &fake.Engine{ResumeWindow: tt.window})
			f.engine.UpdateFaults(tt.fault)
			req := request(1, "/v1/completions")
			req.Language, req.Idempotent = true, true
			s, err := f.links.Open(context.Background(), f.address, &wire.Open{Call: &wire.Open_Run{Run: wire.EncodeRun(req)}})
			f.is.NoErr(err)
			body := `{"model": "notes", "prompt": "stone wall", "max_tokens": 20, "stream": true}`
			f.is.NoErr(s.Send(&wire.BodyPart{Data: []byte(body), Last: true}))
			text, ended := "", false
			for !ended {
				var frame wire.Frame
				f.is.NoErr(s.Receive(&frame))
				text += string(frame.GetPart().GetData())
				ended = frame.GetEnd() != nil || frame.GetFailed() != nil
				f.is.Equal(frame.GetEnd() != nil, ended && tt.complete)
			}
			_ = s.Close()
			f.is.Equal(strings.HasSuffix(strings.TrimSpace(text), "[DONE]"), tt.complete)
			if tt.complete {
				f.is.Equal(strings.Count(text, "data: "), 23) // 20 tokens, the finish event, the usage and [DONE]
			}
		})
	}
}
