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

// Guards against checks that cannot fail: each case constructs one violation,
// which must be the only one that is reported.
func TestJudge(t *testing.T) {
	start := time.Unix(1000, 0)
	ran := func(r *run, id string, n int) {
		for i := range n {
			r.ledger.Add(id, standin.Run{Target: "t-1", Customer: "c1", Start: start.Add(time.Duration(i) * time.Second)})
		}
	}
	served := func(id, path string) standin.Outcome {
		body := standin.Answer(id)
		if path == "/stream/" {
			body = standin.Events(id, 0)
		}
		return standin.Outcome{ID: id, Path: path, Status: http.StatusOK, Body: body, Complete: true, Signed: true}
	}
	refused := func(id string, status int) standin.Outcome {
		return standin.Outcome{ID: id, Path: "/order/", Status: status, Complete: true}
	}
	for name, test := range map[string]struct {
		does func(r *run)
		want string // part of the only report; empty if none is expected
	}{
		"nothing wrong":       {func(r *run) { ran(r, "a", 1); r.outcomes = append(r.outcomes, served("a", "/order/")) }, ""},
		"repeated read":       {func(r *run) { ran(r, "a", 2); r.outcomes = append(r.outcomes, served("a", "/read/")) }, ""},
		"repeated order":      {func(r *run) { ran(r, "a", 2); r.outcomes = append(r.outcomes, served("a", "/order/")) }, "ran 2 times"},
		"refused after a run": {func(r *run) { ran(r, "a", 1); r.outcomes = append(r.outcomes, refused("a", 503)) }, "was refused"},
		"valid key refused":   {func(r *run) { r.outcomes = append(r.outcomes, refused("a", 401)) }, "valid key"},
		"answer of another":   {func(r *run) { o := served("b", "/order/"); o.ID = "a"; r.outcomes = append(r.outcomes, o) }, "wrong or unsigned"},
		"answer without mark": {func(r *run) { o := served("a", "/order/"); o.Signed = false; r.outcomes = append(r.outcomes, o) }, "wrong or unsigned"},
		"event of a stream":   {func(r *run) { o := served("a", "/stream/"); o.Body += "id: 9\n\n"; r.outcomes = append(r.outcomes, o) }, "wrong or unsigned"},
		"part of an answer": {func(r *run) {
			o := served("a", "/order/")
			o.Body, o.Complete = "an", false
			r.outcomes = append(r.outcomes, o)
		}, ""},
		"key at a target":      {func(r *run) { r.ledger.AddKey() }, "with an API key"},
		"customer of another":  {func(r *run) { r.ledger.Add("a", standin.Run{Customer: "c2", Start: start}) }, "for customer"},
		"nobody served":        {func(r *run) { r.outcomes = nil; r.outcomes = append(r.outcomes, refused("a", 503)) }, "were served"},
		"too many repeats":     {func(r *run) { repeat(r, start, 200) }, "extra runs within"},
		"repeats far apart":    {func(r *run) { repeat(r, start, 40); repeat(r, start.Add(time.Minute), 40) }, ""},
		"request after drain":  {func(r *run) { drain(r, start, propagationTimeout+time.Second) }, "after its drain was acknowledged"},
		"request before drain": {func(r *run) { drain(r, start, propagationTimeout-time.Second) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &run{deployment: &deployment{}}
			for i := range 8 {
				id := fmt.Sprint("served-", i)
				ran(r, id, 1)
				r.outcomes = append(r.outcomes, served(id, "/order/"))
			}
			test.does(r)
			var got []string
			r.judge(func(format string, args ...any) { got = append(got, fmt.Sprintf(format, args...)) })
			if test.want == "" {
				is.Equal(len(got), 0)
				return
			}
			is.Equal(len(got), 1)
			is.True(strings.Contains(got[0], test.want))
		})
	}
}

// repeat adds n reads that each ran twice, all starting at the same time.
func repeat(r *run, at time.Time, n int) {
	for i := range n {
		id := fmt.Sprintf("read-%d-%d", at.Unix(), i)
		for range 2 {
			r.ledger.Add(id, standin.Run{Target: "t-1", Customer: "c1", Start: at})
		}
	}
}

// drain adds a target that acknowledged its drain at a given time and a request
// that started there some time after it.
func drain(r *run, at time.Time, after time.Duration) {
	m := &proxiedTarget{Target: &standin.Target{Name: "t-2", Acknowledged: at}}
	r.drains = append(r.drains, drained{m})
	r.ledger.Add("late", standin.Run{Target: "t-2", Customer: "c1", Start: at.Add(after)})
}
