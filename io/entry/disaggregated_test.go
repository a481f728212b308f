package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"papayarock/core/fleet"
	"papayarock/internal/fake"
	"papayarock/internal/memlink"
	"papayarock/io/agent"
	"papayarock/io/entry"
	"papayarock/io/serving"
)

// disaggregatedEngines returns one prefill engine and two decode engines.
func disaggregatedEngines() []*fake.Engine {
	engines := newEngines(3)
	for i, e := range engines {
		e.Role, e.KVBytesPerToken, e.EventGapEvery = fleet.Decode, 100, 0
		if i == 0 {
			e.Role = fleet.Prefill
		}
	}
	return engines
}

// usageRecordCount returns the number of usage records created by the agents.
func (r *rig) usageRecordCount() (n uint64) {
	for _, a := range r.agents {
		n += a.Dump().(agent.Dump).UsageSequence
	}
	return n
}

// runCount returns how often the engines ran a request.
func runCount(engines []*fake.Engine, id string) (n int) {
	for _, e := range engines {
		n += e.Runs(id)
	}
	return n
}

// The prefill of a long prompt must run at the prefill engine, and its KV cache must
// be transferred to the decode engine. The request must run and be billed only once.
func TestDisaggregatedServing(t *testing.T) {
	for _, prefix := range []string{"", "/letters"} {
		t.Run("route "+prefix, func(t *testing.T) {
			memlink.RunInBubble(t, func(t *testing.T) {
				engines := disaggregatedEngines()
				r := engineRig(t, engines...)
				defer r.stop()
				p, stop := r.runPolicy(*affinitySeed)
				defer stop()
				time.Sleep(time.Second)
				prompt := uniqueWords("c", 1024)
				_, got := r.requestCompletionOn(prefix, prompt, 5)
				r.is.NoErr(got.err)
				r.is.True(isComplete(got.body, prompt, 5))
				id := got.header.Get("Request-Id")
				r.is.Equal(engines[0].Counts().Exports, 1)
				r.is.Equal(engines[1].Counts().Imports+engines[2].Counts().Imports, 1)
				r.is.Equal(cachedTokens(engines), 1024) // the decode engine repeated the prefill
				r.is.Equal(engines[0].Runs(id), 0)
				r.is.Equal(runCount(engines, id), 1)
				r.is.Equal(r.usageRecordCount(), uint64(1))
				r.is.Equal(p.Dump().(serving.Dump).Moves, uint64(1))
				_, got = r.requestCompletionOn(prefix, "short", 1) // short prompts run completely on the prefill engine
				r.is.NoErr(got.err)
				r.is.Equal(engines[0].Runs(got.header.Get("Request-Id")), 1)
			})
		})
	}
}

// A failed prefill or KV cache transfer must not cause a truncated or wrong response,
// a second run or double billing.
func TestRemotePrefillFails(t *testing.T) {
	set := func(f func(*fake.EngineFaults)) func(*fake.Engine) { return func(e *fake.Engine) { e.UpdateFaults(f) } }
	for name, c := range map[string]struct {
		prefill, decode func(*fake.Engine)
		mayFail         bool // whether a non-idempotent request may be refused
	}{
		"prefill engine crashes in export": {prefill: set(func(f *fake.EngineFaults) { f.CrashInExport = true })},
		"prefill engine loses KV cache":    {prefill: set(func(f *fake.EngineFaults) { f.LoseKV = true })},
		"prefill engine is down":           {prefill: (*fake.Engine).Crash},
		"prefill engine is silent":         {prefill: set(func(f *fake.EngineFaults) { f.Silent = true })},
		"prefill engine fails":             {prefill: set(func(f *fake.EngineFaults) { f.FailFast = true })},
		"export takes too long":            {prefill: func(e *fake.Engine) { e.KVTime = time.Minute }},
		"decode engine has no room":        {decode: func(e *fake.Engine) { e.CacheBlocks = 0 }},
		"decode engine crashes in import":  {decode: set(func(f *fake.EngineFaults) { f.CrashInImport = true }), mayFail: true},
	} {
		for _, prefix := range []string{"", "/letters"} {
			t.Run(name+", route "+prefix, func(t *testing.T) {
				memlink.RunInBubble(t, func(t *testing.T) {
					engines := disaggregatedEngines()
					if c.prefill != nil {
						c.prefill(engines[0])
					}
					if c.decode != nil {
						c.decode(engines[1])
					}
					r := engineRig(t, engines...)
					defer r.stop()
					_, stop := r.runPolicy(*affinitySeed)
					defer stop()
					r.entry.Retrier = entry.MaxAttempts(3)
					time.Sleep(time.Second)
					answered := uint64(0)
					for i := range 4 { // enough to select both decode engines
						prompt := uniqueWords(fmt.Sprintf("c%d.", i), 600)
						_, got := r.requestCompletionOn(prefix, prompt, 5)
						if got.status != http.StatusOK && c.mayFail && prefix != "" {
							r.is.True(strings.Contains(got.body, `"not-run":"unknown"`))
							continue
						}
						r.is.NoErr(got.err)
						r.is.Equal(got.status, http.StatusOK)
						r.is.True(isComplete(got.body, prompt, 5))
						r.is.Equal(runCount(engines, got.header.Get("Request-Id")), 1)
						answered++
						r.is.Equal(r.usageRecordCount(), answered)
					}
				})
			})
		}
	}
}

