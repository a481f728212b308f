package gateway

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes is the size above which the parser gives up on a request head. It must
	// exceed the limit of the HTTP server, which is MaxHeaderBytes plus 4 KiB, so that the
	// server rejects the heads on which the parser gives up.
	maxHeadBytes = MaxHeaderBytes + 8<<10
	// maxLineBytes is the maximum length of a chunk-size line or a trailer line, the
	// same as in the HTTP server.
	maxLineBytes = 4 << 10
)

var (
	// errAmbiguous reports a head with an ambiguous or invalid body length. Components
	// on the path may interpret it differently and see different requests, which
	// allows request smuggling.
	errAmbiguous = errors.New("ambiguous request body length")
	// errDesynced reports a request for which the parser has found no head, because it
	// has lost the request boundaries.
	errDesynced = errors.New("request boundaries lost on the connection")
)

// parserState says which part of a request the parser expects next.
type parserState uint8

const (
	stateHead parserState = iota
	stateBody
	stateChunkSize // chunk-size line
	stateChunkData // chunk data and the line break after it
	stateTrailer   // trailer section after the last chunk
	stateDesynced  // request boundaries lost; no further head can be found
)

// framingParser tracks request boundaries on a connection and validates the framing
// fields of each head, which the HTTP server does not pass to its handler. The zero
// value expects the first head.
type framingParser struct {
	state     parserState
	buf       []byte // incomplete head or line
	remaining int64  // bytes left of the body or chunk
}

// feed parses the next bytes of the connection. It returns one entry for each head
// completed by them: nil, or the reason to reject the request.
func (f *framingParser) feed(p []byte) []error {
	var results []error
	for len(p) > 0 && f.state != stateDesynced {
		switch f.state {
		case stateHead:
			var err error
			var done bool
			if p, done, err = f.parseHead(p); done {
				results = append(results, err)
			}
		case stateBody, stateChunkData:
			n := min(f.remaining, int64(len(p)))
			f.remaining -= n
			p = p[n:]
			switch {
			case f.remaining > 0:
			case f.state == stateChunkData:
				f.state = stateChunkSize
			default:
				f.state = stateHead
			}
		case stateChunkSize, stateTrailer:
			p = f.parseLine(p)
		case stateDesynced:
		}
	}
	return results
}

// parseHead buffers and parses a head. It returns the bytes after the head, whether
// the head is complete, and the reason to reject the request, if any.
func (f *framingParser) parseHead(p []byte) ([]byte, bool, error) {
	buffered := len(f.buf)
	f.buf = append(f.buf, p...)
	// The server skips empty lines before a head.
	start := len(f.buf) - len(bytes.TrimLeft(f.buf, "\r\n"))
	end := headEnd(f.buf[start:])
	if end < 0 {
		if len(f.buf) > maxHeadBytes {
			f.desync()
		}
		return nil, false, nil
	}
	rest := p[start+end-buffered:]
	err := f.parseBodyFraming(f.buf[start : start+end])
	f.buf = nil
	return rest, true, err
}

// headEnd returns the length of the head at the start of b, including its empty
// line, or -1 if it is incomplete. Lines end with LF, with or without CR before it.
func headEnd(b []byte) int {
	at := 0
	for {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			return -1
		}
		line := b[at : at+n]
		at += n + 1
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return at
		}
	}
}

// parseBodyFraming sets the state after a head from its framing fields. A request
// without framing fields has no body. Every transfer coding is taken for chunked,
// because the HTTP server rejects HTTP/1.1 requests with any other.
func (f *framingParser) parseBodyFraming(head []byte) error {
	var lengths, codings int
	var length []byte
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			f.desync() // obsolete line folding, which parsers interpret differently
			return errAmbiguous
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			continue
		}
		switch name = bytes.TrimSpace(name); {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
			length = bytes.TrimSpace(value)
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings++
		}
	}
	switch {
	case lengths+codings > 1:
		f.desync()
		return errAmbiguous
	case codings == 1:
		f.state = stateChunkSize
	case lengths == 1:
		n, err := strconv.ParseUint(string(length), 10, 63)
		if err != nil {
			f.desync() // the HTTP server rejects the head as well
			return errAmbiguous
		}
		if f.remaining = int64(n); n > 0 {
			f.state = stateBody
		}
	}
	return nil
}

// parseLine buffers and parses a chunk-size or trailer line. It returns the bytes
// after the line.
func (f *framingParser) parseLine(p []byte) []byte {
	n := bytes.IndexByte(p, '\n')
	if n < 0 {
		f.buf = append(f.buf, p...)
		if len(f.buf) > maxLineBytes {
			f.desync()
		}
		return nil
	}
	line := bytes.TrimSpace(append(f.buf, p[:n]...))
	f.buf = nil
	if f.state == stateTrailer {
		if len(line) == 0 {
			f.state = stateHead
		}
		return p[n+1:]
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	c, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 62)
	switch {
	case err != nil:
		f.desync()
	case c == 0:
		f.state = stateTrailer
	default:
		f.state, f.remaining = stateChunkData, int64(c)+int64(len("\r\n"))
	}
	return p[n+1:]
}

// desync makes the parser ignore all further bytes of the connection.
func (f *framingParser) desync() { f.state, f.buf = stateDesynced, nil }
