package operator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"papayarock/io/identity"
)

const (
	// DefaultAttemptTimeout bounds one request to one replica. It exceeds the 5 s
	// within which a replica responds to a change.
	DefaultAttemptTimeout = 7 * time.Second
	// DefaultDeadline bounds a call including all attempts.
	DefaultDeadline = 30 * time.Second
	// DefaultRetryInterval is the wait between two rounds of attempts at all replicas.
	DefaultRetryInterval = 300 * time.Millisecond

	// maxResponseBytes bounds a response body. A dump or usage list of 11,000
	// customers has about 10 MB.
	maxResponseBytes = 64 << 20
)

// Options configure a Client.
type Options struct {
	Addresses      []string              // operator addresses of the control replicas, HOST:PORT, in order of preference
	Credentials    *identity.Credentials // nil means plain HTTP
	AttemptTimeout time.Duration         // of one request to one replica; zero means DefaultAttemptTimeout
	RetryInterval  time.Duration         // between rounds of attempts; zero means DefaultRetryInterval
	Deadline       time.Duration         // of a call including all attempts; zero means DefaultDeadline
}

// Client calls the control replicas. It is safe for concurrent use.
type Client struct {
	options   Options
	scheme    string
	http      *http.Client
	preferred atomic.Int64 // index of the address to try next, shared by concurrent calls
}

// New returns a client.
func New(o Options) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, errors.Wrap(ErrOptions, "no control address is set")
	}
	for _, a := range o.Addresses {
		if err := checkAddress(a); err != nil {
			return nil, err
		}
	}
	o.AttemptTimeout = cmp.Or(o.AttemptTimeout, DefaultAttemptTimeout)
	o.Deadline = cmp.Or(o.Deadline, DefaultDeadline)
	o.RetryInterval = cmp.Or(o.RetryInterval, DefaultRetryInterval)
	c := &Client{options: o, scheme: "http"}
	transport := &http.Transport{ForceAttemptHTTP2: true}
	if o.Credentials != nil {
		c.scheme = "https"
		transport.TLSClientConfig = identity.ClientConfig(o.Credentials, "", identity.Control)
	}
	// Redirects are not followed, since they could lead to a host outside Addresses.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	c.http = &http.Client{Transport: transport, CheckRedirect: noRedirect}
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Change commits a change. After a failed attempt it sends the same change again with
// the same ID, until ctx ends or Options.Deadline has passed. If the change is rejected,
// the error is a *ConflictError or an *InvalidError. ErrNotCommitted means that the
// change was certainly not committed, ErrUncertain that it may have been.
func (c *Client) Change(ctx context.Context, change Change) (ChangeResult, error) {
	resp, err := c.send(ctx, request{method: http.MethodPost, path: "/v1/changes", body: change, resultStatus: isChangeResult})
	if err != nil {
		return ChangeResult{}, err
	}
	var result ChangeResult
	if err := decode(resp, &result); err != nil {
		return result, errors.Wrap(ErrUncertain, err.Error())
	}
	switch result.Outcome {
	case Accepted:
		return result, nil
	case Conflict, IDReused:
		return result, &ConflictError{ID: change.ID, Result: result}
	case Invalid:
		return result, &InvalidError{Reason: result.Reason}
	}
	return result, errors.Wrapf(ErrUncertain, "control replica %s returned the unknown outcome %q", resp.address, result.Outcome)
}

// isChangeResult reports whether a response with the status has a ChangeResult as its
// body.
func isChangeResult(status int) bool {
	return status == http.StatusOK || status == http.StatusConflict || status == http.StatusUnprocessableEntity
}

// ChangeMembers changes the members of the Raft log through the leader. It is
// idempotent.
func (c *Client) ChangeMembers(ctx context.Context, change MemberChange) (MemberChangeResult, error) {
	var result MemberChangeResult
	return result, c.call(ctx, request{method: http.MethodPost, path: "/v1/hosts", body: change}, &result)
}

// Progress returns how far a revision has propagated to the nodes.
func (c *Client) Progress(ctx context.Context, revision uint64) (Progress, error) {
	var p Progress
	return p, c.get(ctx, "/v1/progress?revision="+strconv.FormatUint(revision, 10), &p)
}

// Configuration returns the current configuration.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	var v Configuration
	return v, c.get(ctx, "/v1/configuration", &v)
}

// Targets lists the targets.
func (c *Client) Targets(ctx context.Context) (List[Target], error) {
	return getList[Target](ctx, c, "targets")
}

