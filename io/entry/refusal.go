package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Values of the not-run field of a refusal.
const (
	notRunTrue    = "true"
	notRunFalse   = "false"
	notRunUnknown = "unknown"
)

// Refusal is an error response that the entry itself generates.
type Refusal struct {
	Status     int
	Type       string // stable identifier of the reason
	Title      string
	NotRun     string        // "true" if empty
	RetryAfter time.Duration // 0 if a retry would not help
}

// Error returns type and title.
func (r *Refusal) Error() string { return r.Type + ": " + r.Title }

// Refusals whose text does not depend on the request.
var (
	refuseRoute             = &Refusal{Status: http.StatusNotFound, Type: "no-route", Title: "no route serves this path"}
	refuseKey               = &Refusal{Status: http.StatusUnauthorized, Type: "key", Title: "the key is missing or not valid"}
	refusePath              = &Refusal{Status: http.StatusBadRequest, Type: "path", Title: "the path must not have . or .. segments"}
	refuseKeyInURL          = &Refusal{Status: http.StatusBadRequest, Type: "key-in-url", Title: "the key must not appear in the URL"}
	refuseStale             = &Refusal{Status: http.StatusServiceUnavailable, Type: "configuration-not-current", Title: "keys cannot be checked at the moment", RetryAfter: time.Second}
	refuseStopping          = &Refusal{Status: http.StatusServiceUnavailable, Type: "stopping", Title: "this host is stopping", RetryAfter: time.Second}
	refuseBusy              = &Refusal{Status: http.StatusServiceUnavailable, Type: "busy", Title: "this host holds too many requests", RetryAfter: time.Second}
	refuseURLTooLong        = &Refusal{Status: http.StatusRequestURITooLong, Type: "url-too-long", Title: "the URL is longer than 8192 bytes"}
	refuseHeaderTooLarge    = &Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Type: "header-too-large", Title: "the header is too large"}
	refuseBodyTooLarge      = &Refusal{Status: http.StatusRequestEntityTooLarge, Type: "body-too-large", Title: "the body is too large"}
	refuseBodyTimeout       = &Refusal{Status: http.StatusRequestTimeout, Type: "body-timeout", Title: "the body did not arrive in time"}
	refuseBodyIncomplete    = &Refusal{Status: http.StatusBadRequest, Type: "body", Title: "the body is incomplete"}
	refuseUpgrade           = &Refusal{Status: http.StatusBadRequest, Type: "upgrade", Title: "protocol upgrades are not supported"}
	refuseIdempotencyKey    = &Refusal{Status: http.StatusBadRequest, Type: "idempotency-key", Title: "Idempotency-Key must be one value of at most 256 bytes in UTF-8"}
	refuseNoTarget          = &Refusal{Status: http.StatusServiceUnavailable, Type: "no-target", Title: "no target can take the request", RetryAfter: time.Second}
	refuseClaim             = &Refusal{Status: http.StatusServiceUnavailable, Type: "no-claim", Title: "the Idempotency-Key cannot be recorded at the moment", RetryAfter: time.Second}
	refuseMismatch          = &Refusal{Status: http.StatusUnprocessableEntity, Type: "idempotency-key-mismatch", Title: "the Idempotency-Key was used with another request", NotRun: notRunUnknown}
	refuseAlreadyRun        = &Refusal{Status: http.StatusConflict, Type: "already-run", Title: "the request ran; its answer is not kept", NotRun: notRunFalse}
	refuseAlreadyRunning    = &Refusal{Status: http.StatusConflict, Type: "already-running", Title: "a request with this Idempotency-Key has not ended", NotRun: notRunUnknown, RetryAfter: time.Second}
	refuseOutcomeUnknown    = &Refusal{Status: http.StatusConflict, Type: "outcome-unknown", Title: "whether the request with this Idempotency-Key ran is not known", NotRun: notRunUnknown}
	refuseKeyWithdrawn      = &Refusal{Status: http.StatusUnauthorized, Type: "key-withdrawn", Title: "the key was withdrawn", NotRun: notRunUnknown}
	refuseTargetUnreachable = &Refusal{Status: http.StatusBadGateway, Type: "target-unreachable", Title: "the target cannot be reached", RetryAfter: time.Second}
	refuseTargetFailed      = &Refusal{Status: http.StatusBadGateway, Type: "target-failed", Title: "the target did not complete its answer", NotRun: notRunUnknown}
	refuseDeadline          = &Refusal{Status: http.StatusGatewayTimeout, Type: "deadline", Title: "the answer was not complete in time", NotRun: notRunUnknown}
)

// withTitle returns a copy of r with the given title.
func (r *Refusal) withTitle(title string) *Refusal {
	c := *r
	c.Title = title
	return &c
}

// withNotRun returns a copy of r with the given value of not-run.
func (r *Refusal) withNotRun(notRun string) *Refusal {
	c := *r
	c.NotRun = notRun
	return &c
}

// deterministicRefusals are the types of refusal that depend only on the content
// of the request, so that no earlier request with the same content can have run.
var deterministicRefusals = map[string]bool{
	refuseRoute.Type: true, refusePath.Type: true, refuseKeyInURL.Type: true, refuseBodyTooLarge.Type: true,
}

// unconfirmed returns r with not-run unknown if the request has an
// Idempotency-Key that has not been checked with control: an earlier request with
// the same key may have run.
func unconfirmed(req *http.Request, r *Refusal) *Refusal {
	if req.Header.Get("Idempotency-Key") == "" || deterministicRefusals[r.Type] || r.notRun() != notRunTrue {
		return r
	}
	return r.withNotRun(notRunUnknown)
}

func (r *Refusal) notRun() string {
	if r.NotRun == "" {
		return notRunTrue
	}
	return r.NotRun
}

type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	NotRun string `json:"not-run"`
}

func (r *Refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Del("Content-Length")
	h.Set("Content-Type", "application/problem+json")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(problem{Type: r.Type, Title: r.Title, Status: r.Status, NotRun: r.notRun()})
}
