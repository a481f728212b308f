package gateway

import (
	"net/http"
	"net/netip"
	"time"

	"papayarock/core/fleet"
)

// RequestInfo holds the request parameters that a caller sends in header fields.
type RequestInfo struct {
	ID              string          // request id
	Key             string          // API key of the customer; empty if there is none
	Deadline        time.Time       // the caller's deadline; zero if not stated
	PromptTokens    int             // number of tokens in the prompt
	MaxOutputTokens int             // maximum number of tokens in the response
	LengthHint      int             // number of tokens that the caller expects in the response; zero if not stated
	StatesTokens    bool            // the caller states both numbers of tokens, which may be zero
	Segments        []PromptSegment // all segments of the prompt, in order; the last is unique to this request
	LastEventID     string          // id of the last event received by the caller
}

// PromptSegment is a segment of a prompt.
type PromptSegment struct {
	ID     string
	Tokens int
}

// AffinityKey returns the key for session affinity: the id of the last prompt segment that
// other requests share, or an empty string if there is none.
func (i RequestInfo) AffinityKey() string {
	shared := i.SharedSegments()
	if len(shared) == 0 {
		return ""
	}
	return shared[len(shared)-1].ID
}

// SharedSegments returns the segments of the prompt that other requests may share: all but
// the last.
func (i RequestInfo) SharedSegments() []PromptSegment { return i.Segments[:max(0, len(i.Segments)-1)] }

// ForwardInfo holds the parameters that the gateway adds to a forwarded request.
type ForwardInfo struct {
	Target      fleet.TargetName // the only target that may execute the request
	Deadline    time.Time        // deadline at which the target stops processing
	Customer    fleet.Customer   // empty if the request has none
	Rank        int              // priority; zero is the highest
	LastEventID string           // id of the last event received by the caller
	Prefill     bool             // the target only computes the prefill and keeps the KV cache
	KVCache     KVCacheRef       // KV cache to be fetched by the target; empty for none
	FetchFrom   netip.AddrPort   // engine from which to fetch what it has cached of the prompt; invalid for none
}

// KVCacheRef identifies the KV cache of a prompt, held by a prefill engine.
type KVCacheRef struct {
	Source netip.AddrPort // address of the prefill engine
	Handle string         // identifies the cache at Source
}

// ResponseInfo is what a response header states about the execution of the request and
// the origin of the response.
type ResponseInfo struct {
	NotExecuted bool // the target has not executed the request and will not
	Misdirected bool // the request reached a target other than the addressed one
	Authentic   bool // the response carries the target's proof of origin
	Leaving     bool // the target will end soon and wants no further requests
	// RetryAt is when the target wants requests again. It is zero if the target has not
	// stated that with a refusal.
	RetryAt time.Time
	// Limited is set if the target names a limit, and Limit is the limit in requests per
	// second of all gateways together.
	Limited bool
	Limit   float64
}

// HeaderCodec encodes and decodes the header fields that callers and targets use, and the
// requests and responses that manage KV caches.
type HeaderCodec interface {
	// DecodeRequest decodes the header of a caller's request. A relative deadline counts
	// from now, the arrival time.
	DecodeRequest(now time.Time, r *http.Request) RequestInfo
	// EncodeForward prepares the header of a request to a target. It encodes f in the
	// fields of h that are reserved for the gateway, and removes values that the caller
	// has put there. A relative deadline counts from now.
	EncodeForward(now time.Time, h http.Header, f ForwardInfo)
	// MatchesRequest reports whether a response belongs to the request with the given id. A
	// connection that was kept after earlier requests may deliver their responses again.
	MatchesRequest(id string, kept bool, status int, h http.Header) bool
	// DecodeResponse decodes the status and the header of a target's response. A relative
	// time counts from now.
	DecodeResponse(now time.Time, status int, h http.Header) ResponseInfo
	// DecodeKVCacheHandle decodes the KV cache handle from the response to a prefill
	// request.
	DecodeKVCacheHandle(body []byte) (string, error)
	// KVCacheReleaseRequest returns the method and URI of the request that makes a target
	// drop an unused KV cache.
	KVCacheReleaseRequest(handle string) (method, uri string)
}
