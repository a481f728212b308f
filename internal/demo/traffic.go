package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"papayarock/core/config"
	"papayarock/internal/deploy"
	"papayarock/io/answers"
)

// requestInterval is the pause of a caller between a response and its next
// request.
const requestInterval = 400 * time.Millisecond

// tally counts the outcomes of one customer's requests of one class: responses with
// status 200 within the promised time of the workload (inPromise) or after it
// (late), refusals that say that the request was not run (notRun), other refusals,
// and failed requests and incomplete responses (cut).
type tally struct {
	sent, inPromise, late, notRun, otherRefusal, cut int
}

// nonIdempotentRequest is the outcome of a non-idempotent request at its caller.
type nonIdempotentRequest struct {
	body   string
	notRun string // result of notRunField
	detail string // result of describeRefusal
}

// traffic sends requests until stopped is set, and records their outcomes.
type traffic struct {
	d           *deploy.Deployment
	keys        map[string]string // by customer
	longPrompts atomic.Bool       // send long prompts for short outputs, otherwise short prompts for long outputs
	stopped     atomic.Bool

	mu            sync.Mutex
	tallies       map[[2]string]*tally // by customer and class
	nonIdempotent []nonIdempotentRequest
	answeredKeyed int      // complete responses with status 200 to requests with a key
	failures      []string // descriptions of failed requests and incomplete responses
}

func newTraffic(d *deploy.Deployment, keys map[string]string) *traffic {
	return &traffic{d: d, keys: keys, tallies: make(map[[2]string]*tally)}
}

// run sends the requests of one customer to one entry.
func (t *traffic) run(ctx context.Context, customer, caller, entry string, random *rand.Rand) {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for i := 0; !t.stopped.Load(); i++ {
		work := t.d.Answers.Workloads[random.IntN(len(t.d.Answers.Workloads))]
		t.send(ctx, client, customer, entry, work, fmt.Sprintf("%s-%s-%d", caller, work.Name, i))
		time.Sleep(requestInterval)
	}
}

// send sends one request and records its outcome.
func (t *traffic) send(ctx context.Context, client *http.Client, customer, entry string, work answers.Workload, id string) {
	req, body := t.newRequest(ctx, customer, entry, work, id)
	began := time.Now()
	resp, err := client.Do(req)
	o := outcome{err: err}
	if err == nil {
		o.status = resp.StatusCode
		o.body, o.err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	o.duration = time.Since(began)
	t.record(customer, work, body, o)
}

// outcome is the response to a request, or the error of sending it or of reading the
// response.
type outcome struct {
	status   int
	body     []byte
	err      error
	duration time.Duration
}

// usesEngine reports whether the requests of a workload go to engines.
func usesEngine(work answers.Workload) bool { return work.Protocol == config.Language }

func (t *traffic) newRequest(ctx context.Context, customer, entry string, work answers.Workload, id string) (*http.Request, string) {
	method, path, body := http.MethodPost, work.Path+"/"+id, id
	switch {
	case usesEngine(work):
		path = work.Path + "/v1/completions"
		words, tokens := 40, 40
		if t.longPrompts.Load() {
			words, tokens = 300, 4
		}
		b, _ := json.Marshal(map[string]any{ // plain values always encode
			"model": t.model(work), "prompt": strings.Repeat("stone ", words) + id, "max_tokens": tokens, "stream": true,
		})
		body = string(b)
	case work.Idempotent != answers.IdempotentNever:
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequestWithContext(ctx, method, entry+path, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err) // the paths come from a validated questionnaire
	}
	req.Header.Set("Content-Type", "application/json")
	if !work.Open {
		req.Header.Set("Authorization", "Bearer "+t.keys[customer])
	}
	if method == http.MethodPost && !usesEngine(work) {
		req.Header.Set("Idempotency-Key", id)
	}
	return req, body
}

func (t *traffic) model(work answers.Workload) string {
	for _, p := range t.d.Answers.Pools {
		if p.Name == work.Pool {
			return p.Model
		}
	}
	return ""
}

func (t *traffic) record(customer string, work answers.Workload, body string, o outcome) {
	class := work.Class.String()
	notRun := notRunField(o)
	t.mu.Lock()
	defer t.mu.Unlock()
	key := [2]string{customer, class}
	if t.tallies[key] == nil {
		t.tallies[key] = &tally{}
	}
	count := t.tallies[key]
	count.sent++
	switch {
	case o.err != nil:
		count.cut++
		t.failures = append(t.failures, fmt.Sprintf("%s: response failed or incomplete: %v", body[:min(len(body), 60)], o.err))
	case o.status == http.StatusOK && o.duration > work.Promise:
		count.late++
	case o.status == http.StatusOK:
		count.inPromise++
	case notRun == "true":
		count.notRun++
	default:
		count.otherRefusal++
	}
	if o.err == nil && o.status == http.StatusOK && !work.Open {
		t.answeredKeyed++
	}
	if !usesEngine(work) && work.Idempotent == answers.IdempotentNever {
		t.nonIdempotent = append(t.nonIdempotent, nonIdempotentRequest{body, notRun, describeRefusal(o)})
	}
}

// describeRefusal returns the status and the body of a refusal, the error of a
// failed request, or "" for a response with status 200.
func describeRefusal(o outcome) string {
	switch {
	case o.err != nil:
		return o.err.Error()
	case o.status == http.StatusOK:
		return ""
	}
	return fmt.Sprintf("%d %s", o.status, bytes.TrimSpace(o.body))
}

// notRunField returns the field not-run in the body of a refusal, "unknown" if there
// is none or the request failed, or "" for a response with status 200.
func notRunField(o outcome) string {
	if o.err != nil {
		return "unknown"
	}
	if o.status == http.StatusOK {
		return ""
	}
	var p struct {
		NotRun string `json:"not-run"`
	}
	if json.Unmarshal(o.body, &p) != nil || p.NotRun == "" {
		return "unknown"
	}
	return p.NotRun
}
