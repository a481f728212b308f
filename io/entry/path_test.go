package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"papayarock/internal/memlink"
	"papayarock/io/agent"
	"papayarock/io/entry"
)

// streamHandler sends n events, each after a pause, then the usage and data: [DONE].
func streamHandler(n int, pause time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range n {
			time.Sleep(pause)
			_, _ = fmt.Fprintf(w, "data: {\"token\":%d}\n\n", i)
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = fmt.Fprint(w, "data: {\"usage\":{\"prompt_tokens\":11,\"completion_tokens\":5}}\n\ndata: [DONE]\n\n")
	})
}

// streamBody returns the body that streamHandler sends.
func streamBody(n int) string {
	var b strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&b, "data: {\"token\":%d}\n\n", i)
	}
	return b.String() + "data: {\"usage\":{\"prompt_tokens\":11,\"completion_tokens\":5}}\n\ndata: [DONE]\n\n"
}

// The loss of a link, silent or closed, must not truncate a response that the target
// continues to send. The link is lost after 3, 6, 9 and so on frames.
func TestResumesOverNewLink(t *testing.T) {
	for _, closed := range []bool{false, true} {
		for frames, triggered := int64(3), true; triggered; frames += 3 {
			t.Run(fmt.Sprintf("closed %v after %d frames", closed, frames), func(t *testing.T) {
				memlink.RunInBubble(t, func(t *testing.T) {
					r := newRig(t, streamHandler(20, 100*time.Millisecond), 1)
					defer r.stop()
					f := &memlink.Fault{Close: closed}
					f.FramesLeft.Store(frames)
					r.linkFault = func(n int) *memlink.Fault {
						if n == 0 {
							return f
						}
						return nil
					}
					got := r.do(http.MethodPost, "/v1/completions", "{}")
					if got.status == http.StatusOK || got.err != nil {
						r.is.NoErr(got.err)
						r.is.Equal(got.body, streamBody(20))
					} else { // the request was refused before it was sent
						r.is.True(strings.Contains(got.body, `"not-run":`))
					}
					triggered = f.Triggered.Load()
				})
			})
			if frames > 500 {
				t.Fatal("request still takes more than 500 frames")
			}
		}
	}
}

// A response must survive a second loss of its link longer than resumeTimeout after
// the first. It would be truncated if the timeout did not start anew.
func TestResumesAgainMuchLater(t *testing.T) {
	for name, closed := range map[string]bool{"silent": false, "closed": true} {
		t.Run(name, func(t *testing.T) {
			memlink.RunInBubble(t, func(t *testing.T) {
				r := newRig(t, streamHandler(300, 100*time.Millisecond), 1)
				defer r.stop()
				faults := []*memlink.Fault{{Close: closed}, {Close: closed}}
				faults[0].FramesLeft.Store(20)
				faults[1].FramesLeft.Store(300) // about 14 frames per second
				r.linkFault = func(n int) *memlink.Fault {
					if n < len(faults) {
						return faults[n]
					}
					return nil
				}
				got := r.do(http.MethodPost, "/v1/completions", "{}")
				r.is.NoErr(got.err)
				r.is.Equal(got.body, streamBody(300))
				r.is.True(faults[1].Triggered.Load())
			})
		})
	}
}

// A truncated response must not look complete to the caller. The link is lost after
// each frame in turn, and no further link can be opened.
func TestTruncatedResponseIsNeverComplete(t *testing.T) {
	for path, want := range map[string]string{"/v1/completions": streamBody(5), "/orders/fixed": strings.Repeat("x", 100_000)} {
		for frames, triggered := int64(1), true; triggered; frames++ {
			t.Run(fmt.Sprintf("%s after %d frames", path, frames), func(t *testing.T) {
				memlink.RunInBubble(t, func(t *testing.T) {
					r := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
						if q.URL.Path != "/orders/fixed" {
							streamHandler(5, time.Millisecond).ServeHTTP(w, q)
							return
						}
						w.Header().Set("Content-Length", fmt.Sprint(len(want)))
						_, _ = w.Write([]byte(want))
					}), 1)
					defer r.stop()
					f := &memlink.Fault{Close: true}
					f.FramesLeft.Store(frames)
					r.linkFault = func(int) *memlink.Fault { r.refuseDials.Store(true); return f }
					got := r.do(http.MethodPost, path, "{}")
					triggered = f.Triggered.Load()
					complete := got.err == nil && got.status == http.StatusOK
					r.is.True(!complete || got.body == want) // incomplete response looks complete
					r.is.True(complete || triggered)         // failed without a fault
					truncatedOrRefused := got.err != nil || got.status >= 500
					r.is.True(complete || truncatedOrRefused)
					if !complete && path == "/v1/completions" {
						r.is.True(!strings.Contains(got.body, "[DONE]")) // truncated response looks complete to a caller that reads an event stream
					}
				})
			})
			if frames > 500 {
				t.Fatal("request still takes more than 500 frames")
			}
		}
	}
}

