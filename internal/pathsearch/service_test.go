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

// run is one request that a service has executed.
type run struct {
	number    int
	send      *send
	customer  string
	agent     *instance
	service   *instance
	at        time.Time
	answer    string
	completed bool // the service wrote the complete response, with status 200
}

// service executes and records requests. Each response reports a usage of
// 1<<number prompt tokens, so that a sum of tokens shows which runs are billed.
func (sim *simulation) service(i int, inst *instance) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		sim.step()
		n := int(sim.requests.Add(1)) - 1
		b := behaviour{size: 100}
		if n < nRuns && !sim.faultsEnded.Load() {
			b = sim.plan.runs[n]
		}
		if b.crash == crashBefore {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(b.delayBefore)
		inst.process.wait()
		if inst.ctx.Err() != nil {
			return // killed before it executed the request
		}
		run := sim.execute(i, inst, r, b)
		sim.step()
		if run == nil || b.crash == crashAfter {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(b.delayAfter)
		inst.process.wait()
		rw.Header().Set("Content-Type", "application/json")
		rw.Header().Set("Content-Length", strconv.Itoa(len(run.answer)))
		if b.crash == crashStatus {
			rw.WriteHeader(http.StatusInternalServerError)
		}
		half := len(run.answer) / 2
		_, _ = io.WriteString(rw, run.answer[:half])
		_ = http.NewResponseController(rw).Flush()
		sim.step()
		if b.crash == crashHalfway {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(rw, run.answer[half:])
		sim.mu.Lock()
		defer sim.mu.Unlock()
		run.completed = b.crash == noCrash
	}
}

func (sim *simulation) execute(i int, inst *instance, r *http.Request, b behaviour) *run {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	id, err := strconv.Atoi(r.Header.Get("Send"))
	if err != nil || id >= len(sim.sends) {
		sim.failLockedf("request with unknown Send header %q", r.Header.Get("Send"))
		return nil
	}
	x := &run{number: len(sim.runs), send: sim.sends[id], customer: r.Header.Get("Papayarock-Customer"), service: inst, at: time.Now()}
	_, port, _ := strings.Cut(r.Host, ":")
	for _, inst := range sim.agentInstances {
		if inst.process == sim.agents[i] && strconv.Itoa(inst.number) == port {
			x.agent = inst
		}
	}
	x.answer = fmt.Sprintf(`{"run":%d,"send":%d,"usage":{"prompt_tokens":%d,"completion_tokens":1},"pad":"%s"}`,
		x.number, id, uint64(1)<<x.number, strings.Repeat("x", b.size))
	sim.runs = append(sim.runs, x)
	return x
}

// runOf returns the run with this response body, or nil if there is none.
func (sim *simulation) runOf(body string) *run {
	var m struct{ Run int }
	if json.Unmarshal([]byte(body), &m) != nil || m.Run >= len(sim.runs) || sim.runs[m.Run].answer != body {
		return nil
	}
	return sim.runs[m.Run]
}