// The claim of a request with an Idempotency-Key must name the decode engine, which
// gives the response, so that a repeated request can attach to it. A repeated request
// must not run the prefill again.
func TestDisaggregatedClaimedRequest(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		engines := disaggregatedEngines()
		r := engineRig(t, engines...)
		defer r.stop()
		control := &memoryControl{}
		r.entry.Control = control
		_, stop := r.runPolicy(*affinitySeed)
		defer stop()
		time.Sleep(time.Second)
		body := fmt.Sprintf(`{"prompt": %q, "max_tokens": 5}`, uniqueWords("c", 600))
		send := func() response {
			return r.do(http.MethodPost, "/letters/v1/completions", body, "Idempotency-Key", "letter 7")
		}
		first := make(chan response)
		go func() { first <- send() }()
		time.Sleep(85 * time.Millisecond) // the prefill takes 75 ms, so decoding has started
		attached, got := send(), <-first
		r.is.NoErr(got.err)
		r.is.Equal(got.status, http.StatusOK)
		r.is.Equal(attached.body, got.body)
		time.Sleep(time.Second)
		r.is.Equal(send().body, got.body)
		r.is.Equal(runCount(engines, got.header.Get("Request-Id")), 1)
		r.is.Equal(engines[1].Counts().Completed+engines[2].Counts().Completed, 1)
		for _, held := range control.claims {
			r.is.True(held.claim.Target != "t1")
		}
		r.is.Equal(r.usageRecordCount(), uint64(1))
		r.is.Equal(engines[0].Counts().Started, 1) // a repeated request ran a prefill
	})
}

// KV cache must not be transferred between regions, and the bytes of prompt and
// response that cross regions must be counted. The decode engine in the region of the
// prefill engine is down, so one in another region processes the prompt and responds.
func TestDisaggregatedAcrossRegions(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		engines := disaggregatedEngines()
		var targets []agentTarget
		for i, e := range engines {
			place := []string{"klang", "klang", "kinabalu"}[i]
			targets = append(targets, agentTarget{e, fleet.Target{
				Kind: fleet.Engine, Role: e.Role, Region: fleet.Region(place), DataCentre: fleet.DataCentre(place), Slots: 8,
			}})
		}
		r := newRigWithTargets(t, targets...)
		defer r.stop()
		p, stop := r.runPolicy(*affinitySeed)
		defer stop()
		time.Sleep(time.Second)
		prompt := uniqueWords("c", 600)
		_, got := r.requestCompletion(prompt, 5)
		r.is.NoErr(got.err)
		r.is.Equal(len(p.Dump().(serving.Dump).Crossed), 0)
		engines[1].Crash()
		r.entry.Retrier = entry.MaxAttempts(2) // the retry budget of the policy allows no retry this early
		_, got = r.requestCompletion(prompt, 5)
		r.is.NoErr(got.err)
		r.is.True(isComplete(got.body, prompt, 5))
		r.is.Equal(engines[2].Counts().Imports, 0)
		kv := 592 * engines[0].KVBytesPerToken // whole blocks of 16 tokens
		crossed := p.Dump().(serving.Dump).Crossed["klang"]
		r.is.True(crossed > uint64(len(prompt)) && crossed < uint64(kv)) // not just the bytes of prompt and response
	})
}

// If the decode engine crashes during a response, the response must not look
// complete, and the request must not run again or be billed.
func TestDecodeEngineCrashesInResponse(t *testing.T) {
	for _, prefix := range []string{"", "/letters"} {
		memlink.RunInBubble(t, func(t *testing.T) {
			engines := disaggregatedEngines()
			for _, e := range engines[1:] {
				e.UpdateFaults(func(f *fake.EngineFaults) { f.CrashAfterFrames = 2 })
			}
			r := engineRig(t, engines...)
			defer r.stop()
			_, stop := r.runPolicy(*affinitySeed)
			defer stop()
			time.Sleep(time.Second)
			_, got := r.requestCompletionOn(prefix, uniqueWords("c", 600), 5)
			r.is.True(got.err != nil)
			r.is.True(!strings.Contains(got.body, "[DONE]"))
			r.is.Equal(engines[1].Counts().Started+engines[2].Counts().Started, 1)
			r.is.Equal(r.usageRecordCount(), uint64(0))
		})
	}
}

// The loss of a link during disaggregated serving must not cause a truncated or wrong
// response, a second run or double billing. Each of the three links opened, between
// the entry and the two agents and between the agents, is lost after each frame in
// turn.
func TestDisaggregatedOverBrokenLinks(t *testing.T) {
	for _, closed := range []bool{false, true} {
		for link := range 3 {
			for frames, triggered := int64(1), true; triggered; frames++ {
				t.Run(fmt.Sprintf("link %d, closed %v after %d frames", link, closed, frames), func(t *testing.T) {
					memlink.RunInBubble(t, func(t *testing.T) {
						engines := disaggregatedEngines()
						r := engineRig(t, engines[:2]...)
						defer r.stop()
						r.usePolicy(*affinitySeed)
						f := &memlink.Fault{Close: closed}
						f.FramesLeft.Store(frames)
						r.linkFault = func(n int) *memlink.Fault {
							if n == link {
								return f
							}
							return nil
						}
						prompt := uniqueWords("c", 600)
						_, got := r.requestCompletion(prompt, 5)
						triggered = f.Triggered.Load()
						if got.status == http.StatusOK {
							r.is.NoErr(got.err)
							r.is.True(isComplete(got.body, prompt, 5))
							r.is.Equal(r.usageRecordCount(), uint64(1))
						} else { // the request was refused before it was sent
							r.is.True(strings.Contains(got.body, `"not-run":`))
						}
						r.is.True(runCount(engines, got.header.Get("Request-Id")) <= 1)
					})
				})
				if frames > 500 {
					t.Fatal("request still takes more than 500 frames")
				}
			}
		}
	}
}
