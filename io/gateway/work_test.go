package gateway_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
)

const (
	workGap    = 20 * time.Millisecond // between the events of paced
	workEvents = 12
	workPrompt = "2000" // tokens; a batch of such prompts is larger than the KV cache of workEngine
	// workPrefill is how long the prefill engine takes. The speed of an engine that answers
	// within the round-trip time is unknown.
	workPrefill = 5 * time.Millisecond
)

// workEngine describes engines that are placed by work.
var workEngine = catalog.Engine{Slots: 8, CacheTokens: 10_000, EventTokens: 74}

// paced sends events with a gap, beginning after the last one that the caller has.
func paced(events int, gap time.Duration) targetHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Mark", "m")
		w.Header().Set("Content-Type", "text/event-stream")
		from, _ := strconv.Atoi(r.Header.Get("After"))
		for i := from + 1; i <= events; i++ {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(i)+"\ndata: x\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(gap)
		}
	}
}

// lockedBuffer is a buffer for log lines of several goroutines.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// lastField returns the last value of a field of "request ended".
func (b *lockedBuffer) lastField(name string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := regexp.MustCompile(`request ended:.* `+name+`=(\S+)`).FindAllStringSubmatch(b.buf.String(), -1)
	if len(all) == 0 {
		return ""
	}
	return all[len(all)-1][1]
}

func steadyStream(r *catalog.Route) {
	resumable(r)
	r.MaxPause = 2 * time.Second // a busy machine must not make the prompts look long
}

// loggedID is the id of a request whose line "request ended" is among those that are logged
// of the ones that were served in time.
var loggedID = func() string {
	const multiple = 1 << 12 // of the interval
	for i := 0; ; i++ {
		if id := "id-" + strconv.Itoa(i); xxhash.Sum64String(id)%multiple == 0 {
			return id
		}
	}
}()

func prompt(q *http.Request) {
	q.Header.Set("Prompt", workPrompt)
	q.Header.Set("Id", loggedID)
}

// workFixture has a prefill engine, and a decode engine that f serves.
func workFixture(t *testing.T, engine catalog.Engine, f targetHandler) (*fixture, *lockedBuffer) {
	t.Helper()
	log := &lockedBuffer{}
	x := newFixtureWithLogger(t, hclog.New(&hclog.LoggerOptions{Output: log}))
	x.engine = engine
	x.catalog(1, route(steadyStream))
	x.target("prefill", fleet.Prefill, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(workPrefill)
		serves("handle")(w, r)
	})
	x.target("decode", fleet.Decode, f)
	return x, log
}

// byWork returns the gauge of pools that are placed by work.
func byWork(t *testing.T, r *prometheus.Registry) string {
	t.Helper()
	w := httptest.NewRecorder()
	promhttp.HandlerFor(r, promhttp.HandlerOpts{}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	found := regexp.MustCompile(`(?m)^papayarock_gateway_pools_by_work (\S+)$`).FindStringSubmatch(w.Body.String())
	if found == nil {
		t.Fatal("no gauge")
	}
	return found[1]
}

// Guards against gaps and lengths of streams that do not reach the placer, so that it places
// without them.
func TestGapsAndLengthsReachPlacer(t *testing.T) {
	is := is.New(t)
	x, log := workFixture(t, workEngine, paced(workEvents, workGap))
	metrics := prometheus.NewRegistry()
	x.gateway.RegisterMetrics(metrics)
	is.Equal(byWork(t, metrics), "0")
	for range 12 { // two sizes for each, of which the gateway needs twenty
		is.Equal(x.send(prompt).status, http.StatusOK)
	}
	is.Equal(byWork(t, metrics), "1")
	for range 4 {
		is.Equal(x.send(prompt).status, http.StatusOK)
	}
	is.Equal(log.lastField("events"), strconv.Itoa(workEvents))
	is.Equal(log.lastField("read-at"), "prefill")
	longest, err := time.ParseDuration(log.lastField("longest-gap"))
	is.NoErr(err)
	is.True(longest >= workGap)
	expected, err := strconv.ParseFloat(log.lastField("expected-events"), 64)
	is.NoErr(err)
	is.True(expected > workEvents/2 && expected < workEvents*2) // learned from the streams before

	load := x.gateway.Loads()["pool"]
	is.True(load.PromptTokens >= 4*2000)
	is.True(load.PrefillSpeed > 0)
	is.True(load.Paces["decode"].Mean >= workGap)
	_, ok := load.Paces["prefill"]
	is.True(!ok)

	is.Equal(x.send(func(q *http.Request) { prompt(q); q.Header.Set("Hint", "7400") }).status, http.StatusOK)
	hinted, err := strconv.ParseFloat(log.lastField("expected-events"), 64)
	is.NoErr(err)
	is.True(hinted > expected) // 100 events by the hint
}

// Guards against estimates and paces for pools that are not placed by work: their decisions
// would change.
func TestNoEstimateWithoutPlacementByWork(t *testing.T) {
	for name, engine := range map[string]catalog.Engine{
		"batch fits the cache": {Slots: 4, CacheTokens: 10_000, EventTokens: 74},
		"no size of the cache": {Slots: 8, EventTokens: 74},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x, log := workFixture(t, engine, paced(workEvents, 0))
			for range 25 {
				is.Equal(x.send(prompt).status, http.StatusOK)
			}
			load := x.gateway.Loads()["pool"]
			is.True(load.Prefills > 0)
			is.Equal(load.PromptTokens, uint64(0))
			is.Equal(len(load.Paces), 0)
			is.Equal(log.lastField("expected-events"), "0")
			is.Equal(log.lastField("events"), strconv.Itoa(workEvents))
		})
	}
}

// Guards against taking the rest of a stream that a caller resumes for a short response.
func TestResumedStreamIsNotShort(t *testing.T) {
	is := is.New(t)
	x, log := workFixture(t, workEngine, paced(workEvents, 0))
	for range 16 {
		is.Equal(x.send(prompt).status, http.StatusOK)
	}
	expected := log.lastField("expected-events")
	is.True(expected != "0")
	for range 8 { // each has one event left
		is.Equal(x.send(func(q *http.Request) { prompt(q); q.Header.Set("After", strconv.Itoa(workEvents-1)) }).status, http.StatusOK)
	}
	is.Equal(log.lastField("events"), "1")
	is.Equal(x.send(prompt).status, http.StatusOK)
	is.Equal(log.lastField("expected-events"), expected)
}
