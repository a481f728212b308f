package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Values of the not-run field of a refusal, which tells the caller whether the
// request is known not to have run (true) or to have run (false).
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

// Error implements error.
func (r *Refusal) Error() string { return r.Type + ": " + r.Title }

// Predefined refusals. They are shared and must not be modified.
var (
	refuseNoRoute                = &Refusal{Status: http.StatusNotFound, Type: "no-route", Title: "no route serves this path"}
	refuseInvalidAPIKey          = &Refusal{Status: http.StatusUnauthorized, Type: "key", Title: "the key is missing or not valid"}
	refuseDotSegment             = &Refusal{Status: http.StatusBadRequest, Type: "path", Title: "the path must not have . or .. segments"}
	refuseAPIKeyInURL            = &Refusal{Status: http.StatusBadRequest, Type: "key-in-url", Title: "the key must not appear in the URL"}
	refuseStaleConfig            = &Refusal{Status: http.StatusServiceUnavailable, Type: "configuration-not-current", Title: "keys cannot be checked at the moment", RetryAfter: time.Second}
	refuseStopping               = &Refusal{Status: http.StatusServiceUnavailable, Type: "stopping", Title: "this host is stopping", RetryAfter: time.Second}
	refuseBusy                   = &Refusal{Status: http.StatusServiceUnavailable, Type: "busy", Title: "this host holds too many requests", RetryAfter: time.Second}
	refuseURLTooLong             = &Refusal{Status: http.StatusRequestURITooLong, Type: "url-too-long", Title: "the URL is longer than 8192 bytes"}
	refuseHeaderTooLarge         = &Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Type: "header-too-large", Title: "the header is too large"}
	refuseBodyTooLarge           = &Refusal{Status: http.StatusRequestEntityTooLarge, Type: "body-too-large", Title: "the body is too large"}
	refuseBodyTimeout            = &Refusal{Status: http.StatusRequestTimeout, Type: "body-timeout", Title: "the body did not arrive in time"}
	refuseBodyIncomplete         = &Refusal{Status: http.StatusBadRequest, Type: "body", Title: "the body is incomplete"}
	refuseUpgrade                = &Refusal{Status: http.StatusBadRequest, Type: "upgrade", Title: "protocol upgrades are not supported"}
	refuseIdempotencyKey         = &Refusal{Status: http.StatusBadRequest, Type: "idempotency-key", Title: "Idempotency-Key must be one value of at most 256 bytes in UTF-8"}
	refuseNoTarget               = &Refusal{Status: http.StatusServiceUnavailable, Type: "no-target", Title: "no target can take the request", RetryAfter: time.Second}
	refuseNoClaim                = &Refusal{Status: http.StatusServiceUnavailable, Type: "no-claim", Title: "the Idempotency-Key cannot be recorded at the moment", RetryAfter: time.Second}
	refuseIdempotencyKeyMismatch = &Refusal{Status: http.StatusUnprocessableEntity, Type: "idempotency-key-mismatch", Title: "the Idempotency-Key was used with another request", NotRun: notRunUnknown}
	refuseAlreadyRun             = &Refusal{Status: http.StatusConflict, Type: "already-run", Title: "the request ran; its answer is not kept", NotRun: notRunFalse}
	refuseAlreadyRunning         = &Refusal{Status: http.StatusConflict, Type: "already-running", Title: "a request with this Idempotency-Key has not ended", NotRun: notRunUnknown, RetryAfter: time.Second}
	refuseOutcomeUnknown         = &Refusal{Status: http.StatusConflict, Type: "outcome-unknown", Title: "whether the request with this Idempotency-Key ran is not known", NotRun: notRunUnknown}
	refuseAPIKeyWithdrawn        = &Refusal{Status: http.StatusUnauthorized, Type: "key-withdrawn", Title: "the key was withdrawn", NotRun: notRunUnknown}
	refuseTargetUnreachable      = &Refusal{Status: http.StatusBadGateway, Type: "target-unreachable", Title: "the target cannot be reached", RetryAfter: time.Second}
	refuseTargetFailed           = &Refusal{Status: http.StatusBadGateway, Type: "target-failed", Title: "the target did not complete its answer", NotRun: notRunUnknown}
	refuseDeadline               = &Refusal{Status: http.StatusGatewayTimeout, Type: "deadline", Title: "the answer was not complete in time", NotRun: notRunUnknown}
)

func (r *Refusal) withTitle(title string) *Refusal {
	c := *r
	c.Title = title
	return &c
}

func (r *Refusal) withNotRun(notRun string) *Refusal {
	c := *r
	c.NotRun = notRun
	return &c
}

// deterministicRefusals are the types of refusal that depend only on the request and
// on routes and limits. While these do not change, no earlier request with the same
// content can have run.
var deterministicRefusals = map[string]bool{
	refuseNoRoute.Type: true, refuseDotSegment.Type: true, refuseAPIKeyInURL.Type: true, refuseBodyTooLarge.Type: true,
}

// unconfirmed returns the refusal of a request whose Idempotency-Key, if any, has
// not been checked with the control plane. An earlier request with the same key may
// have run, so not-run is unknown unless the refusal is deterministic.
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

// problemDetails is the body of a refusal in the format of RFC 9457.
type problemDetails struct {
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
	_ = json.NewEncoder(w).Encode(problemDetails{Type: r.Type, Title: r.Title, Status: r.Status, NotRun: r.notRun()})
}