// If an engine crashes during a response, the response must not look complete to the
// caller.
func TestEngineCrash(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"chunks without end": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, "data: 1\n\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"shorter than its length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "50000")
			_, _ = w.Write(make([]byte, 40000))
			panic(http.ErrAbortHandler)
		},
		"stream without done": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = fmt.Fprint(w, "data: 1\n\n")
		},
		"neither length nor chunks": func(w http.ResponseWriter, _ *http.Request) {
			c, b, _ := http.NewResponseController(w).Hijack()
			_, _ = b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart")
			_ = b.Flush()
			_ = c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			memlink.RunInBubble(t, func(t *testing.T) {
				r := newRig(t, h, 1)
				defer r.stop()
				got := r.do(http.MethodPost, "/v1/completions", "{}")
				r.is.True(got.err != nil || got.status == http.StatusBadGateway) // truncated response looks complete
			})
		})
	}
}

// An API key must not appear at a target, in a log or in a dump, even if the caller
// also sends it in other header fields or in the URL. A target must not be able to
// set credentials in the response.
func TestKeyIsNotLeaked(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		var mu sync.Mutex
		var seen strings.Builder
		r := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			_, _ = fmt.Fprintf(&seen, "%s %s %v\n", q.Method, q.RequestURI, q.Header)
			w.Header().Set("Authorization", "Bearer of-the-target")
			w.Header().Set("Proxy-Authenticate", "Basic")
		}), 1)
		defer r.stop()
		got := r.do(http.MethodPost, "/orders", "x", "X-Api-Key", secret, "X-Mixed", "a "+secret+" b", "Papayarock-Customer", "other", "X-Plain", "kept")
		r.is.NoErr(got.err)
		r.is.Equal(got.status, http.StatusOK)
		r.is.Equal(got.header.Get("Authorization"), "")
		r.is.Equal(got.header.Get("Proxy-Authenticate"), "")
		r.is.Equal(len(got.header.Get("Request-Id")), 32)
		r.is.Equal(r.do(http.MethodGet, "/orders?key="+secret, "").status, http.StatusBadRequest)
		r.is.Equal(r.do(http.MethodPost, "/orders", "x", "Authorization", "Bearer "+secret+"x").status, http.StatusUnauthorized)
		dump := fmt.Sprintf("%+v %+v", r.entry.Dump(), r.agents[0].Dump())
		r.is.True(strings.Contains(seen.String(), "X-Plain:[kept]"))
		r.is.True(strings.Contains(seen.String(), "Papayarock-Customer:[klang]"))
		for place, text := range map[string]string{"target": seen.String(), "log": r.log.text(), "dump": dump} {
			if strings.Contains(text, secret) {
				t.Errorf("key in %s: %s", place, text)
			}
		}
	})
}

// A graceful stop of entry and agents must not truncate running responses. Requests
// that arrive during the stop must get a complete response or a refusal that states
// that they have not run.
func TestGracefulStopUnderLoad(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		r := newRig(t, streamHandler(30, 100*time.Millisecond), 2)
		defer r.stop()
		responses := make(chan response, 200)
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 40 * time.Millisecond)
				responses <- r.do(http.MethodPost, "/v1/completions", "{}")
			})
		}
		time.Sleep(time.Second)
		r.is.Equal(r.do(http.MethodGet, entry.ReadyPath, "").status, http.StatusOK)
		r.stopAgents() // stops all agents
		done := make(chan struct{})
		go func() { defer close(done); r.entry.Stop(t.Context()) }()
		synctest.Wait()
		r.is.Equal(r.do(http.MethodGet, entry.ReadyPath, "").status, http.StatusServiceUnavailable)
		<-done
		wg.Wait()
		close(responses)
		complete, refused := 0, 0
		for got := range responses {
			switch {
			case got.err == nil && got.body == streamBody(30):
				complete++
			case strings.Contains(got.body, `"not-run":"true"`):
				refused++
			default:
				t.Errorf("truncated response: status %d, body %q, error %v", got.status, got.body, got.err)
			}
		}
		t.Logf("%d complete, %d refused", complete, refused)
		r.is.True(complete >= 24)
	})
}

