package controller

import (
	"context"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/log"
	"papayarock/core/state"
	"papayarock/io/answers"
	"papayarock/io/identity"
	"papayarock/io/link"
	"papayarock/io/operator"
	"papayarock/io/replica"
	"papayarock/io/wire"
)

// maxChangeBytes limits the body of an operator's change. A questionnaire with
// 11,000 customers takes about 1 MB.
const maxChangeBytes = 8 << 20

// OperatorHandler returns the HTTP handler of the operator interface. name returns
// who made a request, or an error if the caller is not an operator.
func (c *Controller) OperatorHandler(name func(r *http.Request) (string, error)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/changes", func(w http.ResponseWriter, r *http.Request) {
		who, _ := name(r) // the outer handler has checked the error
		c.serveChange(w, r, who)
	})
	mux.HandleFunc("GET /v1/progress", c.serveProgress)
	mux.HandleFunc("GET /v1/configuration", c.serveConfiguration)
	mux.HandleFunc("POST /v1/hosts", c.serveMemberChange)
	mux.HandleFunc("GET /v1/targets", serveList(c, listTargets))
	mux.HandleFunc("GET /v1/keys", serveList(c, listKeys))
	mux.HandleFunc("GET /v1/usage", serveList(c, listUsage))
	mux.HandleFunc("GET /v1/orders", serveList(c, listOrders))
	mux.HandleFunc("GET /v1/audit", serveList(c, listAudit))
	mux.HandleFunc("GET /v1/hosts", serveList(c, listHosts))
	mux.HandleFunc("GET /v1/revocations", serveList(c, listRevocations))
	mux.HandleFunc("GET /v1/plan", c.servePlan)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, c.Status()) })
	mux.HandleFunc("GET /v1/dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, c.Dump()) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := name(r); err != nil {
			writeError(w, http.StatusForbidden, "operator", err)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// decodeBody decodes a body that must be one JSON value, without unknown fields and without
// further bytes.
func decodeBody(body io.Reader, in any) error {
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(in); err != nil {
		return err
	}
	// Decoder.More does not find bytes that begin with a closing bracket.
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("bytes follow the JSON value")
	}
	return nil
}

