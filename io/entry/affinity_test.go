package entry_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"papayarock/core/fleet"
	"papayarock/internal/fake"
	"papayarock/internal/memlink"
	"papayarock/io/entry"
	"papayarock/io/serving"
)

var (
	affinitySeed   = flag.Uint64("affinity-seed", 1, "seed of the workload of TestAffinity")
	affinityLength = flag.Duration("affinity-length", 12*time.Second, "duration of the workload of TestAffinity in virtual time")
)

// maxTimeToFirstToken is the objective for the 95th percentile of the time to first
// token, as stated in the design document.
const maxTimeToFirstToken = 330 * time.Millisecond

// cacheBlindPicker selects targets without regard to their prefix caches.
type cacheBlindPicker struct{ *serving.Policy }

func (p cacheBlindPicker) Pick(r entry.Request, targets []fleet.Target) (fleet.Target, bool) {
	r.PrefixHashes = nil
	return p.Policy.Pick(r, targets)
}

// engineRig returns a rig with one target per engine, all in one data centre.
func engineRig(t *testing.T, engines ...*fake.Engine) *rig {
	var targets []agentTarget
	for _, e := range engines {
		targets = append(targets, agentTarget{e, fleet.Target{
			Kind: fleet.Engine, Role: e.Role, Region: "klang", DataCentre: "klang", Slots: 8,
		}})
	}
	return newRigWithTargets(t, targets...)
}

// usePolicy installs a serving policy without its periodic work, such as polls of
// engines.
func (r *rig) usePolicy(seed uint64) *serving.Policy {
	p := serving.New(serving.Options{
		Region: "klang", DataCentre: "klang", Links: r.entry.Links,
		Random: rand.New(rand.NewPCG(seed, 1)), Log: hclog.NewNullLogger(),
	})
	p.ApplyConfiguration(r.index.Load())
	r.entry.Picker, r.entry.Admitter, r.entry.Retrier = p, p, p
	return p
}

// runPolicy installs a serving policy and runs its periodic work until the returned
// function is called.
func (r *rig) runPolicy(seed uint64) (*serving.Policy, func()) {
	p := r.usePolicy(seed)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = p.Serve(ctx) })
	return p, func() { cancel(); wg.Wait() }
}

// uniqueWords returns n different words that do not occur in texts of other names.
func uniqueWords(name string, n int) string {
	var b strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&b, "%s%d ", name, i)
	}
	return b.String()
}

// requestCompletion requests a streamed completion and returns the time to its
// first byte, which counts as the time to first token.
func (r *rig) requestCompletion(prompt string, tokens int) (ttft time.Duration, got response) {
	return r.requestCompletionOn("", prompt, tokens)
}

// requestCompletionOn is requestCompletion on the route with the given prefix.
func (r *rig) requestCompletionOn(prefix, prompt string, tokens int) (ttft time.Duration, got response) {
	body := fmt.Sprintf(`{"prompt": %q, "max_tokens": %d, "stream": true}`, prompt, tokens)
	req, err := http.NewRequest(http.MethodPost, "http://entry"+prefix+"/v1/completions", strings.NewReader(body))
	r.is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+secret)
	sent := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	var one [1]byte
	if _, err := io.ReadFull(resp.Body, one[:]); err != nil {
		return 0, response{status: resp.StatusCode, err: err}
	}
	ttft = time.Since(sent)
	rest, err := io.ReadAll(resp.Body)
	return ttft, response{resp.StatusCode, resp.Header, string(one[:]) + string(rest), err}
}

// isComplete reports whether a streamed response has all tokens of the completion.
func isComplete(body, prompt string, tokens int) bool {
	var text strings.Builder
	for line := range strings.Lines(body) {
		if _, rest, ok := strings.Cut(line, `"text":"`); ok {
			token, _, _ := strings.Cut(rest, `"`)
			text.WriteString(token)
		}
	}
	return text.String() == fake.Completion(prompt, tokens) && strings.HasSuffix(body, "data: [DONE]\n\n")
}

