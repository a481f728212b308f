package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Values of not-run in a refusal.
const (
	notRunTrue    = "true"
	notRunFalse   = "false"
	notRunUnknown = "unknown"
)

// Refusal is an answer of the entry itself.
type Refusal struct {
	Status     int
	Type       string // stable name of the reason
	Title      string
	NotRun     string        // "true" if empty
	RetryAfter time.Duration // 0 where waiting does not help
}

// Error returns type and title.
func (r *Refusal) Error() string { return r.Type + ": " + r.Title }

// Refusals whose text does not depend on the request.
var (
	refuseRoute     = &Refusal{Status: http.StatusNotFound, Type: "no-route", Title: "no route serves this path"}
	refuseKey       = &Refusal{Status: http.StatusUnauthorized, Type: "key", Title: "the key is missing or not valid"}
	refusePath      = &Refusal{Status: http.StatusBadRequest, Type: "path", Title: "the path must not have . or .. segments"}
	refuseKeyURL    = &Refusal{Status: http.StatusBadRequest, Type: "key-in-url", Title: "the key must not appear in the URL"}
	refuseStale     = &Refusal{Status: http.StatusServiceUnavailable, Type: "configuration-not-current", Title: "keys cannot be checked at the moment", RetryAfter: time.Second}
	refuseStopping  = &Refusal{Status: http.StatusServiceUnavailable, Type: "stopping", Title: "this host is stopping", RetryAfter: time.Second}
	refuseBusy      = &Refusal{Status: http.StatusServiceUnavailable, Type: "busy", Title: "this host holds too many requests", RetryAfter: time.Second}
	refuseURL       = &Refusal{Status: http.StatusRequestURITooLong, Type: "url-too-long", Title: "the URL is longer than 8192 bytes"}
	refuseHeader    = &Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Type: "header-too-large", Title: "the header is too large"}
	refuseLarge     = &Refusal{Status: http.StatusRequestEntityTooLarge, Type: "body-too-large", Title: "the body is too large"}
	refuseSlow      = &Refusal{Status: http.StatusRequestTimeout, Type: "body-timeout", Title: "the body did not arrive in time"}
	refuseBody      = &Refusal{Status: http.StatusBadRequest, Type: "body", Title: "the body is incomplete"}
	refuseUpgrade   = &Refusal{Status: http.StatusBadRequest, Type: "upgrade", Title: "protocol upgrades are not supported"}
	refuseIdemKey   = &Refusal{Status: http.StatusBadRequest, Type: "idempotency-key", Title: "Idempotency-Key must be one value of at most 256 bytes in UTF-8"}
	refuseNoTarget  = &Refusal{Status: http.StatusServiceUnavailable, Type: "no-target", Title: "no target can take the request", RetryAfter: time.Second}
	refuseClaim     = &Refusal{Status: http.StatusServiceUnavailable, Type: "no-claim", Title: "the Idempotency-Key cannot be recorded at the moment", RetryAfter: time.Second}
	refuseMismatch  = &Refusal{Status: http.StatusUnprocessableEntity, Type: "idempotency-key-mismatch", Title: "the Idempotency-Key was used with another request", NotRun: notRunUnknown}
	refuseRan       = &Refusal{Status: http.StatusConflict, Type: "already-run", Title: "the request ran; its answer is not kept", NotRun: notRunFalse}
	refuseRunning   = &Refusal{Status: http.StatusConflict, Type: "already-running", Title: "a request with this Idempotency-Key has not ended", NotRun: notRunUnknown, RetryAfter: time.Second}
	refuseUnknown   = &Refusal{Status: http.StatusConflict, Type: "outcome-unknown", Title: "whether the request with this Idempotency-Key ran is not known", NotRun: notRunUnknown}
	refuseCut       = &Refusal{Status: http.StatusUnauthorized, Type: "key-withdrawn", Title: "the key was withdrawn", NotRun: notRunUnknown}
	refuseTargetNot = &Refusal{Status: http.StatusBadGateway, Type: "target-unreachable", Title: "the target cannot be reached", RetryAfter: time.Second}
	refuseTarget    = &Refusal{Status: http.StatusBadGateway, Type: "target-failed", Title: "the target did not complete its answer", NotRun: notRunUnknown}
	refuseDeadline  = &Refusal{Status: http.StatusGatewayTimeout, Type: "deadline", Title: "the answer was not complete in time", NotRun: notRunUnknown}
)

// because returns r with another title.
func (r *Refusal) because(title string) *Refusal {
	c := *r
	c.Title = title
	return &c
}

// known returns r with another value of not-run.
func (r *Refusal) known(notRun string) *Refusal {
	c := *r
	c.NotRun = notRun
	return &c
}

// lasting are the refusals that every request of the same content gets, so that
// no earlier one can have run.
var lasting = map[string]bool{
	refuseRoute.Type: true, refusePath.Type: true, refuseKeyURL.Type: true, refuseLarge.Type: true,
}

// unsure returns what a refusal may say before control was asked about the
// Idempotency-Key of the request: an earlier request under it may have run.
func unsure(req *http.Request, r *Refusal) *Refusal {
	if req.Header.Get("Idempotency-Key") == "" || lasting[r.Type] || r.notRun() != notRunTrue {
		return r
	}
	return r.known(notRunUnknown)
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
