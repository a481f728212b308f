package entry

import (
	"cmp"
	"fmt"
	"net/http"
	"time"
)

// Limits bound what callers can make an entry hold. A zero field takes the
// default.
type Limits struct {
	HeaderBytes int           // of all header fields; default 16 KiB
	BodyBytes   int           // of a request; default 8 MiB, which is also the most an agent takes
	FirstByte   time.Duration // from a new connection, or the last answer on it, to the end of the header; default 10 s
	Idle        time.Duration // after which an idle connection is closed; default 1 min
	Streams     int           // requests at once on one HTTP/2 connection; default 250
}

func (l Limits) orDefaults() Limits {
	l.HeaderBytes = cmp.Or(l.HeaderBytes, 16<<10)
	l.BodyBytes = cmp.Or(l.BodyBytes, 8<<20)
	l.FirstByte = cmp.Or(l.FirstByte, 10*time.Second)
	l.Idle = cmp.Or(l.Idle, time.Minute)
	l.Streams = cmp.Or(l.Streams, 250)
	return l
}

// Apply sets the limits on connections of callers.
func (l Limits) Apply(s *http.Server) {
	l = l.orDefaults()
	s.ReadHeaderTimeout = l.FirstByte
	s.IdleTimeout = l.Idle
	// Beyond this net/http refuses by itself; below it the entry explains.
	s.MaxHeaderBytes = 2 * (l.HeaderBytes + maxURLBytes)
	s.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: l.Streams}
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetHTTP2(true)
	s.Protocols.SetUnencryptedHTTP2(true)
}

func (l Limits) header() *Refusal {
	return refuseHeader.because(fmt.Sprintf("the header is larger than %d bytes or has more than %d fields", l.HeaderBytes, maxHeaderFields))
}

func (l Limits) body() *Refusal {
	return refuseLarge.because(fmt.Sprintf("the body is larger than %d bytes", l.BodyBytes))
}
