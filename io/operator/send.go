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

// sending is the state of one call over all its attempts.
type sending struct {
	call      call
	uncertain error // of the last attempt that may have had an effect
	last      error
}

// send tries the replicas in turn, in rounds, until one decides the call.
func (c *Client) send(ctx context.Context, k call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.Deadline)
	defer cancel()
	s := &sending{call: k}
	for {
		hopeless := true
		for range c.o.Addresses {
			i := int(c.first.Load()) % len(c.o.Addresses)
			r, err := c.attempt(ctx, c.o.Addresses[i], k)
			if err == nil && k.decides(r.status) {
				return r, nil
			}
			if err == nil && final(r.status) {
				return r, s.stop(refusal(r))
			}
			hopeless = s.record(c.o.Addresses[i], r, err) && hopeless
			c.turn(i, r)
			if ctx.Err() != nil {
				return reply{}, s.failure()
			}
		}
		// An attempt that the deadline cuts off would only add uncertainty.
		if deadline, _ := ctx.Deadline(); hopeless || time.Until(deadline) <= c.o.Pause {
			return reply{}, s.failure()
		}
		select {
		case <-ctx.Done():
			return reply{}, s.failure()
		case <-time.After(c.o.Pause):
		}
	}
}

// turn chooses the next address: that of the leader if the answer names it and
// it is in the list, else the one after.
func (c *Client) turn(i int, r reply) {
	next := (i + 1) % len(c.o.Addresses)
	if p := problem(r); p.Type == ProblemNotLeader && p.Address != "" {
		for j, a := range c.o.Addresses {
			if a == p.Address && j != i {
				next = j
			}
		}
	}
	c.first.CompareAndSwap(int64(i), int64(next))
}

// final says whether a refusal would be the same at another replica.
func final(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusTooManyRequests
}

// record notes a failed attempt and says whether the same attempt is bound to
// fail again.
func (s *sending) record(address string, r reply, err error) (hopeless bool) {
	if err == nil {
		s.last = refusal(r)
		if r.status != http.StatusServiceUnavailable {
			s.uncertain = s.last
		}
		return false
	}
	s.last = errors.Wrap(err, address)
	identityFailed := refusedIdentity(err)
	if !identityFailed && !unsent(err) {
		s.uncertain = s.last
	}
	return identityFailed
}

// refusedIdentity says whether one of the sides refused the certificate of the
// other, after which nothing was handled.
func refusedIdentity(err error) bool {
	var alert tls.AlertError
	var header tls.RecordHeaderError
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "remote error" {
		return true
	}
	return errors.As(err, &alert) || errors.As(err, &header) || errors.Is(err, identity.ErrIdentity)
}

// unsent says whether no connection was made.
func unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// stop returns a final refusal. It is uncertain if an earlier attempt was, as
// the refusal says nothing of that one.
func (s *sending) stop(err error) error {
	if s.uncertain != nil && s.call.method != http.MethodGet {
		return errors.Wrapf(ErrUncertain, "%v; then %v", s.uncertain, err)
	}
	return err
}

// failure says what is known after the last attempt.
func (s *sending) failure() error {
	switch {
	case s.call.method == http.MethodGet:
		return errors.Wrapf(ErrUnavailable, "%v", s.last)
	case s.uncertain != nil:
		return errors.Wrapf(ErrUncertain, "%v", s.uncertain)
	}
	return errors.Wrapf(ErrNotCommitted, "%v", s.last)
}

func problem(r reply) Problem {
	var p Problem
	_ = json.Unmarshal(r.body, &p) // an answer of another kind is no problem
	return p
}

func refusal(r reply) error {
	p := problem(r)
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
