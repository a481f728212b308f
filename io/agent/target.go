package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"papayarock/io/wire"
)

// ErrCut reports an answer that the target did not complete.
var ErrCut = errors.New("target did not complete its answer")

const (
	readBytes     = 32 << 10
	maxIdleConns  = 1024
	idleTimeout   = 90 * time.Second
	maxHeadBytes  = 64 << 10
	overrunBeyond = 5 * time.Minute
)

// transports returns a transport that keeps connections and one that does
// not. A request that must not run twice gets a connection of its own, since
// http.Transport repeats requests on kept connections that turn out closed.
func transports() (pooled, single *http.Transport) {
	single = &http.Transport{DisableCompression: true, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
	pooled = single.Clone()
	pooled.DisableKeepAlives = false
	pooled.MaxIdleConns, pooled.MaxIdleConnsPerHost = maxIdleConns, maxIdleConns
	pooled.IdleConnTimeout = idleTimeout
	return pooled, single
}

// execute runs j against the target and records its end.
func (a *Agent) execute(ctx context.Context, j *job) {
	defer j.cancel()
	ran, err := a.exchange(ctx, j)
	a.finish(j, ran, err)
}

func (a *Agent) exchange(ctx context.Context, j *job) (wire.Ran, error) {
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
		return wire.Ran_RAN_UNKNOWN, errors.Wrap(ErrCut, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	return wire.Ran_RAN_YES, j.receive(ctx, resp)
}

func (a *Agent) newRequest(ctx context.Context, j *job) (*http.Request, error) {
	r := j.request
	req, err := http.NewRequestWithContext(ctx, r.Method, a.Target.String()+r.Path, bytes.NewReader(j.body))
	if err != nil {
		return nil, errors.Wrap(wire.ErrMessage, err.Error())
	}
	req.Header = r.Header
	if len(r.Header["User-Agent"]) == 0 {
		req.Header["User-Agent"] = nil // else net/http adds its own
	}
	req.Header.Set("Request-Id", r.ID.String())
	req.Header.Set("Papayarock-Class", r.Class.String())
	req.Header.Del("Papayarock-Customer")
	if r.Customer != "" {
		req.Header.Set("Papayarock-Customer", string(r.Customer))
	}
	return req, nil
}

// receive reads the answer into j. It returns nil only if the answer carries
// its own mark of the end and that mark has arrived.
func (j *job) receive(ctx context.Context, resp *http.Response) error {
	j.stream = strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	small := resp.ContentLength >= 0 && resp.ContentLength <= readBytes
	head := &wire.Head{RequestId: j.request.ID[:], Status: uint32(resp.StatusCode), Headers: wire.EncodeHeader(resp.Header)}
	j.setHead(head, small)
	buf := readBuffers.Get().(*[readBytes]byte)
	defer readBuffers.Put(buf)
	for {
		if err := j.await(ctx); err != nil {
			return errors.Wrap(ErrCut, err.Error())
		}
		n, err := resp.Body.Read(buf[:])
		if n > 0 {
			j.append(buf[:n], small)
		}
		if err == io.EOF {
			return j.marked(resp)
		}
		if err != nil {
			return errors.Wrap(ErrCut, err.Error())
		}
	}
}

// marked checks that the end of the body is more than a closed connection.
func (j *job) marked(resp *http.Response) error {
	if resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.Wrap(ErrCut, "body has neither length nor chunks")
	}
	if !j.request.Language || !j.stream || resp.StatusCode != http.StatusOK {
		return nil
	}
	if !closesStream(j.tail()) {
		return errors.Wrap(ErrCut, "stream ended without data: [DONE]")
	}
	return nil
}

func closesStream(tail []byte) bool {
	tail = bytes.TrimRight(tail, "\r\n ")
	line := tail[bytes.LastIndexByte(tail, '\n')+1:]
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	return ok && string(bytes.TrimSpace(data)) == "[DONE]"
}
