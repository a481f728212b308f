package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxResponses limits the responses read for one request, including those that
	// are skipped: interim responses and responses to other requests.
	maxResponses = 4
	// maxInlineBodyBytes is the largest body that is written before the response
	// is read. A larger body is written concurrently, because the target may
	// respond before it has read all of it.
	maxInlineBodyBytes = 32 << 10
	// maxSkippedBytes limits the body of a skipped response: if the body has this
	// size or more, the connection is closed.
	maxSkippedBytes = 1 << 20
)

// Request is a request to a target. Header must not contain hop-by-hop fields or
// Content-Length.
type Request struct {
	Method string
	URI    string // request target, as in the request line
	Host   string
	Header http.Header
	Body   []byte // if nil, no Content-Length is sent
	// NewConn is set if a request with the same identifier has been sent to the endpoint
	// before. The identifier would not tell a second copy of the earlier response, which
	// arrives late on a pooled connection, from the response to this request.
	NewConn bool
	// Matches reports whether a response belongs to this request. kept says that the
	// connection has carried requests before, whose responses may come again. If nil, every
	// response matches.
	Matches func(kept bool, status int, h http.Header) bool
}

// Error reports that Do obtained no response to a request.
type Error struct {
	MaybeSent bool // true once writing has begun: the target may have received the request
	Err       error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.MaybeSent {
		return "no response: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Response is the response to a request. Body must be closed. The connection
// returns to the pool only if the body has been read to io.EOF before that.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1 if not known in advance
	// Delimited reports whether a length or chunks mark the end of the body. Otherwise it ends
	// with the connection, so that a body that broke off looks complete.
	Delimited bool
	Body      io.ReadCloser
	DialTime  time.Duration // time to connect; zero on a pooled connection
}

// Do sends a request and returns its response once the header has been read.
// Errors are of type *Error. When ctx ends, the connection is closed, which also
// ends reading of the body.
func (p *Pool) Do(ctx context.Context, endpoint Endpoint, q *Request) (*Response, error) {
	c, dialTime, err := p.acquire(ctx, endpoint, q.NewConn)
	if err != nil {
		return nil, &Error{Err: err}
	}
	stop := c.closeOnDone(ctx)
	written, err := c.writeRequest(q)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, &Error{MaybeSent: true, Err: contextCause(ctx, err)}
	}
	r, err := c.readResponse(ctx, q) //nolint:bodyclose // body owns the connection and closes it
	if err != nil {
		stop()
		_ = c.Close()
		return nil, &Error{MaybeSent: true, Err: err}
	}
	b := &body{ctx: ctx, pool: p, endpoint: endpoint, conn: c, response: r, upload: len(q.Body), written: written, stop: stop}
	return &Response{
		Status: r.StatusCode, Header: r.Header, Length: r.ContentLength, Delimited: delimited(r) || r.Body == http.NoBody, Body: b, DialTime: dialTime,
	}, nil
}

// contextCause returns the cause of ctx if ctx has ended, and err otherwise: once
// ctx has ended, err only reports that the connection was closed.
func contextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// writeRequest writes the request. A body above maxInlineBodyBytes is written in the
// background. The returned channel delivers the error of the background write, if
// there is one, and is closed when writing ends.
func (c *conn) writeRequest(q *Request) (<-chan error, error) {
	if err := c.writeHead(q); err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	if len(q.Body) <= maxInlineBodyBytes {
		defer close(done)
		if _, err := c.writer.Write(q.Body); err != nil {
			return nil, errors.Wrap(err, "write request")
		}
		return done, errors.Wrap(c.writer.Flush(), "write request")
	}
	go func() {
		defer close(done)
		_, err := c.writer.Write(q.Body)
		if err == nil {
			err = c.writer.Flush()
		}
		if err != nil {
			done <- errors.Wrap(err, "write request")
		}
	}()
	return done, nil
}

func (c *conn) writeHead(q *Request) error {
	_, _ = fmt.Fprintf(c.writer, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.URI, q.Host)
	if q.Body != nil {
		_, _ = c.writer.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	if err := q.Header.Write(c.writer); err != nil {
		return errors.Wrap(err, "write request")
	}
	_, err := c.writer.WriteString("\r\n") // returns the first error of all writes, because bufio.Writer keeps it
	return errors.Wrap(err, "write request")
}

// readResponse returns the first final response that belongs to q. It reads at most
// maxResponses responses. Errors name the status of the interim response before them, which
// the target may have meant as the final one.
func (c *conn) readResponse(ctx context.Context, q *Request) (*http.Response, error) {
	interim := 0
	for range maxResponses {
		r, err := c.readOne(q)
		switch {
		case err != nil && interim > 0:
			return nil, shortError{errors.Wrapf(contextCause(ctx, err), "read answer after interim status %d", interim)}
		case err != nil:
			return nil, shortError{errors.Wrap(contextCause(ctx, err), "read answer")}
		case isInterim(r.StatusCode):
			interim = r.StatusCode
			continue
		case q.Matches == nil || q.Matches(c.kept, r.StatusCode, r.Header):
			if err := CheckStatus(r.StatusCode); err != nil {
				return nil, errors.Wrap(err, "read answer")
			}
			return r, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxSkippedBytes))
		if err != nil || n == maxSkippedBytes || r.Close {
			return nil, errors.Errorf("skip response to another request: status %03d, %d body bytes read, limit %d", r.StatusCode, n, maxSkippedBytes)
		}
	}
	if interim > 0 {
		return nil, errors.Errorf("none of %d responses is the final response to the request, last interim status %d", maxResponses, interim)
	}
	return nil, errors.Errorf("none of %d responses is the final response to the request", maxResponses)
}

func isInterim(status int) bool { return status >= http.StatusContinue && status < minFinalStatus }

// readOne reads the header of the next response and checks what it says of its body.
func (c *conn) readOne(q *Request) (*http.Response, error) {
	c.startHead()
	r, err := http.ReadResponse(c.reader, &http.Request{Method: q.Method})
	head := c.endHead()
	if err != nil {
		return nil, err
	}
	if isInterim(r.StatusCode) {
		return r, checkInterim(r.StatusCode, head)
	}
	return r, checkFraming(r, head)
}

// idleDeadline returns the time after which an idle connection is no longer used. It
// uses the timeout in the Keep-Alive header field of the response, if there is one,
// and defaultIdleTimeout otherwise.
func idleDeadline(now time.Time, h http.Header) time.Time {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && s >= 0 {
			return now.Add(time.Duration(s)*time.Second - idleMargin)
		}
	}
	return now.Add(defaultIdleTimeout)
}
