package entry

import (
	"net/http"
	"net/textproto"
	"strings"
	"unicode/utf8"

	"golang.org/x/net/http/httpguts"
)

const (
	maxHeaderFields        = 100
	maxURLBytes            = 8 << 10
	maxKeyBytes            = 512
	maxIdempotencyKeyBytes = 256
)

// strippedHeaders lists the header fields that are forwarded neither to targets nor
// to callers: hop-by-hop fields, credentials and fields set by the entry.
var strippedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
	"Authorization", "Proxy-Authorization", "Proxy-Authenticate", "Proxy-Authentication-Info",
	"Request-Id", "Papayarock-Customer", "Papayarock-Class",
}

// stripHeaders removes strippedHeaders and the fields named in Connection, which are
// hop-by-hop fields too.
func stripHeaders(h http.Header) {
	for _, f := range h["Connection"] {
		for name := range strings.SplitSeq(f, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range strippedHeaders {
		delete(h, name)
	}
}

// forwardedHeader returns the header that is sent to the target. Every field that
// contains the API key is removed, so that a target does not receive the key if
// the caller also sends it in a second field.
func forwardedHeader(in http.Header, key string) http.Header {
	h := in.Clone()
	stripHeaders(h)
	delete(h, "Expect")         // the entry has already read the body
	delete(h, "Content-Length") // set by the agent from the body
	if key == "" {
		return h
	}
	for name, values := range h {
		for _, v := range values {
			if strings.Contains(v, key) {
				delete(h, name)
				break
			}
		}
	}
	return h
}

// bearerToken returns the API key from the Authorization header. It returns false
// unless there is exactly one valid bearer token.
func bearerToken(h http.Header) (string, bool) {
	values := h["Authorization"]
	if len(values) != 1 || len(values[0]) > maxKeyBytes {
		return "", false
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", false
	}
	return key, true
}

// idempotencyKey returns the Idempotency-Key of a request, or "" if there is none.
func idempotencyKey(h http.Header) (string, *Refusal) {
	values := h["Idempotency-Key"]
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1 || values[0] == "" || len(values[0]) > maxIdempotencyKeyBytes || !utf8.ValidString(values[0]):
		return "", refuseIdempotencyKey
	}
	return values[0], nil
}

// checkHeader refuses requests with an oversized URL or header, dot segments in the
// path, the CONNECT method or a protocol upgrade.
func checkHeader(r *http.Request, l Limits) *Refusal {
	if len(r.RequestURI) > maxURLBytes {
		return refuseURLTooLong
	}
	if hasDotSegment(r.URL.Path) {
		return refuseDotSegment
	}
	fields, size := 0, 0
	for name, values := range r.Header {
		for _, v := range values {
			fields++
			size += len(name) + len(v)
		}
	}
	if fields > maxHeaderFields || size > l.MaxHeaderBytes {
		return l.headerTooLarge()
	}
	if r.Method == http.MethodConnect || httpguts.HeaderValuesContainsToken(r.Header["Connection"], "Upgrade") {
		return refuseUpgrade
	}
	return nil
}

// hasDotSegment reports whether a decoded path contains a "." or ".." segment. A
// target that resolves such a path would serve a request outside the prefix of
// its route, for example at the management endpoint /order of an engine.
func hasDotSegment(path string) bool {
	for segment := range strings.FieldsFuncSeq(path, func(r rune) bool { return r == '/' || r == '\\' }) {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// completionPaths are the paths of the completion API. Callers must not reach the
// other paths of an engine, such as /order and /kv/export.
var completionPaths = map[string]bool{"/v1/completions": true, "/v1/chat/completions": true}

// completionPath returns the part of the request path on a language route that is
// sent to the engine. It returns false if that is not a path of the completion API.
func completionPath(path string) (string, bool) {
	i := strings.LastIndex(path, "/v1/")
	if i < 0 || !completionPaths[path[i:]] {
		return "", false
	}
	return path[i:], true
}
