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
	"papayarock/io/upstream"
	"papayarock/io/wire"
)

// ErrTarget reports a call that the target refused or did not respond to.
var ErrTarget = errors.New("call to target failed")

const (
	// stateTimeout bounds a read of the target's state.
	stateTimeout = 800 * time.Millisecond
	// maxStateBytes bounds the responses of the target to requests of the agent itself.
	maxStateBytes = 1 << 20
)

// orderCommand is the part of an order that the fence compares, to tell a resent
// order from another order with the same number.
type orderCommand struct {
	kind    state.OrderKind
	content state.OrderContent
}

// orderResult is the outcome of an order.
type orderResult struct {
	outcome wire.ControlOrderAnswer_Outcome
	detail  string
}

// engineOrder is the JSON form in which an order is sent to an engine.
type engineOrder struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Name     string `json:"name,omitempty"`
	Version  string `json:"version,omitempty"`
	Role     string `json:"role,omitempty"`
}

// engineState is the JSON form in which an engine reports its state.
type engineState struct {
	Role     string `json:"role"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Changing bool   `json:"changing"`
}

// registerOrders registers the handlers for the orders and reads of the control
// leader.
func (a *Agent) registerOrders(s *link.Server) {
	link.Handle(s, func(_ context.Context, st *link.Stream, m *wire.ControlOrder) {
		if err := st.Send(a.handleOrder(m)); err != nil {
			a.Log.Debug("sending the reply to an order failed", "error", err)
		}
	}, identity.Control)
	link.Handle(s, func(ctx context.Context, st *link.Stream, m *wire.ControlRead) {
		if err := st.Send(a.handleRead(ctx, m)); err != nil {
			a.Log.Debug("sending the state of the target failed", "error", err)
		}
	}, identity.Control)
}

// handleOrder checks an order against the fence and starts it if it is new. It does
// not wait for the order to end; the leader resends the order to get its outcome.
func (a *Agent) handleOrder(m *wire.ControlOrder) *wire.ControlOrderAnswer {
	o, err := wire.DecodeOrder(m.GetOrder())
	if err != nil {
		return &wire.ControlOrderAnswer{Outcome: wire.ControlOrderAnswer_FAILED, Detail: err.Error()}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	verdict, stored := a.fence.Admit(o.Incarnation, o.Number, orderCommand{o.Kind, o.Content})
	switch verdict {
	case authority.Running:
		return &wire.ControlOrderAnswer{}
	case authority.Completed:
		return &wire.ControlOrderAnswer{Outcome: stored.outcome, Detail: stored.detail}
	case authority.Begin: // executed below
	default:
		a.Log.Warn("order refused", "number", o.Number, "verdict", verdict, "highest", a.fence.Highest())
		return &wire.ControlOrderAnswer{
			Outcome: wire.ControlOrderAnswer_FAILED,
			Detail:  fmt.Sprintf("order %s refused: %s, newest order is %s", o.Number, verdict, a.fence.Highest()),
		}
	}
	if n := a.activeWork(); n > 0 {
		// A request may have started since the agent last reported that none was
		// running.
		r := orderResult{wire.ControlOrderAnswer_FAILED, fmt.Sprintf("%d requests are running", n)}
		a.fence.Finish(o.Number, r)
		return &wire.ControlOrderAnswer{Outcome: r.outcome, Detail: r.detail}
	}
	a.executingOrder = true
	a.orderExecutions.Go(func() { a.executeOrder(o) })
	return &wire.ControlOrderAnswer{}
}

// executeOrder sends an order to the target and records its result in the fence.
// While executingOrder is set, the agent refuses requests.
func (a *Agent) executeOrder(o state.Order) {
	ctx, cancel := context.WithDeadline(context.Background(), o.Deadline)
	defer cancel()
	go a.cancelIfUnresponsive(ctx, cancel)
	r := a.sendOrder(ctx, o)
	a.Log.Info("order ended", "number", o.Number, "outcome", r.outcome, "detail", r.detail)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.executingOrder = false
	a.fence.Finish(o.Number, r)
	if r.outcome == wire.ControlOrderAnswer_DONE && o.Kind == state.OrderRole {
		a.Announcement.Role = o.Content.Role // entries receive it with the load
	}
}

// sendOrder sends an order to the target. The result is LOST if it is unknown whether
// the target has carried out the order, and FAILED if the target refused it.
func (a *Agent) sendOrder(ctx context.Context, o state.Order) orderResult {
	body := engineOrder{Term: o.Number.Term, Sequence: o.Number.Sequence}
	switch o.Kind {
	case state.OrderLoad:
		body.Kind, body.Name, body.Version = "load-model", o.Content.Model, o.Content.Version
	case state.OrderRole:
		body.Kind, body.Role = "change-role", o.Content.Role.String()
	default:
		return orderResult{outcome: wire.ControlOrderAnswer_DONE} // a drain needs no action of the target
	}
	status, err := a.callTarget(ctx, http.MethodPost, "/order", body, nil)
	switch {
	case err != nil || status >= http.StatusInternalServerError:
		return orderResult{wire.ControlOrderAnswer_LOST, failureDetail(status, err)}
	case status >= http.StatusBadRequest:
		return orderResult{wire.ControlOrderAnswer_FAILED, failureDetail(status, nil)}
	}
	return orderResult{outcome: wire.ControlOrderAnswer_DONE}
}

func failureDetail(status int, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("target answered status %d", status)
}

// handleRead returns the actual state of the target to the leader. The fence admits
// the read only if no earlier order can change that state any more.
func (a *Agent) handleRead(ctx context.Context, m *wire.ControlRead) *wire.ControlReadAnswer {
	a.mu.Lock()
	verdict := a.fence.AdmitRead(fleet.Incarnation(m.GetIncarnation()), wire.DecodeOrderNumber(m.GetNumber()))
	a.mu.Unlock()
	if verdict != authority.Begin {
		return &wire.ControlReadAnswer{Detail: "read " + verdict.String()}
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	content, err := a.targetState(ctx)
	if err != nil {
		return &wire.ControlReadAnswer{Detail: err.Error()}
	}
	return &wire.ControlReadAnswer{Known: true, Loaded: wire.EncodeOrderContent(content)}
}

// targetState reads the model, version and role from an engine. A plain service has
// no such state and only has to accept a connection.
func (a *Agent) targetState(ctx context.Context) (state.OrderContent, error) {
	if a.Announcement.Kind != fleet.Engine {
		return state.OrderContent{}, a.dialTarget(ctx)
	}
	var s engineState
	status, err := a.callTarget(ctx, http.MethodGet, "/state", nil, &s)
	switch {
	case err != nil:
		return state.OrderContent{}, err
	case status != http.StatusOK:
		return state.OrderContent{}, errors.Wrapf(ErrTarget, "read of the target's state: status %d", status)
	case s.Changing:
		return state.OrderContent{}, errors.Wrap(ErrTarget, "target is still executing an order")
	}
	c := state.OrderContent{Model: s.Model, Version: s.Version}
	for _, r := range []fleet.Role{fleet.Mixed, fleet.Prefill, fleet.Decode} {
		if r.String() == s.Role {
			c.Role = r
		}
	}
	return c, nil
}

// dialTarget connects to a plain service and closes the connection. It sends no
// request, since the service would process it like any other.
func (a *Agent) dialTarget(ctx context.Context) error {
	if a.Transport != nil {
		return nil // a transport set by a test has no address to connect to
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", a.TargetURL.Host)
	if err != nil {
		return errors.Wrap(ErrTarget, err.Error())
	}
	return errors.Wrap(c.Close(), "close connection to target")
}

// callTarget sends a request of the agent itself to the target and returns the status
// of the response. With status 200 it decodes the response into out, unless out is
// nil.
func (a *Agent) callTarget(ctx context.Context, method, path string, in, out any) (int, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, errors.Wrap(ErrTarget, err.Error())
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, a.TargetURL.String()+path, body)
	if err != nil {
		return 0, errors.Wrap(ErrTarget, err.Error())
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.orders.RoundTrip(req)
	if err != nil {
		return 0, errors.Wrap(ErrTarget, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if err := upstream.CheckStatus(resp.StatusCode); err != nil {
		return 0, errors.Wrap(ErrTarget, err.Error())
	}
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
