package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"papayarock/io/identity"
	"papayarock/io/link"
	"papayarock/io/wire"
)

// partBytes is the largest piece of an answer sent in one frame.
const partBytes = 16 << 10

// maxBodyBytes bounds the request body an agent accepts.
const maxBodyBytes = 8 << 20

// ErrBody reports a request body that is too large or incomplete.
var ErrBody = errors.New("request body")

// Agent serves the target at Target.
type Agent struct {
	Listener net.Listener
	Target   *url.URL
	Client   *http.Client
	Log      hclog.Logger
}

// Serve runs until ctx ends.
func (a *Agent) Serve(ctx context.Context) error {
	server := &link.Server{Listener: a.Listener, Log: a.Log}
	link.Handle(server, a.handle, identity.Entry)
	return server.Serve(ctx)
}

func (a *Agent) handle(ctx context.Context, s *link.Stream, open *wire.Open) {
	run := open.GetRun()
	if run == nil {
		a.Log.Warn("call refused", "error", "unknown call")
		return
	}
	if err := a.run(ctx, s, run); err != nil {
		a.Log.Warn("request failed", "request", hclog.Fmt("%x", run.GetRequestId()), "error", err)
	}
}

func (a *Agent) run(ctx context.Context, s *link.Stream, run *wire.Run) error {
	body, err := receiveBody(s)
	if err != nil {
		return fail(s, run, wire.Ran_RAN_NO, err)
	}
	ctx, cancel := context.WithDeadline(ctx, time.Unix(0, run.GetDeadlineUnixNanos()))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, run.GetMethod(), a.Target.String()+run.GetPath(), bytes.NewReader(body))
	if err != nil {
		return fail(s, run, wire.Ran_RAN_NO, err)
	}
	for _, h := range run.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	resp, err := a.Client.Do(req)
	if err != nil {
		return fail(s, run, wire.Ran_RAN_UNKNOWN, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := s.Send(head(run, resp)); err != nil {
		return err
	}
	return a.copyBody(s, run, resp.Body)
}

func (a *Agent) copyBody(s *link.Stream, run *wire.Run, body io.Reader) error {
	sum := xxhash.New()
	buf := make([]byte, partBytes)
	var offset uint64
	for {
		n, err := body.Read(buf)
		if n > 0 {
			_, _ = sum.Write(buf[:n])
			part := &wire.Part{RequestId: run.GetRequestId(), Offset: offset, Data: buf[:n]}
			if err := s.Send(&wire.Frame{Frame: &wire.Frame_Part{Part: part}}); err != nil {
				return err
			}
			offset += uint64(n)
		}
		if err == io.EOF {
			end := &wire.End{RequestId: run.GetRequestId(), Length: offset, Checksum: sum.Sum64()}
			return s.Send(&wire.Frame{Frame: &wire.Frame_End{End: end}})
		}
		if err != nil {
			return fail(s, run, wire.Ran_RAN_UNKNOWN, err)
		}
	}
}

func head(run *wire.Run, resp *http.Response) *wire.Frame {
	h := &wire.Head{RequestId: run.GetRequestId(), Status: uint32(resp.StatusCode)}
	for name, values := range resp.Header {
		for _, v := range values {
			h.Headers = append(h.Headers, &wire.Header{Name: name, Value: v})
		}
	}
	return &wire.Frame{Frame: &wire.Frame_Head{Head: h}}
}

func receiveBody(s *link.Stream) ([]byte, error) {
	var body []byte
	for {
		var part wire.BodyPart
		if err := s.Receive(&part); err != nil {
			return nil, errors.Wrap(ErrBody, err.Error())
		}
		if len(body)+len(part.GetData()) > maxBodyBytes {
			return nil, errors.Wrapf(ErrBody, "larger than %d bytes", maxBodyBytes)
		}
		body = append(body, part.GetData()...)
		if part.GetLast() {
			return body, nil
		}
	}
}

func fail(s *link.Stream, run *wire.Run, ran wire.Ran, cause error) error {
	f := &wire.Failed{RequestId: run.GetRequestId(), Ran: ran, Reason: cause.Error()}
	if err := s.Send(&wire.Frame{Frame: &wire.Frame_Failed{Failed: f}}); err != nil {
		return err
	}
	return cause
}
