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

// completionRequest holds the fields that an engine reads from the body of a
// completion request or of POST /kv/export.
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

func (r completionRequest) promptTokens() []string {
	tokens := strings.Fields(r.Prompt)
	for _, m := range r.Messages {
		tokens = append(tokens, m.Role+":")
		tokens = append(tokens, strings.Fields(m.Content)...)
	}
	return tokens
}

// Completion returns the output of every Engine for a prompt and a number of output
// tokens, so that tests can check responses. The prompt of a chat request is its
// messages as "role: content", joined by spaces.
func Completion(prompt string, tokens int) string {
	return outputText(outputSeed(strings.Fields(prompt)), tokens)
}

// outputSeed derives the output from the prompt, so that a test can tell the
// responses to different prompts apart.
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
	var req completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "request body: "+err.Error())
		return
	}
	j := newJob(r, req)
	if !e.acceptRequest(w, r, req, j) {
		return
	}
	e.sendResponse(w, r, j, 0)
}

func newJob(r *http.Request, req completionRequest) *job {
	j := &job{
		id:        r.Header.Get("Request-Id"),
		prompt:    req.promptTokens(),
		maxOutput: orDefault(req.MaxTokens, defaultOutputTokens),
		format:    responseFormat{model: req.Model, chat: strings.HasPrefix(r.URL.Path, "/v1/chat/"), stream: req.Stream},
		changed:   make(chan struct{}),
		readers:   1,
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

// acceptRequest adds j to the queue. If the engine rejects j, acceptRequest writes
// an error response and returns false.
func (e *Engine) acceptRequest(w http.ResponseWriter, r *http.Request, req completionRequest, j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.headers = append(e.headers, r.Header.Clone())
	switch {
	case e.down:
		panic(http.ErrAbortHandler)
	case e.orders.inProgress:
		writeError(w, http.StatusServiceUnavailable, "an order is in progress")
	case !e.hasModel(req.Model):
		writeError(w, http.StatusNotFound, fmt.Sprintf("model %q is not loaded", req.Model))
	case e.jobs[j.id] != nil:
		writeError(w, http.StatusConflict, fmt.Sprintf("request %q is running", j.id))
	case e.Role == fleet.Prefill && j.maxOutput > 1:
		writeError(w, http.StatusConflict, "a prefill engine generates at most one token")
	case len(j.prompt) == 0 || j.maxOutput < 0:
		writeError(w, http.StatusBadRequest, "the prompt is empty or max_tokens is negative")
	default:
		e.addJob(j)
		return true
	}
	return false
}

func (e *Engine) hasModel(model string) bool {
	_, adapter := e.orders.adapters[model]
	return e.Model == "" || model == "" || model == e.Model || adapter
}

// resume serves GET /resume/{id}: it sends the response to request id from byte
// offset on.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.FormValue("offset"))
	if err != nil || offset < 0 {
		writeError(w, http.StatusBadRequest, fmt.Sprintf("invalid offset %q: want a number of bytes", r.FormValue("offset")))
		return
	}
	e.mu.Lock()
	j := e.jobs[r.PathValue("id")]
	if j == nil || offset > len(j.body) {
		e.mu.Unlock()
		writeError(w, http.StatusNotFound, fmt.Sprintf("no response to request %q at offset %d", r.PathValue("id"), offset))
		return
	}
	j.readers++
	e.mu.Unlock()
	e.sendResponse(w, r, j, offset)
}

// sendResponse sends the response of j from offset on, as it is generated.
func (e *Engine) sendResponse(w http.ResponseWriter, r *http.Request, j *job, offset int) {
	defer e.removeReader(j)
	w.Header().Set("Content-Type", j.format.contentType())
	e.mu.Lock()
	crashed := e.crashed
	e.mu.Unlock()
	sent := 0
	for {
		select {
		case <-crashed: // also ends a response that is generated, but not sent completely
			e.interruptFinished(j)
			panic(http.ErrAbortHandler)
		default:
		}
		frame, done, failed, changed := e.nextFrame(j, offset)
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
			e.injectFaultsAfter(sent)
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

// interruptFinished counts j as interrupted if a crash ended the sending of its
// response after j had finished.
func (e *Engine) interruptFinished(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !j.failed {
		j.failed = true
		e.counts.Interrupted++
	}
}

// nextFrame returns the rest of the frame that contains offset. If this frame has
// not been generated, nextFrame instead returns the state of j and a channel that
// is closed when j changes.
func (e *Engine) nextFrame(j *job, offset int) (frame []byte, done, failed bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i, _ := slices.BinarySearch(j.frameEnds, offset+1); i < len(j.frameEnds) {
		return j.body[offset:j.frameEnds[i]], false, false, nil
	}
	return nil, j.done, j.failed, j.changed
}

// injectFaultsAfter applies the fault that is set for this number of frames sent. A
// crash closes e.crashed; DropAfterFrames aborts the request by a panic.
func (e *Engine) injectFaultsAfter(sent int) {
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

// removeReader unregisters a reader of j. If j still has no readers when
// ResumeWindow has passed, j is cancelled, or removed if it is finished.
func (e *Engine) removeReader(j *job) {
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
		e.cancelIfUnread(j)
	default:
		time.AfterFunc(e.ResumeWindow, func() {
			e.mu.Lock()
			e.cancelIfUnread(j)
			e.mu.Unlock()
			e.discardIfUnread(j)
		})
	}
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]any{"error": map[string]any{"message": message, "code": status}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
