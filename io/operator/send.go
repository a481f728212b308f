package operator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"papayarock/io/identity"
)

// failures holds the errors of the failed attempts of one call.
type failures struct {
	req       request
	uncertain error // of the last attempt that may have taken effect; nil if none may have
	last      error // of the last attempt
}

// send tries all replicas in rounds until one returns a result or a permanent error
// status, the deadline leaves no time for another round, or the TLS handshake has
// failed with all replicas in one round.
func (c *Client) send(ctx context.Context, req request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Deadline)
	defer cancel()
	f := &failures{req: req}
	for {
		permanent := true
		for range c.options.Addresses {
			i := int(c.preferred.Load()) % len(c.options.Addresses)
			r, err := c.attempt(ctx, c.options.Addresses[i], req)
			if err == nil && req.isResult(r.status) {
				return r, nil
			}
			if err == nil && isPermanent(r.status) {
				return r, f.permanentError(problemError(r))
			}
			permanent = f.record(c.options.Addresses[i], r, err) && permanent
			c.selectNext(i, r)
			if ctx.Err() != nil {
				return response{}, f.exhaustedError()
			}
		}
		// Give up if the next round would start after the deadline: an attempt that the
		// deadline interrupts could turn a certain failure into an uncertain one.
		if deadline, _ := ctx.Deadline(); permanent || time.Until(deadline) <= c.options.RetryInterval {
			return response{}, f.exhaustedError()
		}
		select {
		case <-ctx.Done():
			return response{}, f.exhaustedError()
		case <-time.After(c.options.RetryInterval):
		}
	}
}

// selectNext selects the address of the attempt after one at address i: that of the
// leader if the response names it and it is in the list, otherwise the next one in the
// list. A selection that a concurrent call has made in the meantime is kept.
func (c *Client) selectNext(i int, r response) {
	next := (i + 1) % len(c.options.Addresses)
	if p := decodeProblem(r); p.Type == ProblemNotLeader && p.Address != "" {
		for j, a := range c.options.Addresses {
			if a == p.Address && j != i {
				next = j
			}
		}
	}
	c.preferred.CompareAndSwap(int64(i), int64(next))
}

// isPermanent reports whether every replica would return the same error status.
func isPermanent(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusTooManyRequests
}

// record records a failed attempt. Only a dial or TLS handshake error or status 503
// proves that the attempt had no effect. It returns true if a retry at the same address
// cannot succeed.
func (f *failures) record(address string, r response, err error) (permanent bool) {
	if err == nil {
		f.last = problemError(r)
		if r.status != http.StatusServiceUnavailable {
			f.uncertain = f.last
		}
		return false
	}
	f.last = errors.Wrap(err, address)
	handshakeFailed := isHandshakeError(err)
	if !handshakeFailed && !isDialError(err) {
		f.uncertain = f.last
	}
	return handshakeFailed
}

// isHandshakeError reports whether the TLS handshake failed, for example because one
// side rejected the certificate of the other. The request was not processed then.
func isHandshakeError(err error) bool {
	var alert tls.AlertError
	var header tls.RecordHeaderError
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "remote error" { // crypto/tls: the peer has sent an alert
		return true
	}
	return errors.As(err, &alert) || errors.As(err, &header) || errors.Is(err, identity.ErrIdentity)
}

// isDialError reports whether no connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// permanentError returns the error of a call that ends with a permanent error status,
// whose error is err. If an earlier attempt may have taken effect, the result is
// ErrUncertain, since the status says nothing about that attempt.
func (f *failures) permanentError(err error) error {
	if f.uncertain != nil && f.req.method != http.MethodGet {
		return errors.Wrapf(ErrUncertain, "%v; later attempt: %v", f.uncertain, err)
	}
	return err
}

// exhaustedError returns the error of a call whose attempts have all failed.
func (f *failures) exhaustedError() error {
	switch {
	case f.req.method == http.MethodGet:
		return errors.Wrapf(ErrUnavailable, "%v", f.last)
	case f.uncertain != nil:
		return errors.Wrapf(ErrUncertain, "%v", f.uncertain)
	}
	return errors.Wrapf(ErrNotCommitted, "%v", f.last)
}

func decodeProblem(r response) Problem {
	var p Problem
	_ = json.Unmarshal(r.body, &p) // a body of another form gives a zero Problem
	return p
}

func problemError(r response) error {
	p := decodeProblem(r)
	if p.Title == "" {
		p = Problem{Type: "http", Title: http.StatusText(r.status), Status: r.status}
	}
	return &ProblemError{Address: r.address, Problem: p}
}

func checkAddress(a string) error {
	host, port, err := net.SplitHostPort(a)
	if err != nil {
		return errors.Wrapf(ErrOptions, "control address %q: %v", a, err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return errors.Wrapf(ErrOptions, "control address %q is not HOST:PORT", a)
	}
	return nil
}
