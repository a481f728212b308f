package entry

import (
	"net/http"
	"net/textproto"
	"strings"
	"unicode/utf8"

	"golang.org/x/net/http/httpguts"
)

const (
	maxHeaderFields = 100
	maxURLBytes     = 8 << 10
	maxKeyBytes     = 512
	maxIdemKeyBytes = 256
)

// endsHere lists the fields that belong to one connection or to the entry.
var endsHere = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
	"Authorization", "Proxy-Authorization", "Proxy-Authenticate", "Proxy-Authentication-Info",
	"Request-Id", "Papayarock-Customer", "Papayarock-Class",
}

// strip removes from h what must not pass the entry in either direction.
func strip(h http.Header) {
	for _, f := range h["Connection"] {
		for name := range strings.SplitSeq(f, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range endsHere {
		delete(h, name)
	}
}

// forwarded returns the header that the target receives. A field that holds
// the key is left out, so that no target sees a key which a caller sent twice.
func forwarded(in http.Header, key string) http.Header {
	h := in.Clone()
	strip(h)
	delete(h, "Expect")
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

// bearer returns the key of a request, or false if it has none or several.
func bearer(h http.Header) (string, bool) {
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

func idempotencyKey(h http.Header) (string, *Refusal) {
	values := h["Idempotency-Key"]
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1 || values[0] == "" || len(values[0]) > maxIdemKeyBytes || !utf8.ValidString(values[0]):
		return "", refuseIdemKey
	}
	return values[0], nil
}

// checkHead refuses requests whose line or header is too large.
func checkHead(r *http.Request, l Limits) *Refusal {
	if len(r.RequestURI) > maxURLBytes {
		return refuseURL
	}
	if hasDotSegment(r.URL.Path) {
		return refusePath
	}
	fields, size := 0, 0
	for name, values := range r.Header {
		for _, v := range values {
			fields++
			size += len(name) + len(v)
		}
	}
	if fields > maxHeaderFields || size > l.HeaderBytes {
		return l.header()
	}
	if r.Method == http.MethodConnect || httpguts.HeaderValuesContainsToken(r.Header["Connection"], "Upgrade") {
		return refuseUpgrade
	}
	return nil
}

// hasDotSegment says whether a decoded path leaves the place it seems to name. A
// target that resolves such a path would serve a request outside the prefix of
// its route, such as an order to an engine.
func hasDotSegment(path string) bool {
	for segment := range strings.FieldsFuncSeq(path, func(r rune) bool { return r == '/' || r == '\\' }) {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// languagePaths are the paths of the completion interface. Engines take orders
// and export caches under others, which callers must not reach.
var languagePaths = map[string]bool{"/v1/completions": true, "/v1/chat/completions": true}

// languagePath returns the part of a language route's path that the engine sees.
func languagePath(path string) (string, bool) {
	i := strings.LastIndex(path, "/v1/")
	if i < 0 || !languagePaths[path[i:]] {
		return "", false
	}
	return path[i:], true
}
