package httpconn

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// feedAll passes text to the parser in pieces of the given size. It returns the result
// for each head.
func feedAll(f *framingParser, text string, size int) []error {
	var results []error
	for len(text) > 0 {
		n := min(size, len(text))
		results = append(results, f.feed([]byte(text[:n]))...)
		text = text[n:]
	}
	return results
}

// Guards against heads that are missed or falsely found in bodies, for any split of
// the input into reads.
func TestFraming(t *testing.T) {
	const get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	const post = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nab\r\n\r\n"
	const chunked = "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\nA\r\n0123456789\r\n0\r\nT: 1\r\n\r\n"
	const both = "POST /d HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"
	for name, test := range map[string]struct {
		text     string
		results  []error
		desynced bool
	}{
		"one request":                              {get, []error{nil}, false},
		"pipelined requests":                       {get + post + chunked + get, []error{nil, nil, nil, nil}, false},
		"LF line ends":                             {"GET / HTTP/1.1\nHost: h\n\n" + get, []error{nil, nil}, false},
		"LF and CRLF mixed":                        {"GET / HTTP/1.1\nHost: h\r\n\n" + get, []error{nil, nil}, false},
		"empty lines between requests":             {post + "\r\n\r\n" + get, []error{nil, nil}, false},
		"both framing fields in the third request": {get + post + both + get, []error{nil, nil, errAmbiguous}, true},
		"folded header line":                       {"GET / HTTP/1.1\r\nA: b\r\n Content-Length: 4\r\n\r\n", []error{errAmbiguous}, true},
		"negative length":                          {"POST / HTTP/1.1\r\nContent-Length: -4\r\n\r\n", []error{errAmbiguous}, true},
		"hexadecimal length":                       {"POST / HTTP/1.1\r\nContent-Length: 0x4\r\n\r\n", []error{errAmbiguous}, true},
		"invalid chunk size":                       {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" + get, []error{nil}, true},
		"chunk size above 62 bits":                 {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n" + get, []error{nil}, true},
		"head above the limit":                     {"GET / HTTP/1.1\r\nA: " + strings.Repeat("a", maxHeadBytes), nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 2, 7, len(test.text)} {
				is := is.New(t)
				var f framingParser
				is.Equal(feedAll(&f, test.text, size), test.results)
				is.Equal(f.state == stateDesynced, test.desynced)
			}
		})
	}
}

// Guards against differences between framingParser and net/http: the parser must have
// validated every request that http.ReadRequest accepts.
func FuzzFraming(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST / HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n2 \nok\n0\n\nGET / HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		var g framingParser
		results := feedAll(&g, text, len(text))
		r := bufio.NewReader(strings.NewReader(text))
		for n := 0; ; n++ {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if n >= len(results) && g.state != stateDesynced {
				t.Fatalf("request %d was not validated: %q", n, text)
			}
			if n >= len(results) || results[n] != nil {
				return // rejected, and the connection is closed
			}
			length := q.Header.Get("Content-Length")
			if len(q.TransferEncoding) > 0 && length != "" {
				t.Fatalf("request %d has an ambiguous length: %q", n, text)
			}
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
		}
	})
}
