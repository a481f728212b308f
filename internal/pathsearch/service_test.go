package pathsearch

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// run is one request that a service has carried out.
type run struct {
	number    int
	send      *send
	customer  string
	agent     *life
	service   *life
	at        time.Time
	answer    string
	completed bool // the service wrote the whole answer, with status 200
}

// service carries out requests and counts them. Each answer states a usage of
// 1<<number tokens, so that sums tell which runs are billed.
func (w *world) service(i int, l *life) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		w.step()
		n := int(w.requests.Add(1)) - 1
		b := behaviour{size: 100}
		if n < nRuns && !w.healed.Load() {
			b = w.plan.runs[n]
		}
		if b.crash == crashBefore {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(b.before)
		l.process.wait()
		if l.ctx.Err() != nil {
			return // the service died before it ran the request
		}
		run := w.carryOut(i, l, r, b)
		w.step()
		if run == nil || b.crash == crashAfter {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(b.after)
		l.process.wait()
		rw.Header().Set("Content-Type", "application/json")
		rw.Header().Set("Content-Length", strconv.Itoa(len(run.answer)))
		if b.crash == crashStatus {
			rw.WriteHeader(http.StatusInternalServerError)
		}
		half := len(run.answer) / 2
		_, _ = io.WriteString(rw, run.answer[:half])
		_ = http.NewResponseController(rw).Flush()
		w.step()
		if b.crash == crashHalfway {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(rw, run.answer[half:])
		w.mu.Lock()
		defer w.mu.Unlock()
		run.completed = b.crash == noCrash
	}
}

func (w *world) carryOut(i int, l *life, r *http.Request, b behaviour) *run {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, err := strconv.Atoi(r.Header.Get("Send"))
	if err != nil || id >= len(w.sends) {
		w.fault("request without a send: %q", r.Header.Get("Send"))
		return nil
	}
	x := &run{number: len(w.runs), send: w.sends[id], customer: r.Header.Get("Papayarock-Customer"), service: l, at: time.Now()}
	_, port, _ := strings.Cut(r.Host, ":")
	for _, l := range w.lives {
		if l.process == w.agents[i] && strconv.Itoa(l.number) == port {
			x.agent = l
		}
	}
	x.answer = fmt.Sprintf(`{"run":%d,"send":%d,"usage":{"prompt_tokens":%d,"completion_tokens":1},"pad":"%s"}`,
		x.number, id, uint64(1)<<x.number, strings.Repeat("x", b.size))
	w.runs = append(w.runs, x)
	return x
}

// runOf returns the run whose answer body is, or nil.
func (w *world) runOf(body string) *run {
	var m struct{ Run int }
	if json.Unmarshal([]byte(body), &m) != nil || m.Run >= len(w.runs) || w.runs[m.Run].answer != body {
		return nil
	}
	return w.runs[m.Run]
}
