package wire

import (
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"

	"papayarock/core/fleet"
	"papayarock/core/state"
)

// ErrInvalidMessage is returned for a message between an entry and an agent that cannot
// be decoded.
var ErrInvalidMessage = errors.New("message is not valid")

// Request is a request to a target, as sent in a Run message. The body follows
// separately.
type Request struct {
	ID          fleet.RequestID
	Customer    fleet.Customer
	Class       fleet.Class
	Deadline    time.Time
	Method      string
	Path        string // including the query
	Header      http.Header
	Idempotent  bool
	Claim       uint64            // log index of the committed claim; 0 for none
	Incarnation fleet.Incarnation // expected incarnation of the agent; 0 for any
	Route       string
	Language    bool // the route has protocol config.Language
}

// EncodeRun converts r to its message.
func EncodeRun(r Request) *Run {
	return &Run{
		RequestId:         r.ID[:],
		Customer:          string(r.Customer),
		Class:             uint32(r.Class),
		DeadlineUnixNanos: r.Deadline.UnixNano(),
		Method:            r.Method,
		Path:              r.Path,
		Headers:           EncodeHeader(r.Header),
		Idempotent:        r.Idempotent,
		Claim:             r.Claim,
		Incarnation:       uint64(r.Incarnation),
		Route:             r.Route,
		Language:          r.Language,
	}
}

// DecodeRun converts m to a request. It rejects a method, path or header that could
// insert another header or request when the request is sent over HTTP.
func DecodeRun(m *Run) (Request, error) {
	id, err := DecodeRequestID(m.GetRequestId())
	if err != nil {
		return Request{}, err
	}
	if !httpguts.ValidHeaderFieldName(m.GetMethod()) { // method and header names are both tokens (RFC 9110)
		return Request{}, errors.Wrapf(ErrInvalidMessage, "method %q", m.GetMethod())
	}
	if !strings.HasPrefix(m.GetPath(), "/") || strings.ContainsFunc(m.GetPath(), isSpaceOrControl) {
		return Request{}, errors.Wrapf(ErrInvalidMessage, "path %q", m.GetPath())
	}
	if m.GetClass() > uint32(fleet.Urgent) {
		return Request{}, errors.Wrapf(ErrInvalidMessage, "class %d", m.GetClass())
	}
	header, err := DecodeHeader(m.GetHeaders())
	if err != nil {
		return Request{}, err
	}
	return Request{
		ID:          id,
		Customer:    fleet.Customer(m.GetCustomer()),
		Class:       fleet.Class(m.GetClass()),
		Deadline:    time.Unix(0, m.GetDeadlineUnixNanos()),
		Method:      m.GetMethod(),
		Path:        m.GetPath(),
		Header:      header,
		Idempotent:  m.GetIdempotent(),
		Claim:       m.GetClaim(),
		Incarnation: fleet.Incarnation(m.GetIncarnation()),
		Route:       m.GetRoute(),
		Language:    m.GetLanguage(),
	}, nil
}

func isSpaceOrControl(r rune) bool { return r <= ' ' || r == 0x7f }

// DecodeRequestID converts the bytes of a request ID after checking their length.
func DecodeRequestID(b []byte) (fleet.RequestID, error) {
	var id fleet.RequestID
	if len(b) != len(id) {
		return id, errors.Wrapf(ErrInvalidMessage, "request id of %d bytes", len(b))
	}
	copy(id[:], b)
	return id, nil
}

// EncodeHeader converts h to messages, one for each value.
func EncodeHeader(h http.Header) []*Header {
	out := make([]*Header, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			out = append(out, &Header{Name: name, Value: []byte(v)})
		}
	}
	return out
}

// DecodeHeader converts messages to a header. It returns an error for an invalid name
// or value.
func DecodeHeader(in []*Header) (http.Header, error) {
	h := make(http.Header, len(in))
	for _, f := range in {
		value := string(f.GetValue())
		if !httpguts.ValidHeaderFieldName(f.GetName()) || !httpguts.ValidHeaderFieldValue(value) {
			return nil, errors.Wrapf(ErrInvalidMessage, "header %q", f.GetName())
		}
		h.Add(f.GetName(), value)
	}
	return h, nil
}

// EncodeUsage converts a usage record to its message.
func EncodeUsage(u state.UsageRecord) *Usage {
	return &Usage{
		PromptTokens:   u.PromptTokens,
		OutputTokens:   u.OutputTokens,
		Node:           string(u.ID.Node),
		Incarnation:    uint64(u.ID.Incarnation),
		Sequence:       u.ID.Sequence,
		EndedUnixNanos: u.Ended.UnixNano(),
	}
}

// DecodeUsage converts m to a usage record of the given customer and route. It
// returns false if there is nothing to bill.
func DecodeUsage(m *Usage, customer fleet.Customer, route string) (state.UsageRecord, bool) {
	if m.GetSequence() == 0 {
		return state.UsageRecord{}, false
	}
	return state.UsageRecord{
		ID: state.UsageID{
			Node:        fleet.Host(m.GetNode()),
			Incarnation: fleet.Incarnation(m.GetIncarnation()),
			Sequence:    m.GetSequence(),
		},
		Customer:     customer,
		Route:        route,
		PromptTokens: m.GetPromptTokens(),
		OutputTokens: m.GetOutputTokens(),
		Ended:        time.Unix(0, m.GetEndedUnixNanos()),
	}, true
}
