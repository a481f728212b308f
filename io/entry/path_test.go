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

// streamHandler sends n events, each after a pause, and then data: [DONE].
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

func streamBody(n int) string {
	var b strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&b, "data: {\"token\":%d}\n\n", i)
	}
	return b.String() + "data: {\"usage\":{\"prompt_tokens\":11,\"completion_tokens\":5}}\n\ndata: [DONE]\n\n"
}

// A silent or closed link must not truncate a response that the target continues to
// send. The link fails after every third frame in turn.
func TestResumesOverNewLink(t *testing.T) {
	for _, closed := range []bool{false, true} {
		for cut, hit := int64(3), true; hit; cut += 3 {
			t.Run(fmt.Sprintf("closed %v after %d frames", closed, cut), func(t *testing.T) {
				memlink.RunInBubble(t, func(t *testing.T) {
					r := newRig(t, streamHandler(20, 100*time.Millisecond), 1)
					defer r.stop()
					f := &memlink.Fault{Close: closed}
					f.FramesLeft.Store(cut)
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
					} else { // only if the request was never sent
						r.is.True(strings.Contains(got.body, `"not-run":`))
					}
					hit = f.Triggered.Load()
				})
			})
			if cut > 500 {
				t.Fatal("fault was never passed")
			}
		}
	}
}

// A response must not be truncated at the second loss of its link because the time
// since it was resumed is counted as time without a link.
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

// A truncated response must not look complete to the client. The agent is lost
// permanently after each frame in turn.
func TestTruncatedResponseIsNeverComplete(t *testing.T) {
	for path, want := range map[string]string{"/v1/completions": streamBody(5), "/orders/fixed": strings.Repeat("x", 100_000)} {
		for cut, hit := int64(1), true; hit; cut++ {
			t.Run(fmt.Sprintf("%s after %d frames", path, cut), func(t *testing.T) {
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
					f.FramesLeft.Store(cut)
					r.linkFault = func(int) *memlink.Fault { r.refuseDials.Store(true); return f }
					got := r.do(http.MethodPost, path, "{}")
					hit = f.Triggered.Load()
					whole := got.err == nil && got.status == http.StatusOK
					r.is.True(!whole || got.body == want) // presented as complete
					r.is.True(whole || hit)               // failed without a fault
					cutBody := got.err != nil || got.status >= 500
					r.is.True(whole || cutBody)
					if !whole && path == "/v1/completions" {
						r.is.True(!strings.Contains(got.body, "[DONE]")) // looks complete to a client of event streams
					}
				})
			})
			if cut > 500 {
				t.Fatal("fault was never passed")
			}
		}
	}
}

// If an engine crashes during a response, the response must not be presented as
// complete.
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
				r.is.True(got.err != nil || got.status == http.StatusBadGateway) // presented as complete
			})
		})
	}
}

// An API key must not appear at a target, in a log or in a dump.
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

// A graceful stop of entry and agent must not truncate running responses. Requests
// that arrive during the stop must be served or clearly refused.
func TestGracefulStopUnderLoad(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		r := newRig(t, streamHandler(30, 100*time.Millisecond), 2)
		defer r.stop()
		replies := make(chan reply, 200)
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 40 * time.Millisecond)
				replies <- r.do(http.MethodPost, "/v1/completions", "{}")
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
		close(replies)
		whole, refused := 0, 0
		for got := range replies {
			switch {
			case got.err == nil && got.body == streamBody(30):
				whole++
			case strings.Contains(got.body, `"not-run":"true"`):
				refused++
			default:
				t.Errorf("cut: %d %q %v", got.status, got.body, got.err)
			}
		}
		t.Logf("whole %d, refused %d", whole, refused)
		r.is.True(whole >= 24)
	})
}

// A stop of the agent must not truncate a response whose link went silent shortly
// before.
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
		got := make(chan reply, 1)
		go func() { got <- r.do(http.MethodPost, "/v1/completions", "{}") }()
		time.Sleep(time.Second)
		r.is.True(f.Triggered.Load())
		r.stopAgents()
		answer := <-got
		r.is.NoErr(answer.err)
		r.is.Equal(answer.body, streamBody(20))
	})
}

// An idempotent request must be cancelled at the engine after its client has
// disconnected; a non-idempotent request must not be.
func TestClientDisconnects(t *testing.T) {
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

// A slow client must not make a process buffer a response without bound, and the
// bound must not block the rest of the response for good.
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

// A request must be cancelled at the target if its entry is gone.
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

// Usage must not be lost or counted twice, and must have the sequence numbers of the
// agent.
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
