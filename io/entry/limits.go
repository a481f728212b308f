package entry

import (
	"cmp"
	"fmt"
	"net/http"
	"time"
)

// Limits bound the resources that callers can occupy at an entry. Zero fields
// take their defaults.
type Limits struct {
	MaxHeaderBytes          int           // total size of header names and values; default 16 KiB
	MaxBodyBytes            int           // size of a request body; default 8 MiB, the maximum that an agent accepts
	HeaderTimeout           time.Duration // time to read a request header, for later requests on a connection from their first bytes; default 10 s
	IdleTimeout             time.Duration // idle connections are closed after this time; default 1 min
	MaxStreamsPerConnection int           // concurrent requests on one HTTP/2 connection; default 250
}

func (l Limits) orDefaults() Limits {
	l.MaxHeaderBytes = cmp.Or(l.MaxHeaderBytes, 16<<10)
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, 8<<20)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, 10*time.Second)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, time.Minute)
	l.MaxStreamsPerConnection = cmp.Or(l.MaxStreamsPerConnection, 250)
	return l
}

// Apply configures s with the limits for connections of callers.
func (l Limits) Apply(s *http.Server) {
	l = l.orDefaults()
	s.ReadHeaderTimeout = l.HeaderTimeout
	s.IdleTimeout = l.IdleTimeout
	// net/http refuses headers above this size with a bare status 431. The entry
	// refuses those between MaxHeaderBytes and this size with a Refusal.
	s.MaxHeaderBytes = 2 * (l.MaxHeaderBytes + maxURLBytes)
	s.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: l.MaxStreamsPerConnection}
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetHTTP2(true)
	s.Protocols.SetUnencryptedHTTP2(true)
}

func (l Limits) headerTooLarge() *Refusal {
	return refuseHeaderTooLarge.withTitle(fmt.Sprintf("the header is larger than %d bytes or has more than %d fields", l.MaxHeaderBytes, maxHeaderFields))
}

func (l Limits) bodyTooLarge() *Refusal {
	return refuseBodyTooLarge.withTitle(fmt.Sprintf("the body is larger than %d bytes", l.MaxBodyBytes))
}
