package upstream

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

const (
	// minFinalStatus and maxStatus bound the status of a final response (RFC 9110, section
	// 15).
	minFinalStatus = 200
	maxStatus      = 599
	// maxErrorBytes limits the text of an error that quotes a response. A header may have
	// maxHeadBytes.
	maxErrorBytes = 256
)

// ErrInvalidResponse reports a response that can't be forwarded, because its status or the
// length of its body is not valid. The target may have run the request.
var ErrInvalidResponse = errors.New("invalid response")

// CheckStatus returns an error that wraps ErrInvalidResponse and names the status if it
// can't be the status of a final response.
func CheckStatus(status int) error {
	if status < minFinalStatus || status > maxStatus {
		return errors.Wrapf(ErrInvalidResponse, "status %03d", status)
	}
	return nil
}

// checkInterim returns an error if an interim response is really the final one: the gateway
// never asks for another protocol, and an interim response has no body (RFC 9110, section
// 15.2; RFC 9112, section 6).
func checkInterim(status int, head []byte) error {
	length, coding := framingFields(head)
	if status == http.StatusSwitchingProtocols || length != nil || coding != nil {
		return errors.Wrapf(ErrInvalidResponse, "status %03d as the final response", status)
	}
	return nil
}

// checkFraming returns an error if the header of a response states the length of the body
// in two ways, or in one that HTTP does not allow. net/http accepts such a header, and
// removes the fields from it (RFC 9112, section 6).
func checkFraming(r *http.Response, head []byte) error {
	length, coding := framingFields(head)
	for _, field := range [][]byte{length, coding} {
		if name, _, _ := bytes.Cut(field, []byte(":")); len(name) != len(bytes.TrimSpace(name)) {
			return errors.Wrapf(ErrInvalidResponse, "space before the colon of %q", field)
		}
	}
	switch {
	case coding != nil && length != nil:
		return errors.Wrapf(ErrInvalidResponse, "%q and %q", length, coding)
	case coding != nil && !r.ProtoAtLeast(1, 1):
		return errors.Wrapf(ErrInvalidResponse, "%q in %s", coding, r.Proto)
	}
	return nil
}

// framingFields returns the lines of the first Content-Length field and the first
// Transfer-Encoding field in the header of a response, or nil.
func framingFields(head []byte) (length, coding []byte) {
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) > maxErrorBytes {
			continue
		}
		switch name = bytes.TrimRight(name, " \t"); {
		case length == nil && bytes.EqualFold(name, []byte("Content-Length")):
			length = bytes.TrimSpace(line)
		case coding == nil && bytes.EqualFold(name, []byte("Transfer-Encoding")):
			coding = bytes.TrimSpace(line)
		}
	}
	return length, coding
}

// shortError limits the text of an error that quotes a response. Its cause remains.
type shortError struct{ error }

// Error returns at most maxErrorBytes of the text.
func (s shortError) Error() string {
	text := s.error.Error()
	if len(text) <= maxErrorBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
}

// Unwrap returns the complete error.
func (s shortError) Unwrap() error { return s.error }
