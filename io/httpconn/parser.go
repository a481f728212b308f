package httpconn

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
	// maxKeptBytes is how much of an incomplete line the parser keeps. The fields that
	// state the length of a body, and the size of a chunk, are shorter.
	maxKeptBytes = 128
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
// value expects the first head. It keeps no more than a part of one line.
type framingParser struct {
	state     parserState
	remaining int64 // bytes left of the body or chunk

	line    []byte // the first maxKeptBytes of the incomplete line
	lineLen int    // length of the incomplete line

	// Of the incomplete head:
	emptyLen int  // bytes of empty lines before it
	headLen  int  // its bytes so far, without these; zero if it has not begun
	folded   bool // it has a folded line
	lengths  int  // number of fields Content-Length
	codings  int  // number of fields Transfer-Encoding
	length   string
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

// parseHead parses a part of a head. It returns the bytes after the head, whether
// the head is complete, and the reason to reject the request, if any.
func (f *framingParser) parseHead(p []byte) ([]byte, bool, error) {
	if f.headLen == 0 {
		// Empty lines may precede a head.
		head := bytes.TrimLeft(p, "\r\n")
		f.emptyLen += len(p) - len(head)
		p = head
	}
	for len(p) > 0 {
		n, line, complete := f.takeLine(p)
		f.headLen += n
		p = p[n:]
		if !complete {
			break
		}
		if lineLen := f.lineLen; lineLen == 0 || lineLen == 1 && line[0] == '\r' {
			f.endLine()
			return p, true, f.endHead()
		}
		f.parseField(line)
		f.endLine()
	}
	if f.headLen > maxHeadBytes {
		f.desync()
	}
	return nil, false, nil
}

// takeLine takes the bytes of p up to the end of a line. If the line is complete, it
// returns the part of it that is kept, without the line feed.
func (f *framingParser) takeLine(p []byte) (n int, line []byte, complete bool) {
	n = bytes.IndexByte(p, '\n')
	part := p
	if complete = n >= 0; complete {
		part = p[:n]
		n++
	} else {
		n = len(p)
	}
	if f.lineLen == 0 && complete {
		f.lineLen = len(part)
		return n, part[:min(len(part), maxKeptBytes)], true
	}
	f.lineLen += len(part)
	f.line = append(f.line, part[:min(len(part), maxKeptBytes-len(f.line))]...)
	return n, f.line, complete
}

func (f *framingParser) endLine() { f.line, f.lineLen = f.line[:0], 0 }

// parseField records a line of a head if it states the length of the body. Of a line that
// is longer than the part that is kept, the length is invalid.
func (f *framingParser) parseField(line []byte) {
	if line[0] == ' ' || line[0] == '\t' {
		f.folded = true // obsolete line folding, which parsers interpret differently
		return
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return
	}
	switch name = bytes.TrimSpace(name); {
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.lengths++
		f.length = string(bytes.TrimSpace(value))
		if f.lineLen > maxKeptBytes {
			f.length = ""
		}
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.codings++
	}
}

// endHead sets the state after a head from its framing fields. A request without framing
// fields has no body. Every transfer coding is taken for chunked, because the HTTP server
// rejects HTTP/1.1 requests with any other.
func (f *framingParser) endHead() error {
	folded, lengths, codings, length := f.folded, f.lengths, f.codings, f.length
	f.emptyLen, f.headLen, f.folded, f.lengths, f.codings, f.length = 0, 0, false, 0, 0, ""
	switch {
	case folded, lengths+codings > 1:
		f.desync()
		return errAmbiguous
	case codings == 1:
		f.state = stateChunkSize
	case lengths == 1:
		n, err := strconv.ParseUint(length, 10, 63)
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

// parseLine parses a part of a chunk-size or trailer line. It returns the bytes after the
// line.
func (f *framingParser) parseLine(p []byte) []byte {
	n, line, complete := f.takeLine(p)
	if !complete {
		if f.lineLen > maxLineBytes {
			f.desync()
		}
		return nil
	}
	long := f.lineLen > maxKeptBytes
	line = bytes.TrimSpace(line)
	f.endLine()
	if f.state == stateTrailer {
		if len(line) == 0 && !long {
			f.state = stateHead
		}
		return p[n:]
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
	return p[n:]
}

// desync makes the parser ignore all further bytes of the connection.
func (f *framingParser) desync() { f.state, f.line, f.lineLen = stateDesynced, nil, 0 }