// Keys lists the keys.
func (c *Client) Keys(ctx context.Context) (List[Key], error) { return getList[Key](ctx, c, "keys") }

// Revocations lists the hosts whose certificates are revoked.
func (c *Client) Revocations(ctx context.Context) (List[Revocation], error) {
	return getList[Revocation](ctx, c, "revocations")
}

// Usage lists the usage per window, customer and route.
func (c *Client) Usage(ctx context.Context) (List[Usage], error) {
	return getList[Usage](ctx, c, "usage")
}

// Orders lists the orders that the leader has given to targets and to the platform.
func (c *Client) Orders(ctx context.Context) (List[Order], error) {
	return getList[Order](ctx, c, "orders")
}

// Audit lists the accepted changes.
func (c *Client) Audit(ctx context.Context) (List[AuditEntry], error) {
	return getList[AuditEntry](ctx, c, "audit")
}

// Hosts lists the members of the Raft log and the nodes that poll them.
func (c *Client) Hosts(ctx context.Context) (List[Host], error) {
	return getList[Host](ctx, c, "hosts")
}

// Plan returns the state of the leader's planner.
func (c *Client) Plan(ctx context.Context) (Plan, error) {
	var p Plan
	return p, c.get(ctx, "/v1/plan", &p)
}

// Status returns the status of the first replica that responds.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.get(ctx, "/v1/status", &s)
}

// StatusOf returns the status of one replica.
func (c *Client) StatusOf(ctx context.Context, address string) (Status, error) {
	var s Status
	return s, c.getFrom(ctx, address, "/v1/status", &s)
}

// DumpOf returns the state of one replica as JSON.
func (c *Client) DumpOf(ctx context.Context, address string) (json.RawMessage, error) {
	var d json.RawMessage
	return d, c.getFrom(ctx, address, "/v1/dump", &d)
}

// Addresses returns the operator addresses of the replicas, as in Options.
func (c *Client) Addresses() []string { return c.options.Addresses }

func getList[T any](ctx context.Context, c *Client, name string) (List[T], error) {
	var l List[T]
	return l, c.get(ctx, "/v1/"+name, &l)
}

func (c *Client) get(ctx context.Context, path string, v any) error {
	return c.call(ctx, request{method: http.MethodGet, path: path}, v)
}

// call sends req to the replicas, with retries, and decodes the result into v.
func (c *Client) call(ctx context.Context, req request, v any) error {
	resp, err := c.send(ctx, req)
	if err != nil {
		return err
	}
	return decode(resp, v)
}

// getFrom sends one GET request to one replica, without retries.
func (c *Client) getFrom(ctx context.Context, address, path string, v any) error {
	resp, err := c.attempt(ctx, address, request{method: http.MethodGet, path: path})
	if err != nil {
		return errors.Wrapf(ErrUnavailable, "%s: %v", address, err)
	}
	if resp.status != http.StatusOK {
		return problemError(resp)
	}
	return decode(resp, v)
}

// request describes a request to any replica.
type request struct {
	method, path string
	body         any
	resultStatus func(status int) bool // reports whether a response with the status has a result as its body; nil means 200 only
}

func (r request) isResult(status int) bool {
	if r.resultStatus == nil {
		return status == http.StatusOK
	}
	return r.resultStatus(status)
}

// response is the response of one replica.
type response struct {
	address string
	status  int
	body    []byte
}

func decode(r response, v any) error {
	return errors.Wrapf(json.Unmarshal(r.body, v), "answer of %s", r.address)
}

// attempt sends one request to one replica and returns its response, whatever the
// status.
func (c *Client) attempt(ctx context.Context, address string, req request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.AttemptTimeout)
	defer cancel()
	var body io.Reader = http.NoBody
	if req.body != nil {
		b, err := json.Marshal(req.body)
		if err != nil {
			return response{}, errors.Wrap(err, "encode request body")
		}
		body = bytes.NewReader(b)
	}
	httpReq, err := http.NewRequestWithContext(ctx, req.method, c.scheme+"://"+address+req.path, body)
	if err != nil {
		return response{}, errors.Wrap(err, "create request")
	}
	httpReq.GetBody = nil // net/http must not retry by itself, since send records the result of each attempt
	httpReq.Header.Set("Content-Type", "application/json")
	httpResp, err := c.http.Do(httpReq)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = httpResp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(httpResp.Body, maxResponseBytes))
	return response{address: address, status: httpResp.StatusCode, body: data}, err
}
