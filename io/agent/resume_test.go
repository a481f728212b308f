package agent_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"papayarock/internal/fake"
	"papayarock/io/wire"
)

// Guards against an answer that stays incomplete although the engine could resume
// it, and against an incomplete answer that is presented as complete.
func TestEngineStreamIsResumed(t *testing.T) {
	tests := map[string]struct {
		window   time.Duration
		fault    func(f *fake.EngineFaults)
		complete bool
	}{
		"connection dropped":             {time.Minute, func(f *fake.EngineFaults) { f.DropAfterFrames = 5 }, true},
		"engine does not resume":         {0, func(f *fake.EngineFaults) { f.DropAfterFrames = 5 }, false},
		"engine crashed in the answer":   {time.Minute, func(f *fake.EngineFaults) { f.CrashAfterFrames = 5 }, false},
		"no fault, for the whole answer": {0, func(*fake.EngineFaults) {}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newEngineFixture(t, &fake.Engine{ResumeWindow: tt.window})
			c.engine.UpdateFaults(tt.fault)
			q := request(1, "/v1/completions")
			q.Language, q.Idempotent = true, true
			s, err := c.links.Open(context.Background(), c.address, &wire.Open{Call: &wire.Open_Run{Run: wire.EncodeRun(q)}})
			c.is.NoErr(err)
			body := `{"model": "notes", "prompt": "stone wall", "max_tokens": 20, "stream": true}`
			c.is.NoErr(s.Send(&wire.BodyPart{Data: []byte(body), Last: true}))
			text, ended := "", false
			for !ended {
				var f wire.Frame
				c.is.NoErr(s.Receive(&f))
				text += string(f.GetPart().GetData())
				ended = f.GetEnd() != nil || f.GetFailed() != nil
				c.is.Equal(f.GetEnd() != nil, ended && tt.complete)
			}
			_ = s.Close()
			c.is.Equal(strings.HasSuffix(strings.TrimSpace(text), "[DONE]"), tt.complete)
			if tt.complete {
				c.is.Equal(strings.Count(text, "data: "), 23) // 20 tokens, the finish event, the usage and [DONE]
			}
		})
	}
}
