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

	"papayarock/io/wire"
)

// ErrIncomplete reports an answer that the target did not complete.
var ErrIncomplete = errors.New("target did not complete its answer")

const (
	readBufferBytes = 32 << 10
	maxIdleConns    = 1024
	idleTimeout     = 90 * time.Second
	maxHeadBytes    = 64 << 10
	// maxResumes bounds how often an engine is asked to resume one answer.
	maxResumes = 3
	// maxOverrun bounds how long a non-idempotent request may run beyond its
	// deadline.
	maxOverrun = 5 * time.Minute
)

// transports returns a transport that reuses connections and one that does not.
// A request that must not run twice gets a connection of its own, since
// http.Transport retries requests on reused connections that turn out to be
// closed.
func transports() (pooled, single *http.Transport) {
	single = &http.Transport{DisableCompression: true, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
	pooled = single.Clone()
	pooled.DisableKeepAlives = false
	pooled.MaxIdleConns, pooled.MaxIdleConnsPerHost = maxIdleConns, maxIdleConns
	pooled.IdleConnTimeout = idleTimeout
	return pooled, single
}

// runJob runs j against the target and records its outcome.
func (a *Agent) runJob(ctx context.Context, j *job) {
	defer j.cancel()
	ran, err := a.forward(ctx, j)
	a.finish(j, ran, err)
}

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
	err = j.receive(ctx, resp)
	_ = resp.Body.Close()
	for range maxResumes {
		if err == nil || !j.canResume(resp) || ctx.Err() != nil {
			break
		}
		a.Log.Info("stream broke off; requesting the rest from the engine", "request", j.request.ID, "offset", j.answer.Length, "error", err)
		err = a.resumeStream(ctx, j, err)
	}
	return wire.Ran_RAN_YES, err
}

// canResume reports whether an engine may be asked for the rest of an answer.
func (j *job) canResume(resp *http.Response) bool {
	return j.request.Language && j.stream && resp.StatusCode == http.StatusOK
}

// resumeStream requests the rest of an interrupted answer from the engine. If the
// engine cannot resume it or has crashed, the answer remains incomplete.
func (a *Agent) resumeStream(ctx context.Context, j *job, cause error) error {
	address := fmt.Sprintf("%s/resume/%s?offset=%d", a.Target, j.request.ID, j.answer.Length)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return errors.Wrap(ErrIncomplete, err.Error())
	}
	resp, err := a.single.RoundTrip(req)
	if err != nil {
		return errors.Wrapf(cause, "resume: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK || !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return errors.Wrapf(cause, "resume: status %d", resp.StatusCode)
	}
	return j.receiveBody(ctx, resp, false)
}

func (a *Agent) newRequest(ctx context.Context, j *job) (*http.Request, error) {
	r := j.request
	req, err := http.NewRequestWithContext(ctx, r.Method, a.Target.String()+r.Path, bytes.NewReader(j.body))
	if err != nil {
		return nil, errors.Wrap(wire.ErrInvalidMessage, err.Error())
	}
	req.Header = r.Header
	if len(r.Header["User-Agent"]) == 0 {
		req.Header["User-Agent"] = nil // otherwise net/http adds its own
	}
	req.Header.Set("Request-Id", r.ID.String())
	req.Header.Set("Papayarock-Class", r.Class.String())
	req.Header.Del("Papayarock-Customer")
	if r.Customer != "" {
		req.Header.Set("Papayarock-Customer", string(r.Customer))
	}
	return req, nil
}

// receive reads the answer into j. It returns nil only if the answer marks its own
// end, by a length, chunked encoding or the last event, and that end has arrived.
func (j *job) receive(ctx context.Context, resp *http.Response) error {
	j.stream = strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	small := resp.ContentLength >= 0 && resp.ContentLength <= readBufferBytes
	head := &wire.Head{RequestId: j.request.ID[:], Status: uint32(resp.StatusCode), Headers: wire.EncodeHeader(resp.Header)}
	j.setHead(head, small)
	return j.receiveBody(ctx, resp, small)
}

// receiveBody appends a response body to the answer.
func (j *job) receiveBody(ctx context.Context, resp *http.Response, small bool) error {
	buf := readBuffers.Get().(*[readBufferBytes]byte)
	defer readBuffers.Put(buf)
	for {
		if err := j.waitForReaders(ctx); err != nil {
			return errors.Wrap(ErrIncomplete, err.Error())
		}
		n, err := resp.Body.Read(buf[:])
		if n > 0 {
			j.append(buf[:n], small)
		}
		if err == io.EOF {
			return j.checkEnd(resp)
		}
		if err != nil {
			return errors.Wrap(ErrIncomplete, err.Error())
		}
	}
}

// checkEnd returns an error if the body was ended only by the connection closing,
// or if an event stream of a language model lacks its last event.
func (j *job) checkEnd(resp *http.Response) error {
	if resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.Wrap(ErrIncomplete, "response body has neither a length nor chunked encoding")
	}
	if !j.request.Language || !j.stream || resp.StatusCode != http.StatusOK {
		return nil
	}
	if !endsWithDone(j.retained()) {
		return errors.Wrap(ErrIncomplete, "event stream ended without data: [DONE]")
	}
	return nil
}

func endsWithDone(tail []byte) bool {
	tail = bytes.TrimRight(tail, "\r\n ")
	line := tail[bytes.LastIndexByte(tail, '\n')+1:]
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	return ok && string(bytes.TrimSpace(data)) == "[DONE]"
}
