package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"papayarock/io/action"
	"papayarock/io/upstream"
	"papayarock/io/wire"
)

// ErrIncomplete reports a response that the target did not complete.
var ErrIncomplete = errors.New("target did not complete its answer")

const (
	readBufferBytes = 32 << 10
	maxIdleConns    = 1024 // to the target
	idleConnTimeout = 90 * time.Second
	maxHeaderBytes  = 64 << 10 // of a response of the target
	// maxStreamResumes bounds how often an engine is asked to resume one response.
	maxStreamResumes = 3
	// maxOverrun bounds how long a non-idempotent request may run beyond its
	// deadline.
	maxOverrun = 5 * time.Minute
)

// transports returns a transport that reuses connections, one that does not, and one for
// orders, which must not reach the target after they have been given up.
// A request that must not run twice gets a connection of its own, since
// http.Transport retries requests on reused connections that turn out to be
// closed.
func transports() (pooled, single, orders *http.Transport) {
	single = &http.Transport{DisableCompression: true, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}
	pooled = single.Clone()
	pooled.DisableKeepAlives = false
	pooled.MaxIdleConns, pooled.MaxIdleConnsPerHost = maxIdleConns, maxIdleConns
	pooled.IdleConnTimeout = idleConnTimeout
	orders = single.Clone()
	orders.DialContext = action.Dial
	return pooled, single, orders
}

// runJob runs j against the target and records its outcome.
func (a *Agent) runJob(ctx context.Context, j *job) {
	defer j.cancel()
	ran, err := a.forward(ctx, j)
	a.finish(j, ran, err)
}

// forward sends the request of j to the target and receives the response into j. It
// returns whether the request has run, which is unknown if the target was connected
// but sent no valid response header.
func (a *Agent) forward(ctx context.Context, j *job) (wire.Ran, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := a.newRequest(ctx, j)
	if err != nil {
		return wire.Ran_RAN_NO, err
	}
	transport := a.single
	if j.request.Idempotent {
		transport = a.pooled
	}
	// RoundTrip does not follow redirects, unlike http.Client.
	resp, err := transport.RoundTrip(req)
	if err != nil {
		if !connected.Load() {
			return wire.Ran_RAN_NO, errors.Wrap(err, "connect to target")
		}
		return wire.Ran_RAN_UNKNOWN, errors.Wrap(ErrIncomplete, err.Error())
	}
	if err := upstream.CheckStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close()
		return wire.Ran_RAN_UNKNOWN, err
	}
	err = j.receiveResponse(ctx, resp)
	_ = resp.Body.Close()
	for range maxStreamResumes {
		if err == nil || !j.canResumeStream(resp) || ctx.Err() != nil {
			break
		}
		a.Log.Info("event stream from the engine was interrupted; requesting the rest", "request", j.request.ID, "offset", j.response.Length, "error", err)
		err = a.resumeStream(ctx, j, err)
	}
	return wire.Ran_RAN_YES, err
}

// canResumeStream reports whether an engine may be asked for the rest of a response.
func (j *job) canResumeStream(resp *http.Response) bool {
	return j.request.Language && j.eventStream && resp.StatusCode == http.StatusOK
}

// resumeStream requests the rest of an interrupted response from the engine. If the
// engine cannot resume it or has crashed, the returned error wraps cause.
func (a *Agent) resumeStream(ctx context.Context, j *job, cause error) error {
	address := fmt.Sprintf("%s/resume/%s?offset=%d", a.TargetURL, j.request.ID, j.response.Length)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return errors.Wrap(ErrIncomplete, err.Error())
	}
	resp, err := a.single.RoundTrip(req)
	if err != nil {
		return errors.Wrapf(cause, "request for the rest of the response: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK || !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return errors.Wrapf(cause, "request for the rest of the response: status %d, content type %q", resp.StatusCode, resp.Header.Get("Content-Type"))
	}
	return j.receiveResponseBody(ctx, resp, false)
}

func (a *Agent) newRequest(ctx context.Context, j *job) (*http.Request, error) {
	r := j.request
	req, err := http.NewRequestWithContext(ctx, r.Method, a.TargetURL.String()+r.Path, bytes.NewReader(j.body))
	if err != nil {
		return nil, errors.Wrap(wire.ErrInvalidMessage, err.Error())
	}
	req.Header = r.Header
	if len(r.Header["User-Agent"]) == 0 {
		req.Header["User-Agent"] = nil // otherwise net/http sets its own value
	}
	req.Header.Set("Request-Id", r.ID.String())
	req.Header.Set("Papayarock-Class", r.Class.String())
	req.Header.Del("Papayarock-Customer")
	if r.Customer != "" {
		req.Header.Set("Papayarock-Customer", string(r.Customer))
	}
	return req, nil
}

// receiveResponse reads a response into j. It returns nil only if the response has
// arrived up to an explicit end: its length, the last chunk or the last event. The head
// of a response that fits into one read buffer is sent together with the body.
func (j *job) receiveResponse(ctx context.Context, resp *http.Response) error {
	j.eventStream = strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	deferHead := resp.ContentLength >= 0 && resp.ContentLength <= readBufferBytes
	head := &wire.Head{RequestId: j.request.ID[:], Status: uint32(resp.StatusCode), Headers: wire.EncodeHeader(resp.Header)}
	j.setHead(head, deferHead)
	return j.receiveResponseBody(ctx, resp, deferHead)
}

// receiveResponseBody appends a response body to the buffer of j.
func (j *job) receiveResponseBody(ctx context.Context, resp *http.Response, deferHead bool) error {
	buf := readBuffers.Get().(*[readBufferBytes]byte)
	defer readBuffers.Put(buf)
	for {
		if err := j.waitForReaders(ctx); err != nil {
			return errors.Wrap(ErrIncomplete, err.Error())
		}
		n, err := resp.Body.Read(buf[:])
		if n > 0 {
			j.append(buf[:n], deferHead)
		}
		if err == io.EOF {
			return j.checkEnd(resp)
		}
		if err != nil {
			return errors.Wrap(ErrIncomplete, err.Error())
		}
	}
}

// checkEnd returns an error if only the close of the connection marks the end of the
// body, or if an event stream of a language model lacks its last event.
func (j *job) checkEnd(resp *http.Response) error {
	if resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.Wrap(ErrIncomplete, "response body has neither a length nor chunked encoding")
	}
	if !j.request.Language || !j.eventStream || resp.StatusCode != http.StatusOK {
		return nil
	}
	if !endsWithDone(j.bufferedTail()) {
		return errors.Wrap(ErrIncomplete, "event stream ended without data: [DONE]")
	}
	return nil
}

// endsWithDone reports whether the last line of an event stream is data: [DONE].
func endsWithDone(tail []byte) bool {
	tail = bytes.TrimRight(tail, "\r\n ")
	line := tail[bytes.LastIndexByte(tail, '\n')+1:]
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	return ok && string(bytes.TrimSpace(data)) == "[DONE]"
}
