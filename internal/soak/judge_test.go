package soak_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/platform/standin"
)

// Guards against checks that miss a violation or report one that is none. Each case
// gives either one violation, which must be the only one reported, or none.
func TestJudge(t *testing.T) {
	start := time.Unix(1000, 0)
	ran := func(r *soakRun, id string, n int) {
		for i := range n {
			r.runLog.Add(id, standin.Execution{Target: "t-1", Customer: "c1", Start: start.Add(time.Duration(i) * time.Second)})
		}
	}
	served := func(id, path string) standin.Outcome {
		body := standin.ResponseBody(id)
		if path == "/stream/" {
			body = standin.EventStreamBody(id, 0)
		}
		return standin.Outcome{ID: id, Path: path, Status: http.StatusOK, Body: body, Complete: true, Signed: true}
	}
	refused := func(id string, status int) standin.Outcome {
		return standin.Outcome{ID: id, Path: "/order/", Status: status, Complete: true}
	}
	limited := func(id string, status int) standin.Outcome {
		return standin.Outcome{ID: id, Path: "/read/", Key: limitedCustomer.Key, Status: status, Complete: true}
	}
	for name, test := range map[string]struct {
		setup func(r *soakRun)
		want  string // part of the only report; empty if none is expected
	}{
		"nothing wrong":       {func(r *soakRun) { ran(r, "a", 1); r.outcomes = append(r.outcomes, served("a", "/order/")) }, ""},
		"repeated read":       {func(r *soakRun) { ran(r, "a", 2); r.outcomes = append(r.outcomes, served("a", "/read/")) }, ""},
		"repeated order":      {func(r *soakRun) { ran(r, "a", 2); r.outcomes = append(r.outcomes, served("a", "/order/")) }, "ran 2 times"},
		"refused after a run": {func(r *soakRun) { ran(r, "a", 1); r.outcomes = append(r.outcomes, refused("a", 503)) }, "was refused"},
		"valid key refused":   {func(r *soakRun) { r.outcomes = append(r.outcomes, refused("a", 401)) }, "valid key"},
		"answer of another":   {func(r *soakRun) { o := served("b", "/order/"); o.ID = "a"; r.outcomes = append(r.outcomes, o) }, "wrong or unsigned"},
		"answer without mark": {func(r *soakRun) { o := served("a", "/order/"); o.Signed = false; r.outcomes = append(r.outcomes, o) }, "wrong or unsigned"},
		"event of a stream": {func(r *soakRun) {
			o := served("a", "/stream/")
			o.Body += "id: 9\n\n"
			r.outcomes = append(r.outcomes, o)
		}, "wrong or unsigned"},
		"part of an answer": {func(r *soakRun) {
			o := served("a", "/order/")
			o.Body, o.Complete = "an", false
			r.outcomes = append(r.outcomes, o)
		}, ""},
		"key at a target":     {func(r *soakRun) { r.runLog.CountAPIKey() }, "with an API key"},
		"customer of another": {func(r *soakRun) { r.runLog.Add("a", standin.Execution{Customer: "c2", Start: start}) }, "for customer"},
		"nobody served":       {func(r *soakRun) { r.outcomes = nil; r.outcomes = append(r.outcomes, refused("a", 503)) }, "were served"},
		"too many repeats":    {func(r *soakRun) { addRepeatedReads(r, start, 200) }, "extra runs within"},
		"repeats far apart":   {func(r *soakRun) { addRepeatedReads(r, start, 40); addRepeatedReads(r, start.Add(time.Minute), 40) }, ""},
		"request after drain": {func(r *soakRun) { addDrain(r, start, propagationTimeout+time.Second) }, "after its drain was acknowledged"},
		"window at its limit": {func(r *soakRun) { addLimited(r, start, 99, 100*time.Millisecond) }, ""},
		"window over limit":   {func(r *soakRun) { addLimited(r, start, 100, 100*time.Millisecond) }, "of customer c2 ran within"},
		"limited, run later":  {func(r *soakRun) { addLimited(r, start, 100, limitWindow) }, ""},
		"limited refused":     {func(r *soakRun) { r.outcomes = append(r.outcomes, limited("a", 429)) }, ""},
		"limited ran": {func(r *soakRun) {
			addLimited(r, start, 1, 0)
			r.outcomes = append(r.outcomes, limited("limited-0", 429))
		}, "was refused"},
		"429 without limit": {func(r *soakRun) { r.outcomes = append(r.outcomes, refused("a", 429)) }, "has no limit"},
		"request after a drain and a fault": {func(r *soakRun) {
			addDrain(r, start, faultGrace+2*time.Second)
			r.processFaults = []time.Time{start}
		}, "after its drain was acknowledged"},
		"request after a quiet drain": {func(r *soakRun) {
			addDrain(r, start, faultGrace+2*time.Second)
			r.drains[0].quietly, r.processFaults = true, []time.Time{start}
		}, "after its drain was acknowledged"},
		"request after a quiet drain, shortly after a fault": {func(r *soakRun) {
			addDrain(r, start, faultGrace+2*time.Second)
			r.drains[0].quietly, r.processFaults = true, []time.Time{start.Add(faultGrace)}
		}, ""},
		"request before drain": {func(r *soakRun) { addDrain(r, start, propagationTimeout-time.Second) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &soakRun{deployment: &deployment{}}
			for i := range 8 {
				id := fmt.Sprint("served-", i)
				ran(r, id, 1)
				r.outcomes = append(r.outcomes, served(id, "/order/"))
			}
			test.setup(r)
			var got []string
			r.checkOutcomes(func(format string, args ...any) { got = append(got, fmt.Sprintf(format, args...)) })
			if test.want == "" {
				is.Equal(len(got), 0)
				return
			}
			is.Equal(len(got), 1)
			is.True(strings.Contains(got[0], test.want))
		})
	}
}

// addRepeatedReads adds n reads that each ran twice. All runs start at one time.
func addRepeatedReads(r *soakRun, at time.Time, n int) {
	for i := range n {
		id := fmt.Sprintf("read-%d-%d", at.Unix(), i)
		for range 2 {
			r.runLog.Add(id, standin.Execution{Target: "t-1", Customer: "c1", Start: at})
		}
	}
}

// addLimited adds n requests of the customer with a limit, which were sent at one time, ran
// the duration after later, and were served.
func addLimited(r *soakRun, at time.Time, n int, after time.Duration) {
	for i := range n {
		id := fmt.Sprintf("limited-%d", i)
		r.runLog.Add(id, standin.Execution{Target: "t-1", Customer: limitedCustomer.Name, Start: at.Add(after)})
		r.outcomes = append(r.outcomes, standin.Outcome{
			ID: id, Path: "/read/", Key: limitedCustomer.Key, Sent: at, Status: http.StatusOK, Body: standin.ResponseBody(id), Complete: true, Signed: true,
		})
	}
}

// addDrain adds a target whose drain was acknowledged at a given time, and a request
// that started there the duration after later.
func addDrain(r *soakRun, at time.Time, after time.Duration) {
	target := &proxiedTarget{Target: &standin.Target{Name: "t-2", DrainAcknowledgedAt: at}}
	r.drains = append(r.drains, drainedTarget{target: target})
	r.runLog.Add("late", standin.Execution{Target: "t-2", Customer: "c1", Start: at.Add(after)})
}