// workload generates requests at random times (a Poisson process). Each prompt
// begins with one of several shared contexts.
type workload struct {
	contexts  int
	context   int // words in each shared context
	tokens    int // output tokens of each response
	perSecond float64
	length    time.Duration
}

// run sends the requests and returns their times to first token in ascending order.
func (w workload) run(r *rig, seed uint64) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex
	var ttfts []time.Duration
	var wg sync.WaitGroup
	for end := time.Now().Add(w.length); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / w.perSecond * float64(time.Second)))
		prompt := uniqueWords(fmt.Sprintf("c%d.", random.IntN(w.contexts)), w.context) + uniqueWords(fmt.Sprintf("q%d.", random.Uint32()), 32)
		wg.Go(func() {
			ttft, got := r.requestCompletion(prompt, w.tokens)
			mu.Lock()
			defer mu.Unlock()
			if got.err != nil || got.status != http.StatusOK || !isComplete(got.body, prompt, w.tokens) {
				r.t.Errorf("incomplete completion: status %d, error %v, body %.200q", got.status, got.err, got.body)
			}
			ttfts = append(ttfts, ttft)
		})
	}
	wg.Wait()
	slices.Sort(ttfts)
	return ttfts
}

// newEngines returns n engines for both prefill and decode, each with a prefix cache
// of 640 blocks of 16 tokens.
func newEngines(n int) []*fake.Engine {
	engines := make([]*fake.Engine, n)
	for i := range engines {
		engines[i] = &fake.Engine{
			PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 1500, CacheBlocks: 640,
			EventLag: 300 * time.Millisecond, EventGapEvery: 50,
		}
	}
	return engines
}

func cachedTokens(engines []*fake.Engine) (n int) {
	for _, e := range engines {
		n += e.Counts().CachedTokens
	}
	return n
}

// Requests must be sent to an engine that has their prefix cached, as known from
// cache events. Each engine can cache a third of the contexts, so without regard to
// the caches the first token is late.
func TestAffinity(t *testing.T) {
	seed := *affinitySeed
	var mean [2]time.Duration
	for i, blind := range []bool{true, false} {
		memlink.RunInBubble(t, func(t *testing.T) {
			engines := newEngines(4)
			r := engineRig(t, engines...)
			defer r.stop()
			p, stop := r.runPolicy(seed)
			defer stop()
			if blind {
				r.entry.Picker = cacheBlindPicker{p}
			}
			time.Sleep(time.Second)
			ttfts := workload{contexts: 24, context: 1024, tokens: 8, perSecond: 12, length: *affinityLength}.run(r, seed)
			n := len(ttfts)
			for _, d := range ttfts {
				mean[i] += d / time.Duration(n)
			}
			t.Logf("seed %d, affinity %v: %d requests, first token p50 %v p95 %v p99 %v mean %v, %d prompt tokens cached",
				seed, !blind, n, ttfts[n/2], ttfts[n*95/100], ttfts[n*99/100], mean[i], cachedTokens(engines))
			if !blind {
				r.is.True(ttfts[n*95/100] <= maxTimeToFirstToken)
			}
		})
	}
	if mean[1] >= mean[0] {
		t.Errorf("seed %d: mean time to the first token %v with affinity, %v without", seed, mean[1], mean[0])
	}
}

// Requests with the same prefix must not overload the one engine that has it cached:
// the load requires three engines.
func TestHotPrefixSpreads(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		engines := newEngines(4)
		r := engineRig(t, engines...)
		defer r.stop()
		_, stop := r.runPolicy(*affinitySeed)
		defer stop()
		time.Sleep(time.Second)
		ttfts := workload{contexts: 1, context: 1024, tokens: 16, perSecond: 150, length: 4 * time.Second}.run(r, *affinitySeed)
		n := len(ttfts)
		t.Logf("seed %d: %d requests, first token p50 %v p95 %v", *affinitySeed, n, ttfts[n/2], ttfts[n*95/100])
		r.is.True(ttfts[n*95/100] <= maxTimeToFirstToken)
	})
}

