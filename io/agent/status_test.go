package agent_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"papayarock/io/identity"
	"papayarock/io/link"
	"papayarock/io/wire"
)

// Guards against an agent that passes on a response with a status that can't be the status
// of a final response, that bills it, or that reports a definite outcome for its request.
func TestInvalidStatus(t *testing.T) {
	for name, test := range map[string]struct {
		status     string // also the path
		idempotent bool
	}{
		"000":             {"000", false},
		"099":             {"099", false},
		"099, idempotent": {"099", true},
		"101":             {"101", false},
		"600":             {"600", false},
		"999":             {"999", true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			req := request(1, "/status/"+test.status)
			req.Idempotent = test.idempotent
			body, last := f.read(f.send(req))
			f.is.Equal(body, "")
			f.is.True(last.GetFailed() != nil)
			f.is.Equal(last.GetFailed().GetRan(), wire.Ran_RAN_UNKNOWN)
			f.is.True(strings.Contains(last.GetFailed().GetReason(), "status "+test.status)) // the log line has the reason
			if !test.idempotent {
				f.is.Equal(f.query(1, false, incarnation), wire.Outcome_UNKNOWN)
			}
		})
	}
	f := newFixture(t, nil)
	_, last := f.read(f.send(request(1, "/status/599")))
	f.is.True(last.GetEnd() != nil) // the highest valid status
	f.is.Equal(f.query(1, false, incarnation), wire.Outcome_RAN)
}

// Guards against an order that counts as carried out although the response of the target is
// invalid.
func TestInvalidStatusOfOrder(t *testing.T) {
	for name, test := range map[string]struct {
		status string
		want   wire.ControlOrderAnswer_Outcome
	}{
		"200": {"200", wire.ControlOrderAnswer_DONE},
		"000": {"000", wire.ControlOrderAnswer_LOST},
		"099": {"099", wire.ControlOrderAnswer_LOST},
		"101": {"101", wire.ControlOrderAnswer_LOST},
		"600": {"600", wire.ControlOrderAnswer_LOST},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.orderStatus.Store(test.status)
			links := &link.Pool{Credentials: f.issue("c1", identity.Control), Roles: []identity.Role{identity.Agent}}
			defer links.Close()
			o := wire.EncodeOrder(loadOrder(1, "v2"))
			outcome := wire.ControlOrderAnswer_RUNNING
			for until := time.Now().Add(10 * time.Second); outcome == wire.ControlOrderAnswer_RUNNING && time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
				reply, err := link.Call[wire.ControlOrderAnswer](t.Context(), links, f.address, &wire.ControlOrder{Order: o})
				f.is.NoErr(err)
				outcome = reply.GetOutcome()
			}
			f.is.Equal(outcome, test.want)
		})
	}
}

// writeStatus sends a response with the status at the end of the path, which
// http.ResponseWriter may not accept.
func writeStatus(w http.ResponseWriter, status string) {
	c, b, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = b.WriteString("HTTP/1.1 " + status + " X\r\nContent-Length: 3\r\n\r\none")
	_ = b.Flush()
	_ = c.Close()
}
