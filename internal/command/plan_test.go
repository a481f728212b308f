package command_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/internal/command"
	"papayarock/io/operator"
)

// Guards against a plan output without the decisions, their gain, or the reason why
// the planner makes none.
func TestPlan(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, "/v1/plan")
		_ = json.NewEncoder(w).Encode(operator.Plan{
			WaitReason: "no entry reports demand",
			Groups:     []operator.PlanGroup{{Pool: "m", DataCentre: "klang", Prefill: 1, Decode: 3, PromptTokens: 14000, PrefillSpeed: 9000}},
			Decisions: []operator.PlanDecision{{
				Time: time.Unix(0, 0), Kind: "change-role", Pool: "m", DataCentre: "klang", Target: "t3", Role: "prefill", Gain: 80.25, Outcome: "begun",
			}},
		})
	}))
	defer server.Close()
	client, err := operator.New(operator.Options{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}})
	is.NoErr(err)
	defer client.Close()
	var out, notes bytes.Buffer
	s := &command.Session{Client: client, Out: command.Output{W: &out}, Err: &notes}
	is.NoErr(s.Plan(t.Context()))
	for _, want := range []string{"14000", "9000", "change-role", "t3", "prefill", "80.2 s", "begun"} {
		is.True(strings.Contains(out.String(), want))
	}
	is.True(strings.Contains(notes.String(), "no entry reports demand"))
	out.Reset()
	s.Out.JSON = true
	is.NoErr(s.Plan(t.Context()))
	var p operator.Plan
	is.NoErr(json.Unmarshal(out.Bytes(), &p)) // fails for more than one document
	is.Equal(p.Decisions[0].Gain, 80.25)
}