// warmCache makes an engine cache a prompt by sending it directly, not through the
// entry.
func warmCache(e *fake.Engine, prompt string) {
	body := fmt.Sprintf(`{"prompt": %q, "max_tokens": 1}`, prompt)
	e.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body)))
}

// An entry must learn of cached prefixes whose cache events were lost. If the cache
// of an engine has been lost in a restart, requests sent there must still run once
// and get a complete response.
func TestLostCacheEvents(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		engines := newEngines(4)
		for _, e := range engines {
			e.EventGapEvery = 2 // the events of all hashed prefixes, at multiples of 256 tokens, are lost
		}
		r := engineRig(t, engines...)
		defer r.stop()
		p, stop := r.runPolicy(*affinitySeed)
		defer stop()
		time.Sleep(time.Second)
		cachedContext := uniqueWords("c", 1024)
		warmCache(engines[2], cachedContext)
		time.Sleep(4 * time.Second)
		ask := func(question string) {
			prompt := cachedContext + question
			_, got := r.requestCompletion(prompt, 4)
			r.is.NoErr(got.err)
			r.is.True(isComplete(got.body, prompt, 4))
			r.is.Equal(engines[0].Runs(got.header.Get("Request-Id"))+engines[1].Runs(got.header.Get("Request-Id"))+
				engines[2].Runs(got.header.Get("Request-Id"))+engines[3].Runs(got.header.Get("Request-Id")), 1)
		}
		ask("first")
		r.is.Equal(engines[2].Counts().CachedTokens, 1024) // the entry did not learn of the context that was cached by a direct request
		engines[2].Restart()
		ask("second")
		r.is.Equal(cachedTokens(engines), 1024) // the second request hit a cache, although the restart had cleared it
		time.Sleep(4 * time.Second)
		ask("third")
		r.is.Equal(cachedTokens(engines), 2048)
		r.is.Equal(p.Dump().(serving.Dump).Caches, 4)
		r.is.True(engines[2].Counts().CacheListings <= 10) // more than one cache listing per second
	})
}

// An entry that missed more cache changes than an agent retains must request the
// complete cache contents, instead of keeping its outdated view.
func TestMissedCacheChanges(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		engines := newEngines(4)
		engines[1].CacheBlocks, engines[1].EventGapEvery = 1<<17, 0
		r := engineRig(t, engines...)
		defer r.stop()
		p, stop := r.runPolicy(*affinitySeed)
		time.Sleep(2 * time.Second)
		stop()
		known := uniqueWords("c", 1024)
		warmCache(engines[1], known)
		random := rand.New(rand.NewPCG(*affinitySeed, 3))
		for i := range 100 { // each adds 256 blocks with 16 hashed prefixes
			var blocks []string
			for range 256 {
				blocks = append(blocks, fmt.Sprint(random.Uint64()))
			}
			head := fmt.Sprintf("{\"blocks\":[%s],\"bytes\":0}\n", strings.Join(blocks, ","))
			engines[1].ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/kv/import", strings.NewReader(head)))
			if i%10 == 9 {
				time.Sleep(time.Second)
			}
		}
		serveCtx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = p.Serve(serveCtx) })
		defer wg.Wait()
		defer cancel()
		time.Sleep(2 * time.Second)
		_, got := r.requestCompletion(known+"question", 4)
		r.is.NoErr(got.err)
		r.is.Equal(p.Dump().(serving.Dump).Resyncs, uint64(1))
		r.is.Equal(engines[1].Counts().CachedTokens, 1024) // cached prefix not learned, whose change the agent no longer retains
	})
}
