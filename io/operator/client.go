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
	// DefaultAttempt bounds one request to one replica. It is longer than the
	// 5 s in which a replica answers a change.
	DefaultAttempt = 7 * time.Second
	// DefaultDeadline bounds a call with all its attempts.
	DefaultDeadline = 30 * time.Second
	// DefaultPause is the wait after all replicas have failed once.
	DefaultPause = 300 * time.Millisecond

	// maxAnswerBytes bounds an answer; a dump or usage list of 11,000 customers
	// has about 10 MB.
	maxAnswerBytes = 64 << 20
)

// Options configure a Client.
type Options struct {
	Addresses   []string              // operator addresses of control replicas, HOST:PORT, in order of preference
	Credentials *identity.Credentials // nil means plain HTTP
	Attempt     time.Duration         // zero means DefaultAttempt
	Pause       time.Duration         // zero means DefaultPause
	Deadline    time.Duration         // of a call with all its attempts; zero means DefaultDeadline
}

// Client calls the control replicas. Its methods may be called concurrently.
type Client struct {
	o      Options
	scheme string
	http   *http.Client
	first  atomic.Int64 // index of the address that answered last
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
	o.Attempt = cmp.Or(o.Attempt, DefaultAttempt)
	o.Deadline = cmp.Or(o.Deadline, DefaultDeadline)
	o.Pause = cmp.Or(o.Pause, DefaultPause)
	c := &Client{o: o, scheme: "http"}
	transport := &http.Transport{ForceAttemptHTTP2: true}
	if o.Credentials != nil {
		c.scheme = "https"
		transport.TLSClientConfig = identity.ClientConfig(o.Credentials, "", identity.Control)
	}
	// A redirect would leave the list of replicas.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	c.http = &http.Client{Transport: transport, CheckRedirect: noRedirect}
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Change commits a change. It sends the same change again after an answer that
// leaves open what became of it, until ctx or Options.Deadline ends. A change
// that is not accepted is a *ConflictError or an *InvalidError. ErrNotCommitted
// says that it certainly was not committed, ErrUncertain that it may have been.
func (c *Client) Change(ctx context.Context, change Change) (ChangeAnswer, error) {
	reply, err := c.send(ctx, call{method: http.MethodPost, path: "/v1/changes", body: change, decisive: decidesChange})
	if err != nil {
		return ChangeAnswer{}, err
	}
	var a ChangeAnswer
	if err := decode(reply, &a); err != nil {
		return a, errors.Wrap(ErrUncertain, err.Error())
	}
	switch a.Outcome {
	case Accepted:
		return a, nil
	case Conflict, IDReused:
		return a, &ConflictError{ID: change.ID, Answer: a}
	case Invalid:
		return a, &InvalidError{Reason: a.Reason}
	}
	return a, errors.Wrapf(ErrUncertain, "%s answered with outcome %q", reply.address, a.Outcome)
}

func decidesChange(status int) bool {
	return status == http.StatusOK || status == http.StatusConflict || status == http.StatusUnprocessableEntity
}

// ChangeHosts changes the members of the log through the leader. Sending it
// again has no further effect.
func (c *Client) ChangeHosts(ctx context.Context, change HostChange) (HostAnswer, error) {
	var a HostAnswer
	return a, c.call(ctx, call{method: http.MethodPost, path: "/v1/hosts", body: change}, &a)
}

// Progress says how far the change to a revision has come.
func (c *Client) Progress(ctx context.Context, revision uint64) (Progress, error) {
	var p Progress
	return p, c.get(ctx, "/v1/progress?revision="+strconv.FormatUint(revision, 10), &p)
}

// Configuration returns the generated configuration in force.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	var v Configuration
	return v, c.get(ctx, "/v1/configuration", &v)
}

// Targets lists the targets.
func (c *Client) Targets(ctx context.Context) (List[Target], error) {
	return list[Target](ctx, c, "targets")
}

