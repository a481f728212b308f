package upstream_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/io/upstream"
)

// Guards against responses whose status or framing HTTP does not allow and that callers of
// the package take for responses: a status that can't be forwarded, or a body whose end is
// uncertain. Also guards against a connection that is reused after such a response, and
// against an error that does not name the value.
func TestInvalidResponses(t *testing.T) {
	const id = "Id: a\r\n"
	for name, test := range map[string]struct {
		text   string
		closes bool   // the target closes the connection after the response
		value  string // part of the error
	}{
		"status 000":                  {"HTTP/1.1 000 X\r\n" + id + "Content-Length: 3\r\n\r\none", false, "status 000"},
		"status 099":                  {"HTTP/1.1 099 X\r\n" + id + "Content-Length: 3\r\n\r\none", false, "status 099"},
		"status +99":                  {"HTTP/1.1 +99 X\r\n" + id + "Content-Length: 3\r\n\r\none", false, "status 099"},
		"status 600":                  {"HTTP/1.1 600 X\r\n" + id + "Content-Length: 3\r\n\r\none", false, "status 600"},
		"status 999":                  {"HTTP/1.1 999 X\r\n" + id + "Content-Length: 3\r\n\r\none", false, "status 999"},
		"status 600 without length":   {"HTTP/1.1 600 X\r\n" + id + "\r\none", true, "status 600"},
		"status 600, no body":         {"HTTP/1.1 600 X\r\n" + id + "Content-Length: 0\r\n\r\n", false, "status 600"},
		"status -01":                  {"HTTP/1.1 -01 X\r\n" + id + "\r\n", true, "-01"},
		"status of two digits":        {"HTTP/1.1 20 X\r\n" + id + "\r\n", true, `"20"`},
		"status of four digits":       {"HTTP/1.1 2000 X\r\n" + id + "\r\n", true, `"2000"`},
		"101":                         {"HTTP/1.1 101 X\r\n" + id + "Upgrade: x\r\nConnection: upgrade\r\n\r\n", false, "status 101"},
		"101 after 100":               {"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 101 X\r\n" + id + "\r\n", false, "status 101"},
		"103 with length":             {"HTTP/1.1 103 X\r\n" + id + "Content-Length: 3\r\n\r\none", false, "status 103"},
		"103 with empty body":         {"HTTP/1.1 103 X\r\n" + id + "Content-Length: 0\r\n\r\n", false, "status 103"},
		"103 with chunks":             {"HTTP/1.1 103 X\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, "status 103"},
		"103 at the end":              {"HTTP/1.1 103 X\r\n" + id + "\r\n", true, "status 103"},
		"103 and a body":              {"HTTP/1.1 103 X\r\n" + id + "\r\none\r\n\r\n", true, "status 103"},
		"two lengths":                 {"HTTP/1.1 200 OK\r\n" + id + "Content-Length: 3\r\nContent-Length: 4\r\n\r\none!", false, `"3" "4"`},
		"two lengths in a list":       {"HTTP/1.1 200 OK\r\n" + id + "Content-Length: 3, 4\r\n\r\none!", false, `"3, 4"`},
		"negative length":             {"HTTP/1.1 200 OK\r\n" + id + "Content-Length: -3\r\n\r\none", true, `"-3"`},
		"empty length":                {"HTTP/1.1 200 OK\r\n" + id + "Content-Length:\r\n\r\none", true, "Content-Length"},
		"length that is no number":    {"HTTP/1.1 200 OK\r\n" + id + "Content-Length: 0x3\r\n\r\none", true, `"0x3"`},
		"length out of range":         {"HTTP/1.1 200 OK\r\n" + id + "Content-Length: 9223372036854775808\r\n\r\none", true, `"9223372036854775808"`},
		"length and chunks":           {"HTTP/1.1 200 OK\r\n" + id + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n", false, "Transfer-Encoding: chunked"},
		"chunks and length":           {"HTTP/1.1 200 OK\r\n" + id + "transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n3\r\none\r\n0\r\n\r\n", false, "content-length: 3"},
		"two transfer codings":        {"HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\none\r\n0\r\n\r\n", false, "gzip"},
		"transfer coding in HTTP/1.0": {"HTTP/1.0 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n", true, "Transfer-Encoding: chunked"},
		"space before the colon":      {"HTTP/1.1 200 OK\r\n" + id + "Content-Length : 3\r\n\r\none", true, "Content-Length : 3"},
		"long value":                  {"HTTP/1.1 200 OK\r\n" + id + "Content-Length: " + strings.Repeat("9", 50_000) + "\r\n\r\n", true, "999"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newFakeTarget(t, func(conn, request int) response {
				if conn == 0 && request == 0 {
					return response{text: test.text, closeAfter: test.closes}
				}
				return response{text: ok("b", "second")}
			})
			var p upstream.Pool
			start := time.Now()
			_, err := do(&p, x.endpoint(), request("a"))
			var failure *upstream.Error
			is.True(errors.As(err, &failure)) // Do fails, not the read of the body
			is.True(failure.MaybeSent)
			is.True(strings.Contains(err.Error(), test.value)) // err names the value
			is.True(len(err.Error()) < 1000)
			is.True(time.Since(start) < 10*time.Second) // does not wait for the deadline of 20 s
			is.Equal(p.Idle(), 0)
			body, err := do(&p, x.endpoint(), request("b"))
			is.NoErr(err)
			is.Equal(body, "second")
			is.Equal(x.accepted, 2)
		})
	}
}

// Guards against a check that rejects responses that HTTP allows.
func TestUnusualValidResponses(t *testing.T) {
	const id = "Id: a\r\n"
	for name, text := range map[string]string{
		"equal lengths":          "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 3\r\nContent-Length: 3\r\n\r\none",
		"status 299":             "HTTP/1.1 299 X\r\n" + id + "Content-Length: 3\r\n\r\none",
		"status 599":             "HTTP/1.1 599 X\r\n" + id + "Content-Length: 3\r\n\r\none",
		"interim responses":      "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nLink: </a>\r\n\r\n" + ok("a", "one"),
		"folded length":          "HTTP/1.1 200 OK\r\n" + id + "Content-Length:\r\n 3\r\n\r\none",
		"chunks with a trailer":  "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\nContent-Length: 9\r\n\r\n",
		"other response, length": "HTTP/1.1 600 X\r\nId: b\r\nContent-Length: 3\r\n\r\ntwo" + ok("a", "one"),
		"header in small pieces": "HTTP/1.1 200 OK\r\n" + id + strings.Repeat("Field: "+strings.Repeat("x", 1000)+"\r\n", 40) + "Content-Length: 3\r\n\r\none",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newFakeTarget(t, func(int, int) response { return response{text: text} })
			var p upstream.Pool
			for range 2 {
				body, err := do(&p, x.endpoint(), request("a"))
				is.NoErr(err)
				is.Equal(body, "one")
			}
			is.Equal(x.accepted, 1)
		})
	}
}