// serveChange commits an operator's change, in pieces if it is large, and answers
// with its outcome.
func (c *Controller) serveChange(w http.ResponseWriter, r *http.Request, name string) {
	var in operator.Change
	if err := decodeBody(http.MaxBytesReader(w, r.Body, maxChangeBytes), &in); err != nil {
		writeError(w, http.StatusBadRequest, "body", err)
		return
	}
	change, err := newChange(in, name, time.Now())
	if err != nil {
		writeError(w, http.StatusBadRequest, "change", err)
		return
	}
	index, _ := c.machine.config()
	if err := checkDrain(index, in); err != nil {
		writeJSON(w, http.StatusUnprocessableEntity, operator.ChangeResult{Outcome: operator.Invalid, Reason: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	if a, ok := change.Action.(state.ReplaceDocument); ok {
		if change.Action, err = c.editDocument(ctx, change.Base, a.Document); err != nil {
			writeError(w, http.StatusServiceUnavailable, operator.ProblemNotCommitted, err)
			return
		}
	}
	pieces := splitChange(change)
	for _, a := range pieces {
		piece := change
		piece.Action = a
		if err := checkSize(piece); err != nil {
			writeError(w, http.StatusRequestEntityTooLarge, "too-large", err)
			return
		}
	}
	result, err := c.commitPieces(ctx, change, pieces)
	switch {
	case err == nil && result.Outcome == state.ChangeMismatch:
		writeError(w, http.StatusServiceUnavailable, operator.ProblemNotCommitted, errors.New(result.Reason))
	case err == nil:
		writeJSON(w, httpStatus(result.Outcome), changeAnswer(result))
	case errors.Is(err, ErrNoLeader), errors.Is(err, replica.ErrNotLeader), errors.Is(err, replica.ErrNotCommitted):
		writeError(w, http.StatusServiceUnavailable, operator.ProblemNotCommitted, err)
	default:
		writeError(w, http.StatusGatewayTimeout, operator.ProblemUncertain, err)
	}
}

// checkSize returns an error for a change that exceeds the size limit of a log
// entry.
func checkSize(change state.Change) error {
	b, err := wire.EncodeCommand(change)
	if err == nil && len(b) > log.MaxCommandBytes {
		err = errors.Errorf("the change has %d bytes, the limit is %d", len(b), log.MaxCommandBytes)
	}
	return err
}

// commitChange commits an operator's change, through the leader if this replica does
// not lead.
func (c *Controller) commitChange(ctx context.Context, change state.Change) (state.ChangeResult, error) {
	r, err := c.Propose(ctx, change)
	if errors.Is(err, replica.ErrNotLeader) {
		r, err = c.proposeAtLeader(ctx, change)
	}
	if err != nil {
		return state.ChangeResult{}, err
	}
	out, ok := r.(state.ChangeResult)
	if !ok {
		return out, errors.Wrapf(ErrInvalidState, "change %q has result %T", change.ID, r)
	}
	return out, nil
}

// proposeAtLeader has the leader commit a command.
func (c *Controller) proposeAtLeader(ctx context.Context, command state.Command) (state.Result, error) {
	_, addr, ok := c.leader()
	if !ok {
		return nil, errors.Wrap(ErrNoLeader, "forward command")
	}
	b, err := wire.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	answer, err := link.Call[wire.ControlSubmitAnswer](ctx, c.links, addr, &wire.ControlSubmit{Command: b, Forwarded: true})
	if err != nil {
		return nil, classifyCallError(err)
	}
	switch answer.GetError() {
	case wire.ControlSubmitAnswer_NONE:
		return wire.DecodeResult(answer.GetResult())
	case wire.ControlSubmitAnswer_NOT_COMMITTED:
		return nil, errors.Wrap(replica.ErrNotCommitted, answer.GetDetail())
	}
	return nil, errors.Wrap(replica.ErrUncertain, answer.GetDetail())
}

func newChange(b operator.Change, name string, now time.Time) (state.Change, error) {
	ch := state.Change{ID: b.ID, Base: b.Base, Operator: name, Time: now}
	if b.ID == "" {
		return ch, errors.New(`member "id" is missing`)
	}
	var err error
	ch.Action, err = newAction(b, now)
	return ch, err
}

func newAction(b operator.Change, now time.Time) (state.Action, error) {
	target := fleet.TargetName(b.Target)
	drain := time.Duration(b.ForSeconds) * time.Second
	switch b.Action {
	case operator.ApplyAnswers:
		return newReplaceDocument(b.Answers)
	case operator.IssueKey:
		digest, err := hex.DecodeString(b.Digest)
		var d config.Digest
		if err != nil || copy(d[:], digest) != len(d) {
			return nil, errors.Errorf(`member "digest" is not %d hexadecimal digits`, 2*len(d))
		}
		return state.IssueKey{ID: b.Key, Digest: d, Customer: fleet.Customer(b.Customer)}, nil
	case operator.WithdrawKey:
		return state.WithdrawKey{ID: b.Key, Cut: b.Cut}, nil
	case operator.RevokeHost:
		return state.RevokeHost{Host: fleet.Host(b.Host)}, nil
	case operator.DrainTarget:
		return state.DrainTarget{Target: target, Until: now.Add(drain), Leave: b.Leave}, nil
	case operator.ReplaceTarget:
		return state.ReplaceTarget{Target: target, DrainFor: drain, Deadline: now.Add(time.Hour)}, nil
	case operator.SetRole:
		for _, role := range []fleet.Role{fleet.Mixed, fleet.Prefill, fleet.Decode} {
			if role.String() == b.Role {
				return state.SetRole{Target: target, Role: role, Until: now.Add(drain)}, nil
			}
		}
		return nil, errors.Errorf("role %q is not mixed, prefill or decode", b.Role)
	case operator.CancelDrain:
		return state.CancelDrain{Target: target}, nil
	}
	return nil, errors.Errorf("action %q does not exist", b.Action)
}

// newReplaceDocument returns the action that replaces the document by the one
// generated from a filled-in questionnaire.
func newReplaceDocument(text string) (state.Action, error) {
	a, faults := answers.Check([]byte(text))
	if len(faults) > 0 {
		return nil, errors.Errorf("answers have %d faults; the first: %v", len(faults), faults[0])
	}
	return state.ReplaceDocument{Document: answers.Generate(a).Document}, nil
}

func httpStatus(o state.ChangeOutcome) int {
	switch o {
	case state.ChangeAccepted:
		return http.StatusOK
	case state.ChangeInvalid:
		return http.StatusUnprocessableEntity
	}
	return http.StatusConflict
}

func changeAnswer(r state.ChangeResult) operator.ChangeResult {
	names := map[state.ChangeOutcome]string{
		state.ChangeAccepted: operator.Accepted, state.ChangeConflict: operator.Conflict,
		state.ChangeIDReused: operator.IDReused, state.ChangeInvalid: operator.Invalid,
	}
	a := operator.ChangeResult{Outcome: names[r.Outcome], Revision: r.Revision, Reason: r.Reason}
	if w := r.Winner; w.ID != "" {
		a.Winner = &operator.ChangeRef{ID: w.ID, Operator: w.Operator, Revision: w.Revision, Time: w.Time}
	}
	return a
}

// serveProgress answers with the rollout progress of a revision.
func (c *Controller) serveProgress(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "revision", err)
		return
	}
	answer := c.progress(time.Now(), revision)
	if !answer.GetLeading() {
		if answer, err = c.requestProgress(r.Context(), revision); err != nil {
			writeError(w, http.StatusServiceUnavailable, "no-leader", err)
			return
		}
	}
	writeJSON(w, http.StatusOK, operator.Progress{
		InForce: answer.GetInForce(), UpToDate: answer.GetHolding(), Waiting: answer.GetWaiting(),
	})
}

// requestProgress requests the rollout progress of a revision from the leader.
func (c *Controller) requestProgress(ctx context.Context, revision uint64) (*wire.ControlProgressAnswer, error) {
	_, addr, ok := c.leader()
	if !ok {
		return nil, errors.Wrap(ErrNoLeader, "request progress")
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	answer, err := link.Call[wire.ControlProgressAnswer](ctx, c.links, addr, &wire.ControlProgress{Revision: revision})
	if err != nil {
		return nil, err
	}
	if !answer.GetLeading() {
		return nil, errors.Wrap(ErrNoLeader, "request progress")
	}
	return answer, nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, kind string, err error) {
	writeProblem(w, operator.Problem{Type: kind, Title: err.Error(), Status: status})
}

func writeProblem(w http.ResponseWriter, p operator.Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// plainOperator is the operator name recorded for changes made without TLS.
const plainOperator = "operator without certificate"

// OperatorEndpoint returns the handler and the TLS configuration of the operator
// address. Without credentials, as with plain links, the TLS configuration is nil
// for plain HTTP, and every caller counts as an operator.
func (c *Controller) OperatorEndpoint(credentials *identity.Credentials) (http.Handler, *tls.Config) {
	if credentials == nil {
		return c.OperatorHandler(func(*http.Request) (string, error) { return plainOperator, nil }), nil
	}
	name := func(r *http.Request) (string, error) { return operatorName(r, credentials) }
	return c.OperatorHandler(name), identity.ServerConfig(credentials, identity.Operator)
}

// operatorName returns the operator that the client certificate of a request
// identifies. Revocation is checked for each request, since a connection may stay
// open after the certificate is revoked.
func operatorName(r *http.Request, credentials *identity.Credentials) (string, error) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return "", errors.New("an operator's client certificate is required")
	}
	p, err := identity.PeerOf(r.TLS.PeerCertificates[0])
	if err != nil {
		return "", err
	}
	if !p.HasAnyRole(identity.Operator) {
		return "", errors.Errorf("host %q is not an operator", p.Host)
	}
	if credentials.IsRevoked(p) {
		return "", errors.Errorf("the certificate of operator %q is revoked", p.Host)
	}
	return string(p.Host), nil
}