// A stopping agent must wait until a response whose link went silent shortly before
// has been resumed and completed.
func TestStopWaitsForResume(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		r := newRig(t, streamHandler(20, 100*time.Millisecond), 1)
		defer r.stop()
		f := &memlink.Fault{}
		f.FramesLeft.Store(10) // in the middle of the response
		r.linkFault = func(n int) *memlink.Fault {
			if n == 0 {
				return f
			}
			return nil
		}
		got := make(chan response, 1)
		go func() { got <- r.do(http.MethodPost, "/v1/completions", "{}") }()
		time.Sleep(time.Second)
		r.is.True(f.Triggered.Load())
		r.stopAgents()
		resumed := <-got
		r.is.NoErr(resumed.err)
		r.is.Equal(resumed.body, streamBody(20))
	})
}

// An idempotent request must be cancelled at the target after its caller has
// disconnected, since nobody needs the response. A non-idempotent request must not
// be, so that its outcome is known.
func TestCallerDisconnects(t *testing.T) {
	for path, cancelled := range map[string]bool{"/reads/1": true, "/orders/1": false} {
		t.Run(path, func(t *testing.T) {
			memlink.RunInBubble(t, func(t *testing.T) {
				ended := make(chan bool, 1)
				r := newRig(t, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
					_, _ = io.ReadAll(q.Body) // net/http detects a closed connection only after the body was read
					select {
					case <-q.Context().Done():
						ended <- true
					case <-time.After(10 * time.Second): // before the agent cancels it as orphaned
						ended <- false
					}
				}), 1)
				defer r.stop()
				r.client.Timeout = time.Second
				r.is.True(r.do(http.MethodPost, path, "x").err != nil)
				r.is.Equal(<-ended, cancelled)
			})
		})
	}
}

// A caller that does not read must stop the response at the target by backpressure,
// instead of making entry or agent buffer it. When the caller reads again, it must
// get the rest of the response.
func TestBackpressure(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		const size = 20 << 20
		sent := 0
		r := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for sent < size {
				n, err := w.Write(make([]byte, 16<<10))
				sent += n
				if err != nil {
					return
				}
			}
		}), 1)
		defer r.stop()
		req, err := http.NewRequest(http.MethodGet, "http://entry/reads/large", nil)
		r.is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+secret)
		resp, err := r.client.Do(req)
		r.is.NoErr(err)
		synctest.Wait()
		r.is.True(sent < 1<<20) // backpressure reached the target
		n := 0
		buf := make([]byte, 64<<10)
		for {
			m, err := resp.Body.Read(buf)
			n += m
			if err != nil {
				break
			}
		}
		r.is.Equal(n, size)
		r.is.NoErr(resp.Body.Close())
		d := r.agents[0].Dump().(agent.Dump)
		r.is.True(d.RetainedBytes < 1<<20)
	})
}

// An agent must cancel a request at the target if the entry has closed the link and
// does not come back.
func TestOrphanedRequestIsCancelled(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		ended := make(chan bool, 1)
		r := newRig(t, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
			_, _ = io.ReadAll(q.Body)
			select {
			case <-q.Context().Done():
				ended <- true
			case <-time.After(50 * time.Second): // earlier than the deadline of the request
				ended <- false
			}
		}), 1)
		defer r.stop()
		go func() { _ = r.do(http.MethodPost, "/reads/1", "x") }()
		time.Sleep(time.Second)
		r.refuseDials.Store(true)
		r.entry.Links.Close()
		r.is.True(<-ended)
	})
}

// The entry must report the usage of each request once, with the sequence number
// given by the agent, so that it is not lost or billed twice.
func TestUsage(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		r := newRig(t, streamHandler(3, 0), 1)
		defer r.stop()
		c := &memoryControl{}
		r.entry.Control = c
		for range 5 {
			r.is.Equal(r.do(http.MethodPost, "/v1/completions", "{}").status, http.StatusOK)
		}
		ctx := t.Context()
		done := make(chan struct{})
		go func() { defer close(done); _ = r.entry.Serve(ctx) }()
		time.Sleep(5 * time.Second)
		c.mu.Lock()
		r.is.Equal(len(c.usage), 5)
		for id, u := range c.usage {
			r.is.True(id.Sequence >= 1 && id.Sequence <= 5)
			r.is.Equal(u.PromptTokens, uint64(11))
			r.is.Equal(u.OutputTokens, uint64(5))
			r.is.Equal(string(u.Customer)+" "+u.Route, "klang chat")
		}
		c.mu.Unlock()
	})
}