// Keys lists the keys.
func (c *Client) Keys(ctx context.Context) (List[Key], error) { return list[Key](ctx, c, "keys") }

// Revocations lists the hosts with revoked certificates.
func (c *Client) Revocations(ctx context.Context) (List[Revocation], error) {
	return list[Revocation](ctx, c, "revocations")
}

// Usage lists the usage by window, customer and route.
func (c *Client) Usage(ctx context.Context) (List[Usage], error) { return list[Usage](ctx, c, "usage") }

// Orders lists the orders to targets and to the platform.
func (c *Client) Orders(ctx context.Context) (List[Order], error) {
	return list[Order](ctx, c, "orders")
}

// Audit lists the accepted changes.
func (c *Client) Audit(ctx context.Context) (List[Audit], error) { return list[Audit](ctx, c, "audit") }

// Hosts lists the members of the log and the nodes that poll.
func (c *Client) Hosts(ctx context.Context) (List[Host], error) { return list[Host](ctx, c, "hosts") }

// Plan returns the planner's view of the leader.
func (c *Client) Plan(ctx context.Context) (Plan, error) {
	var p Plan
	return p, c.get(ctx, "/v1/plan", &p)
}

// Status returns the status of the first replica that answers.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.get(ctx, "/v1/status", &s)
}

// StatusOf returns the status of one replica.
func (c *Client) StatusOf(ctx context.Context, address string) (Status, error) {
	var s Status
	return s, c.one(ctx, address, "/v1/status", &s)
}

// DumpOf returns the state of one replica as JSON.
func (c *Client) DumpOf(ctx context.Context, address string) (json.RawMessage, error) {
	var d json.RawMessage
	return d, c.one(ctx, address, "/v1/dump", &d)
}

// Addresses returns the addresses of the replicas.
func (c *Client) Addresses() []string { return c.o.Addresses }

func list[T any](ctx context.Context, c *Client, name string) (List[T], error) {
	var l List[T]
	return l, c.get(ctx, "/v1/"+name, &l)
}

func (c *Client) get(ctx context.Context, path string, v any) error {
	return c.call(ctx, call{method: http.MethodGet, path: path}, v)
}

func (c *Client) call(ctx context.Context, k call, v any) error {
	reply, err := c.send(ctx, k)
	if err != nil {
		return err
	}
	return decode(reply, v)
}

// one asks one replica once.
func (c *Client) one(ctx context.Context, address, path string, v any) error {
	reply, err := c.attempt(ctx, address, call{method: http.MethodGet, path: path})
	if err != nil {
		return errors.Wrapf(ErrUnavailable, "%s: %v", address, err)
	}
	if reply.status != http.StatusOK {
		return refusal(reply)
	}
	return decode(reply, v)
}

// call is one request of the interface.
type call struct {
	method, path string
	body         any
	decisive     func(status int) bool // nil means 200 only
}

func (k call) decides(status int) bool {
	if k.decisive == nil {
		return status == http.StatusOK
	}
	return k.decisive(status)
}

// reply is what a replica answered.
type reply struct {
	address string
	status  int
	body    []byte
}

func decode(r reply, v any) error {
	return errors.Wrapf(json.Unmarshal(r.body, v), "answer of %s", r.address)
}

// attempt sends one request to one replica.
func (c *Client) attempt(ctx context.Context, address string, k call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.Attempt)
	defer cancel()
	var body io.Reader = http.NoBody
	if k.body != nil {
		b, err := json.Marshal(k.body)
		if err != nil {
			return reply{}, errors.Wrap(err, "write request")
		}
		body = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, k.method, c.scheme+"://"+address+k.path, body)
	if err != nil {
		return reply{}, errors.Wrap(err, "make request")
	}
	r.GetBody = nil // net/http must not resend by itself; send counts each attempt
	r.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	return reply{address: address, status: answer.StatusCode, body: text}, err
}
