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

// run is one execution of a request by a service.
type run struct {
	number    int // index in simulation.runs
	send      *send
	customer  string
	agent     *instance
	service   *instance
	at        time.Time
	response  string
	completed bool // the service wrote the complete response, with status 200
}

// service returns the handler of the i-th service, which runs requests and records
// the runs. Each response reports a usage of 1<<number prompt tokens, so that a sum
// of tokens shows which runs are billed. This limits a seed to 64 runs.
func (sim *simulation) service(i int, inst *instance) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		sim.step()
		n := int(sim.requests.Add(1)) - 1
		b := behaviour{paddingBytes: 100}
		if n < nRequests && !sim.faultsEnded.Load() {
			b = sim.plan.behaviours[n]
		}
		if b.fault == resetBeforeRun {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(b.delayBefore)
		inst.process.wait()
		if inst.ctx.Err() != nil {
			return // killed before the run
		}
		run := sim.recordRun(i, inst, r, b)
		sim.step()
		if run == nil || b.fault == resetAfterRun {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(b.delayAfter)
		inst.process.wait()
		rw.Header().Set("Content-Type", "application/json")
		rw.Header().Set("Content-Length", strconv.Itoa(len(run.response)))
		if b.fault == errorStatus {
			rw.WriteHeader(http.StatusInternalServerError)
		}
		half := len(run.response) / 2
		_, _ = io.WriteString(rw, run.response[:half])
		_ = http.NewResponseController(rw).Flush()
		sim.step()
		if b.fault == resetInResponse {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(rw, run.response[half:])
		sim.mu.Lock()
		defer sim.mu.Unlock()
		run.completed = b.fault == noServiceFault
	}
}

// recordRun records a run of r. It returns nil if no caller sent r.
func (sim *simulation) recordRun(i int, inst *instance, r *http.Request, b behaviour) *run {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	id, err := strconv.Atoi(r.Header.Get("Send"))
	if err != nil || id >= len(sim.sends) {
		sim.failLockedf("service %d got a request with unknown Send header %q", i, r.Header.Get("Send"))
		return nil
	}
	ran := &run{number: len(sim.runs), send: sim.sends[id], customer: r.Header.Get("Papayarock-Customer"), service: inst, at: time.Now()}
	_, port, _ := strings.Cut(r.Host, ":") // the number of the agent's instance
	for _, inst := range sim.agentInstances {
		if inst.process == sim.agents[i] && strconv.Itoa(inst.number) == port {
			ran.agent = inst
		}
	}
	ran.response = fmt.Sprintf(`{"run":%d,"send":%d,"usage":{"prompt_tokens":%d,"completion_tokens":1},"pad":"%s"}`,
		ran.number, id, uint64(1)<<ran.number, strings.Repeat("x", b.paddingBytes))
	sim.runs = append(sim.runs, ran)
	return ran
}

// runWithResponse returns the run with this response body, or nil if there is none.
func (sim *simulation) runWithResponse(body string) *run {
	var m struct{ Run int }
	if json.Unmarshal([]byte(body), &m) != nil || m.Run >= len(sim.runs) || sim.runs[m.Run].response != body {
		return nil
	}
	return sim.runs[m.Run]
}
