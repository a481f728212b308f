package httpconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"papayarock/io/httpconn"
)

// Guards against a response that looks complete although the handler has not finished it,
// whichever way the handler ends.
func TestServeWhole(t *testing.T) {
	write := func(w http.ResponseWriter, text string) { _, _ = io.WriteString(w, text) }
	declare := func(w http.ResponseWriter, length int) {
		w.Header().Set("Content-Length", fmt.Sprint(length))
		w.WriteHeader(http.StatusOK)
	}
	flush := func(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }
	const abort, whole = 0, http.StatusOK
	for name, test := range map[string]struct {
		serve func(ctx context.Context, w *httpconn.Response)
		want  int // status of a response that looks complete, or abort
	}{
		"returns at once":            {func(context.Context, *httpconn.Response) {}, http.StatusInternalServerError},
		"returns with header fields": {func(_ context.Context, w *httpconn.Response) { w.Header().Set("Mark", "m") }, http.StatusInternalServerError},
		"panics at once":             {func(context.Context, *httpconn.Response) { panic(http.ErrAbortHandler) }, abort},
		"panics after the header": {func(_ context.Context, w *httpconn.Response) {
			w.WriteHeader(200)
			flush(w)
			panic(http.ErrAbortHandler)
		}, abort},
		"status without a length":      {func(_ context.Context, w *httpconn.Response) { w.WriteHeader(200) }, abort},
		"status and no length, marked": {func(_ context.Context, w *httpconn.Response) { w.WriteHeader(200); w.Complete() }, whole},
		"marked without a header":      {func(_ context.Context, w *httpconn.Response) { w.Complete() }, http.StatusInternalServerError},
		"length of zero":               {func(_ context.Context, w *httpconn.Response) { declare(w, 0) }, whole},
		"whole length":                 {func(_ context.Context, w *httpconn.Response) { declare(w, 4); write(w, "ab"); write(w, "cd") }, whole},
		"part of the length":           {func(_ context.Context, w *httpconn.Response) { declare(w, 4); write(w, "ab") }, abort},
		"part of the length, marked":   {func(_ context.Context, w *httpconn.Response) { declare(w, 4); write(w, "ab"); w.Complete() }, abort},
		"more than the length":         {func(_ context.Context, w *httpconn.Response) { declare(w, 4); write(w, "ab"); write(w, "cde") }, abort},
		"chunks":                       {func(_ context.Context, w *httpconn.Response) { write(w, "ab"); flush(w); write(w, "cd") }, abort},
		"chunks, marked":               {func(_ context.Context, w *httpconn.Response) { write(w, "ab"); flush(w); write(w, "cd"); w.Complete() }, whole},
		"no content":                   {func(_ context.Context, w *httpconn.Response) { w.WriteHeader(http.StatusNoContent) }, http.StatusNoContent},
		"caller left, no header":       {func(ctx context.Context, _ *httpconn.Response) { <-ctx.Done() }, abort},
		"caller left, part": {func(ctx context.Context, w *httpconn.Response) {
			write(w, "ab")
			flush(w)
			<-ctx.Done()
		}, abort},
		"caller left, marked": {func(ctx context.Context, w *httpconn.Response) {
			<-ctx.Done()
			write(w, "abcd")
			w.Complete()
		}, whole},
	} {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+"/"+protocol, func(t *testing.T) {
				is := is.New(t)
				s := serveBy(t, calm, 1<<10, func(w http.ResponseWriter, r *http.Request) {
					httpconn.ServeWhole(hclog.NewNullLogger(), w, r, func(w *httpconn.Response) { test.serve(r.Context(), w) })
				})
				c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.Listener.Addr().String())
				is.NoErr(err)
				defer func() { _ = c.Close() }()
				_, err = fmt.Fprintf(c, "GET / %s\r\nHost: h\r\n\r\n", protocol)
				is.NoErr(err)
				if strings.HasPrefix(name, "caller left") {
					is.NoErr(c.(*net.TCPConn).CloseWrite()) // the caller still reads
				}
				status := abort
				if r, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
					if _, err := io.ReadAll(r.Body); err == nil {
						status = r.StatusCode
					}
				}
				is.Equal(status, test.want)
			})
		}
	}
}
