package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/authority"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/identity"
	"papayarock/io/link"
	"papayarock/io/wire"
)

// ErrTarget reports a target that refused a call or did not answer it.
var ErrTarget = errors.New("target")

const (
	// readTimeout bounds a read of the target's state.
	readTimeout = 800 * time.Millisecond
	// maxStateBytes bounds the answer to an order or a read.
	maxStateBytes = 1 << 20
)

// instruction is what an order asks for, as the fence compares it.
type instruction struct {
	kind    state.OrderKind
	content state.Content
}

// orderResult is what became of an order.
type orderResult struct {
	outcome wire.ControlOrderAnswer_Outcome
	detail  string
}

// engineOrder is an order in the JSON that engines take.
type engineOrder struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Name     string `json:"name,omitempty"`
	Version  string `json:"version,omitempty"`
	Role     string `json:"role,omitempty"`
}

// engineState is the state that engines report.
type engineState struct {
	Role     string `json:"role"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Changing bool   `json:"changing"`
}

// registerOrders adds the calls of the leader to the agent's link server.
func (a *Agent) registerOrders(s *link.Server) {
	link.Handle(s, func(_ context.Context, st *link.Stream, m *wire.ControlOrder) {
		if err := st.Send(a.order(m)); err != nil {
			a.Log.Debug("order answer not sent", "error", err)
		}
	}, identity.Control)
	link.Handle(s, func(ctx context.Context, st *link.Stream, m *wire.ControlRead) {
		if err := st.Send(a.read(ctx, m)); err != nil {
			a.Log.Debug("state not sent", "error", err)
		}
	}, identity.Control)
}

// order presents an order to the fence and begins it if it is new. Its answer
// does not wait for the end of the order; the leader asks again.
func (a *Agent) order(m *wire.ControlOrder) *wire.ControlOrderAnswer {
	o, err := wire.DecodeOrder(m.GetOrder())
	if err != nil {
		return &wire.ControlOrderAnswer{Outcome: wire.ControlOrderAnswer_FAILED, Detail: err.Error()}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	verdict, kept := a.fence.Admit(o.Incarnation, o.Number, instruction{o.Kind, o.Content})
	switch verdict {
	case authority.Running:
		return &wire.ControlOrderAnswer{}
	case authority.Completed:
		return &wire.ControlOrderAnswer{Outcome: kept.outcome, Detail: kept.detail}
	case authority.Begin:
	default:
		a.Log.Warn("order refused", "number", o.Number, "verdict", verdict, "highest", a.fence.Highest())
		return &wire.ControlOrderAnswer{
			Outcome: wire.ControlOrderAnswer_FAILED,
			Detail:  fmt.Sprintf("order %s: %s, newest order is %s", o.Number, verdict, a.fence.Highest()),
		}
	}
	if n := a.working(); n > 0 {
		// A request may have arrived after the agent reported that none runs.
		r := orderResult{wire.ControlOrderAnswer_FAILED, fmt.Sprintf("%d requests are running", n)}
		a.fence.Finish(o.Number, r)
		return &wire.ControlOrderAnswer{Outcome: r.outcome, Detail: r.detail}
	}
	a.changing = true
	a.orders.Go(func() { a.carryOut(o) })
	return &wire.ControlOrderAnswer{}
}

// carryOut sends an order to the target and keeps its result. While it runs the
// agent accepts no request.
func (a *Agent) carryOut(o state.Order) {
	ctx, cancel := context.WithDeadline(context.Background(), o.Deadline)
	defer cancel()
	go a.giveUpSilent(ctx, cancel)
	r := a.instruct(ctx, o)
	a.Log.Info("order ended", "number", o.Number, "outcome", r.outcome, "detail", r.detail)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.changing = false
	a.fence.Finish(o.Number, r)
	if r.outcome == wire.ControlOrderAnswer_DONE && o.Kind == state.OrderRole {
		a.Announcement.Role = o.Content.Role
	}
}

func (a *Agent) instruct(ctx context.Context, o state.Order) orderResult {
	body := engineOrder{Term: o.Number.Term, Sequence: o.Number.Sequence}
	switch o.Kind {
	case state.OrderLoad:
		body.Kind, body.Name, body.Version = "load-model", o.Content.Model, o.Content.Version
	case state.OrderRole:
		body.Kind, body.Role = "change-role", o.Content.Role.String()
	default:
		return orderResult{outcome: wire.ControlOrderAnswer_DONE} // a drain is the agent's own matter
	}
	status, err := a.callTarget(ctx, http.MethodPost, "/order", body, nil)
	switch {
	case err != nil || status >= http.StatusInternalServerError:
		return orderResult{wire.ControlOrderAnswer_LOST, detailOf(status, err)}
	case status >= http.StatusBadRequest:
		return orderResult{wire.ControlOrderAnswer_FAILED, detailOf(status, nil)}
	}
	return orderResult{outcome: wire.ControlOrderAnswer_DONE}
}

func detailOf(status int, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("target answered status %d", status)
}

// read reports the real state of the target once no order can change it.
func (a *Agent) read(ctx context.Context, m *wire.ControlRead) *wire.ControlReadAnswer {
	a.mu.Lock()
	verdict := a.fence.Read(fleet.Incarnation(m.GetIncarnation()), wire.DecodeNumber(m.GetNumber()))
	a.mu.Unlock()
	if verdict != authority.Begin {
		return &wire.ControlReadAnswer{Detail: "read " + verdict.String()}
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	content, err := a.targetState(ctx)
	if err != nil {
		return &wire.ControlReadAnswer{Detail: err.Error()}
	}
	return &wire.ControlReadAnswer{Known: true, Loaded: wire.EncodeContent(content)}
}

// targetState asks the target what it holds. A plain service holds nothing and
// only has to accept a connection.
func (a *Agent) targetState(ctx context.Context) (state.Content, error) {
	if a.Announcement.Kind != fleet.Engine {
		return state.Content{}, a.reach(ctx)
	}
	var s engineState
	status, err := a.callTarget(ctx, http.MethodGet, "/state", nil, &s)
	switch {
	case err != nil:
		return state.Content{}, err
	case status != http.StatusOK:
		return state.Content{}, errors.Wrapf(ErrTarget, "state: status %d", status)
	case s.Changing:
		return state.Content{}, errors.Wrap(ErrTarget, "an order is still being carried out")
	}
	c := state.Content{Model: s.Model, Version: s.Version}
	for _, r := range []fleet.Role{fleet.Mixed, fleet.Prefill, fleet.Decode} {
		if r.String() == s.Role {
			c.Role = r
		}
	}
	return c, nil
}

// reach connects to a plain service. A request would count as work there.
func (a *Agent) reach(ctx context.Context) error {
	if a.Transport != nil {
		return nil // a transport of its own has no address to connect to
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", a.Target.Host)
	if err != nil {
		return errors.Wrap(ErrTarget, err.Error())
	}
	return errors.Wrap(c.Close(), "close connection to target")
}

// callTarget makes a call that is not a caller's request.
func (a *Agent) callTarget(ctx context.Context, method, path string, in, out any) (int, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, errors.Wrap(ErrTarget, err.Error())
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, a.Target.String()+path, body)
	if err != nil {
		return 0, errors.Wrap(ErrTarget, err.Error())
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.single.RoundTrip(req)
	if err != nil {
		return 0, errors.Wrap(ErrTarget, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
	if err != nil {
		return 0, errors.Wrap(ErrTarget, err.Error())
	}
	if out != nil && resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(b, out); err != nil {
			return 0, errors.Wrap(ErrTarget, err.Error())
		}
	}
	return resp.StatusCode, nil
}
