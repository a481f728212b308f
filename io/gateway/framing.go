package gateway

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes bounds a head; the HTTP server refuses one above its limit and
	// a few KiB.
	maxHeadBytes = MaxHeaderBytes + 8<<10
	// maxLineBytes bounds a chunk's size line and a trailer, as the HTTP server
	// does.
	maxLineBytes = 4 << 10
)

var (
	// errAmbiguous reports a head whose body has two lengths. Parts of the path
	// that read it differently would find other requests in it.
	errAmbiguous = errors.New("the request states its length in two ways")
	// errFraming reports bytes in which the next head cannot be found.
	errFraming = errors.New("the end of the request before cannot be found")
)

// part is what the next byte of a connection belongs to.
type part uint8

const (
	inHead part = iota
	inBody
	inSize    // the line that states the size of a chunk
	inChunk   // the data of a chunk and the line end behind it
	inTrailer // the lines behind the last chunk
	inDoubt   // the next head cannot be found any more
)

// framing follows the requests on a connection and checks each head for the
// fields that the HTTP server does not show its handler. The zero value awaits
// the first head.
type framing struct {
	part part
	held []byte // of the head or line that is not complete
	left int64  // bytes of the body or chunk
}

// feed takes the next bytes of the connection. It returns one entry for each head
// that they complete: nil, or why the request must be refused.
func (f *framing) feed(p []byte) []error {
	var heads []error
	for len(p) > 0 && f.part != inDoubt {
		switch f.part {
		case inHead:
			var err error
			var done bool
			if p, done, err = f.head(p); done {
				heads = append(heads, err)
			}
		case inBody, inChunk:
			n := min(f.left, int64(len(p)))
			f.left -= n
			p = p[n:]
			switch {
			case f.left > 0:
			case f.part == inChunk:
				f.part = inSize
			default:
				f.part = inHead
			}
		case inSize, inTrailer:
			p = f.line(p)
		case inDoubt:
		}
	}
	return heads
}

// head collects a head. It returns the bytes behind it and whether it is
// complete.
func (f *framing) head(p []byte) ([]byte, bool, error) {
	before := len(f.held)
	f.held = append(f.held, p...)
	// The server skips empty lines before a head.
	start := len(f.held) - len(bytes.TrimLeft(f.held, "\r\n"))
	end := headEnd(f.held[start:])
	if end < 0 {
		if len(f.held) > maxHeadBytes {
			f.doubt()
		}
		return nil, false, nil
	}
	rest := p[start+end-before:]
	err := f.body(f.held[start : start+end])
	f.held = nil
	return rest, true, err
}

// headEnd returns the length of the head at the start of b with its empty line;
// -1 if it is not complete. Lines end with LF, with or without CR before it.
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

// body finds out what follows a head.
func (f *framing) body(head []byte) error {
	var lengths, codings int
	var length []byte
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			f.doubt() // a continued line: parsers differ on what it belongs to
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
		f.doubt()
		return errAmbiguous
	case codings == 1:
		f.part = inSize
	case lengths == 1:
		n, err := strconv.ParseUint(string(length), 10, 63)
		if err != nil {
			f.doubt() // the server refuses the head
			return errAmbiguous
		}
		if f.left = int64(n); n > 0 {
			f.part = inBody
		}
	}
	return nil
}

// line collects a size line or a trailer and returns the bytes behind it.
func (f *framing) line(p []byte) []byte {
	n := bytes.IndexByte(p, '\n')
	if n < 0 {
		f.held = append(f.held, p...)
		if len(f.held) > maxLineBytes {
			f.doubt()
		}
		return nil
	}
	line := bytes.TrimSpace(append(f.held, p[:n]...))
	f.held = nil
	if f.part == inTrailer {
		if len(line) == 0 {
			f.part = inHead
		}
		return p[n+1:]
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	c, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 62)
	switch {
	case err != nil:
		f.doubt()
	case c == 0:
		f.part = inTrailer
	default:
		f.part, f.left = inChunk, int64(c)+int64(len("\r\n"))
	}
	return p[n+1:]
}

// doubt gives up on finding further heads.
func (f *framing) doubt() { f.part, f.held = inDoubt, nil }
