package fake

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayarock/core/fleet"
)

const maxRequestBytes = 8 << 20

// completionRequest is the part of a completion request an engine reads.
type completionRequest struct {
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
}

func (r completionRequest) words() []string {
	words := strings.Fields(r.Prompt)
	for _, m := range r.Messages {
		words = append(words, m.Role+":")
		words = append(words, strings.Fields(m.Content)...)
	}
	return words
}

// Completion returns the text an engine answers a prompt with, so that a test
// can check a whole answer. Chat prompts are given as "role: content" joined
// by spaces.
func Completion(prompt string, tokens int) string {
	return outputText(outputSeed(strings.Fields(prompt)), tokens)
}

// outputSeed derives output from the prompt, so that answers of different
// prompts cannot be mistaken for each other.
func outputSeed(prompt []string) uint32 {
	return uint32(xxhash.Sum64String(strings.Join(prompt, " ")))
}

func outputToken(seed uint32, i int) string { return fmt.Sprintf("%08x.%d ", seed, i) }

func outputText(seed uint32, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(outputToken(seed, i))
	}
	return b.String()
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var in completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&in); err != nil {
		apiError(w, http.StatusBadRequest, "request body: "+err.Error())
		return
	}
	j := newJob(r, in)
	if !e.accept(w, r, in, j) {
		return
	}
	e.stream(w, r, j, 0)
}

func newJob(r *http.Request, in completionRequest) *job {
	j := &job{
		id:      r.Header.Get("Request-Id"),
		prompt:  in.words(),
		output:  orDefault(in.MaxTokens, defaultOutputTokens),
		format:  format{model: in.Model, chat: strings.HasPrefix(r.URL.Path, "/v1/chat/"), stream: in.Stream},
		changed: make(chan struct{}),
		readers: 1,
	}
	j.seed = outputSeed(j.prompt)
	if j.id == "" {
		j.id = rand.Text()
	}
	if r.Header.Get("Papayarock-Class") == fleet.Urgent.String() {
		j.class = fleet.Urgent
	}
	return j
}

// accept queues j, or refuses it.
func (e *Engine) accept(w http.ResponseWriter, r *http.Request, in completionRequest, j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.headers = append(e.headers, r.Header.Clone())
	switch {
	case e.down:
		panic(http.ErrAbortHandler)
	case e.orders.changing:
		apiError(w, http.StatusServiceUnavailable, "the engine is changing")
	case !e.serves(in.Model):
		apiError(w, http.StatusNotFound, fmt.Sprintf("model %q is not loaded", in.Model))
	case e.jobs[j.id] != nil:
		apiError(w, http.StatusConflict, fmt.Sprintf("request %q is running", j.id))
	case e.Role == fleet.Prefill && j.output > 1:
		apiError(w, http.StatusConflict, "a prefill engine yields one token")
	case len(j.prompt) == 0 || j.output < 0:
		apiError(w, http.StatusBadRequest, "the prompt is empty or max_tokens is negative")
	default:
		e.start(j)
		return true
	}
	return false
}

func (e *Engine) serves(model string) bool {
	_, adapter := e.orders.adapters[model]
	return e.Model == "" || model == "" || model == e.Model || adapter
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.FormValue("offset"))
	if err != nil || offset < 0 {
		apiError(w, http.StatusBadRequest, fmt.Sprintf("offset %q is not a number of bytes", r.FormValue("offset")))
		return
	}
	e.mu.Lock()
	j := e.jobs[r.PathValue("id")]
	if j == nil || offset > len(j.body) {
		e.mu.Unlock()
		apiError(w, http.StatusNotFound, fmt.Sprintf("no answer of request %q at offset %d", r.PathValue("id"), offset))
		return
	}
	j.readers++
	e.mu.Unlock()
	e.stream(w, r, j, offset)
}

// stream sends the answer of j from offset on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job, offset int) {
	defer e.leave(j)
	w.Header().Set("Content-Type", j.format.contentType())
	e.mu.Lock()
	crashed := e.crashed
	e.mu.Unlock()
	sent := 0
	for {
		select {
		case <-crashed: // also ends an answer that is ready and not sent whole
			e.cutReady(j)
			panic(http.ErrAbortHandler)
		default:
		}
		frame, done, failed, changed := e.next(j, offset)
		switch {
		case failed:
			panic(http.ErrAbortHandler)
		case len(frame) > 0:
			if _, err := w.Write(frame); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			offset += len(frame)
			sent++
			e.breakAfter(sent)
			continue
		case done:
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// cutReady counts an answer that was ready when the engine crashed.
func (e *Engine) cutReady(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !j.failed {
		j.failed = true
		e.counts.Interrupted++
	}
}

// next returns the rest of the frame at offset.
func (e *Engine) next(j *job, offset int) (frame []byte, done, failed bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i, _ := slices.BinarySearch(j.frames, offset+1); i < len(j.frames) {
		return j.body[offset:j.frames[i]], false, false, nil
	}
	return nil, j.done, j.failed, j.changed
}

// breakAfter carries out the faults that follow a number of frames.
func (e *Engine) breakAfter(sent int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch sent {
	case e.faults.CrashAfterFrames:
		e.faults.CrashAfterFrames = 0
		e.crash()
	case e.faults.DropAfterFrames:
		e.faults.DropAfterFrames = 0
		panic(http.ErrAbortHandler)
	}
}

// leave counts a reader out; work without readers is cancelled.
func (e *Engine) leave(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.readers--
	switch {
	case j.readers > 0:
	case e.ResumeWindow == 0 && j.done:
		if e.jobs[j.id] == j {
			delete(e.jobs, j.id)
		}
	case e.ResumeWindow == 0:
		e.cancel(j)
	default:
		time.AfterFunc(e.ResumeWindow, func() {
			e.mu.Lock()
			e.cancel(j)
			e.mu.Unlock()
			e.forget(j)
		})
	}
}

func apiError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]any{"error": map[string]any{"message": message, "code": status}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
