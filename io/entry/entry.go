package entry

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/io/link"
	"papayarock/io/wire"
)

const (
	maxBodyBytes  = 8 << 20
	bodyPartBytes = 64 << 10
)

// ErrAnswer reports an answer that did not arrive whole.
var ErrAnswer = errors.New("answer is incomplete")

// Entry is the HTTP handler that faces callers.
type Entry struct {
	Config *atomic.Pointer[config.Index]
	Links  *link.Pool
	Log    hclog.Logger

	next atomic.Uint64
}

// ServeHTTP serves one request of a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	index := e.Config.Load()
	route, ok := index.Route(r.URL.Path)
	if !ok {
		refuse(w, http.StatusNotFound, "no-route", "no route serves this path")
		return
	}
	var customer fleet.Customer
	if !route.Open {
		key, ok := index.Key(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
		if !ok {
			refuse(w, http.StatusUnauthorized, "key", "the key is missing or not valid")
			return
		}
		customer = key.Customer
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, "body", "the body is too large or incomplete")
		return
	}
	target, ok := e.pick(index.Pool(route.Pool))
	if !ok {
		refuse(w, http.StatusServiceUnavailable, "no-target", "no target is ready")
		return
	}
	e.forward(w, r, route, customer, target, body)
}

func (e *Entry) pick(targets []fleet.Target) (fleet.Target, bool) {
	start := e.next.Add(1)
	for i := range targets {
		t := targets[(start+uint64(i))%uint64(len(targets))]
		if t.Phase == fleet.Ready {
			return t, true
		}
	}
	return fleet.Target{}, false
}

func (e *Entry) forward(w http.ResponseWriter, r *http.Request, route config.Route, customer fleet.Customer, target fleet.Target, body []byte) {
	var id fleet.RequestID
	_, _ = rand.Read(id[:]) // crypto/rand.Read never fails
	w.Header().Set("Request-Id", id.String())
	ctx, cancel := context.WithTimeout(r.Context(), route.Promise)
	defer cancel()
	deadline, _ := ctx.Deadline()
	s, err := e.Links.Open(ctx, link.Address{Host: target.Host, AddrPort: target.Agent}, runMessage(r, route, customer, id, deadline))
	if err != nil {
		e.Log.Warn("target unreachable", "request", id, "target", target.Name, "error", err)
		refuse(w, http.StatusBadGateway, "target-unreachable", "the target cannot be reached")
		return
	}
	defer func() { _ = s.Close() }()
	if err := send(s, body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := receive(w, s, id); err != nil {
		e.Log.Warn("answer aborted", "request", id, "target", target.Name, "error", err)
		panic(http.ErrAbortHandler)
	}
}

func runMessage(r *http.Request, route config.Route, customer fleet.Customer, id fleet.RequestID, deadline time.Time) *wire.Open {
	run := &wire.Run{
		RequestId:         id[:],
		Customer:          string(customer),
		Class:             uint32(route.Class),
		DeadlineUnixNanos: deadline.UnixNano(),
		Method:            r.Method,
		Path:              r.URL.RequestURI(),
		Idempotent:        route.Idempotent,
	}
	run.Headers = append(run.Headers,
		&wire.Header{Name: "Content-Type", Value: r.Header.Get("Content-Type")},
		&wire.Header{Name: "Papayarock-Customer", Value: string(customer)},
		&wire.Header{Name: "Request-Id", Value: id.String()})
	return &wire.Open{Call: &wire.Open_Run{Run: run}}
}

func send(s *link.Stream, body []byte) error {
	for len(body) > bodyPartBytes {
		if err := s.Send(&wire.BodyPart{Data: body[:bodyPartBytes]}); err != nil {
			return err
		}
		body = body[bodyPartBytes:]
	}
	return s.Send(&wire.BodyPart{Data: body, Last: true})
}

func receive(w http.ResponseWriter, s *link.Stream, id fleet.RequestID) error {
	sum := xxhash.New()
	var length uint64
	for {
		var f wire.Frame
		if err := s.Receive(&f); err != nil {
			return errors.Wrap(ErrAnswer, err.Error())
		}
		switch f := f.GetFrame().(type) {
		case *wire.Frame_Head:
			for _, h := range f.Head.GetHeaders() {
				w.Header().Add(h.GetName(), h.GetValue())
			}
			w.WriteHeader(int(f.Head.GetStatus()))
		case *wire.Frame_Part:
			if !bytes.Equal(f.Part.GetRequestId(), id[:]) || f.Part.GetOffset() != length {
				return errors.Wrapf(ErrAnswer, "frame at offset %d, want %d", f.Part.GetOffset(), length)
			}
			_, _ = sum.Write(f.Part.GetData())
			length += uint64(len(f.Part.GetData()))
			if _, err := w.Write(f.Part.GetData()); err != nil {
				return err
			}
			_ = http.NewResponseController(w).Flush()
		case *wire.Frame_End:
			if f.End.GetLength() != length || f.End.GetChecksum() != sum.Sum64() {
				return errors.Wrapf(ErrAnswer, "%d of %d bytes", length, f.End.GetLength())
			}
			return nil
		case *wire.Frame_Failed:
			return errors.Wrap(ErrAnswer, f.Failed.GetReason())
		}
	}
}

type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	NotRun string `json:"not-run"`
}

func refuse(w http.ResponseWriter, status int, kind, title string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{Type: kind, Title: title, Status: status, NotRun: "true"})
}
