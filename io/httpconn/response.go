package httpconn

import (
	"net/http"
	"strconv"

	"github.com/hashicorp/go-hclog"
)

// Response is the response to one request. It knows whether the response has reached its
// end: the declared length has been written, the response has no body, or the handler has
// called Complete.
type Response struct {
	http.ResponseWriter
	request   *http.Request
	started   bool  // the final header has been written
	remaining int64 // of the declared length, in bytes; negative if no length was declared
	complete  bool
}

// ServeWhole serves a request by calling serve. If serve returns or panics before the
// response has reached its end, ServeWhole closes the connection, since net/http would
// otherwise end the response as if it were complete: with status 200 if no header has been
// written, and with the last chunk if one has. If serve returns without a response and
// without a reason in the context of the request, the status is 500.
func ServeWhole(log hclog.Logger, w http.ResponseWriter, r *http.Request, serve func(w *Response)) {
	x := &Response{ResponseWriter: w, request: r}
	defer x.close(log)
	serve(x)
	switch {
	case x.complete:
		return
	case !x.started && r.Context().Err() == nil:
		log.Error("handler returned without a response", "method", r.Method, "path", r.URL.Path)
		x.fail()
		return
	case r.Context().Err() == nil:
		log.Error("handler returned before the end of the response", "method", r.Method, "path", r.URL.Path, "missing", x.remaining)
	}
	panic(http.ErrAbortHandler)
}

// close makes the connection end with a reset if the response is incomplete and its end is
// that of the connection, as with HTTP/1.0. net/http closes the connection when a handler
// panics.
func (w *Response) close(log hclog.Logger) {
	if w.complete || !w.started || w.request.ProtoAtLeast(1, 1) {
		return
	}
	if err := ResetOnClose(w.request); err != nil {
		log.Warn("truncated response may look complete", "error", err)
	}
}

// fail responds with status 500, without the header fields set so far.
func (w *Response) fail() {
	h := w.Header()
	clear(h)
	h.Set("Connection", "close")
	h.Set("Content-Length", "0")
	w.WriteHeader(http.StatusInternalServerError)
}

// Complete marks the end of a response without a declared length.
func (w *Response) Complete() { w.complete = w.complete || w.remaining < 0 }

// WriteHeader writes the header.
func (w *Response) WriteHeader(status int) {
	if !w.started && status >= http.StatusOK {
		w.started = true
		w.remaining = -1
		if n, err := strconv.ParseInt(w.Header().Get("Content-Length"), 10, 64); err == nil {
			w.remaining = n
		}
		bodiless := w.request.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
		w.complete = bodiless || w.remaining == 0
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after the header with status 200 if none has been
// written.
func (w *Response) Write(p []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	n, err := w.ResponseWriter.Write(p)
	if w.remaining > 0 {
		w.remaining -= int64(n)
		w.complete = w.remaining <= 0 && err == nil
	}
	return n, err
}

// Unwrap returns the response writer of net/http, for http.ResponseController.
func (w *Response) Unwrap() http.ResponseWriter { return w.ResponseWriter }
