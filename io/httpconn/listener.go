package httpconn

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"papayarock/core/connlimit"
)

const (
	// MaxHeaderBytes is the value for http.Server.MaxHeaderBytes. framingParser relies on
	// it.
	MaxHeaderBytes = 64 << 10
	// minMaxHeadBytes is the least limit of a head, for documents with a lower one or
	// none. headSlack is added to each limit, as the HTTP server does.
	minMaxHeadBytes = 32 << 10
	headSlack       = 4 << 10
	// logInterval is the minimum time between two log lines of one reason.
	logInterval = time.Second
)

// Reasons for which connections are closed or refused.
const (
	reasonHeadTooLarge = "head-too-large" // 431
	reasonEmptyLines   = "empty-lines"    // 400
	reasonHeadMemory   = "head-memory"    // 408; incomplete heads use up their memory
	reasonDisplaced    = "displaced"      // 408; closed for a new connection
	reasonRefused      = "refused"        // 503; no connection could be closed for the new one
)

// rejections are the responses by status. 503 is sent before anything is read, and 408 only
// while no head is complete: no request has run.
var rejections = map[int][]byte{}

func init() {
	for _, status := range []int{http.StatusBadRequest, http.StatusRequestTimeout, http.StatusRequestHeaderFieldsTooLarge, http.StatusServiceUnavailable} {
		retry := ""
		if status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout {
			retry = "Retry-After: 1\r\n"
		}
		rejections[status] = fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retry)
	}
}

// Options configure a Listener.
type Options struct {
	Port          string // name of the port in metrics and log lines
	Limits        connlimit.Limits
	HeaderTimeout time.Duration // from the first byte of a head to its end
	HeadBytes     func() int    // limit of a head in the document; zero or a nil function for none
	Log           hclog.Logger
	Metrics       *Metrics
}

// Listener limits what the clients of an HTTP server can hold. It bounds the number of
// connections and the bytes of incomplete heads, and protects the server against request
// smuggling: its connections validate the framing fields of requests, which the server does
// not pass to its handler. Configure must be called for the server, and its handler must
// call CheckHead.
type Listener struct {
	net.Listener
	options Options

	mu     sync.Mutex
	table  *connlimit.Table
	conns  map[*connlimit.Conn]*Conn
	counts map[string]*rejectionCount
}

// rejectionCount counts rejections of one reason that no log line has reported yet.
type rejectionCount struct {
	count  int
	nextAt time.Time // when the next line is logged at the earliest
}

// NewListener wraps the listener of an HTTP server.
func NewListener(l net.Listener, o Options) *Listener {
	x := &Listener{
		Listener: l, options: o, table: connlimit.New(o.Limits),
		conns: make(map[*connlimit.Conn]*Conn), counts: make(map[string]*rejectionCount),
	}
	o.Metrics.add(x)
	return x
}

// Configure sets the hooks and limits of the server that Listener relies on.
func Configure(s *http.Server) {
	s.MaxHeaderBytes = MaxHeaderBytes
	s.ConnContext = Context
	s.DisableGeneralOptionsHandler = true // it would not call CheckHead
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if hc, ok := c.(*Conn); ok && state == http.StateIdle {
			hc.idle()
		}
	}
}

// Accept waits for the next connection for which there is room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		hc := &Conn{Conn: c, listener: l}
		var evicted *Conn
		l.mu.Lock()
		entry, old := l.table.Open(time.Now(), clientOf(c))
		if entry != nil {
			hc.entry = entry
			l.conns[entry] = hc
		}
		if old != nil {
			evicted = l.conns[old]
			delete(l.conns, old)
		}
		l.mu.Unlock()
		if evicted != nil {
			l.evict(evicted, reasonDisplaced)
		}
		if entry != nil {
			return hc, nil
		}
		hc.mu.Lock()
		hc.reject(http.StatusServiceUnavailable, reasonRefused, false)
		hc.mu.Unlock()
		_ = c.Close() // nothing is left to do if it fails
	}
}

func clientOf(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr()
	}
	return netip.Addr{}
}

// evict closes a connection that the table has removed.
func (l *Listener) evict(c *Conn, reason string) {
	c.mu.Lock()
	c.reject(http.StatusRequestTimeout, reason, false)
	c.lingering = false
	c.mu.Unlock()
	_ = c.Conn.Close() // nothing is left to do if it fails
}

// charge charges one chunk for a connection. It returns false if the connection has been
// closed instead.
func (l *Listener) charge(c *Conn) bool {
	var evicted []*Conn
	l.mu.Lock()
	for _, e := range l.table.Charge(c.entry, chunkBytes) {
		evicted = append(evicted, l.conns[e])
		delete(l.conns, e)
	}
	_, open := l.conns[c.entry]
	l.mu.Unlock()
	for _, e := range evicted {
		l.evict(e, reasonHeadMemory)
	}
	return open
}

func (l *Listener) beginHead(e *connlimit.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.BeginHead(time.Now(), e)
}

func (l *Listener) endHead(e *connlimit.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.EndHead(time.Now(), e)
}

func (l *Listener) idle(e *connlimit.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Idle(time.Now(), e)
}

func (l *Listener) abandon(e *connlimit.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Abandon(e)
}

func (l *Listener) closed(e *connlimit.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Close(e)
	delete(l.conns, e)
}

// maxHeadBytes returns the size above which a head is rejected.
func (l *Listener) maxHeadBytes() int {
	n := minMaxHeadBytes
	if l.options.HeadBytes != nil {
		n = min(max(n, l.options.HeadBytes()), MaxHeaderBytes)
	}
	return n + headSlack
}

// rejected counts a connection that is closed or refused, and logs one line for each reason
// in each interval. Its count is that since the last line.
func (l *Listener) rejected(peer net.Addr, reason string) {
	l.options.Metrics.rejections.WithLabelValues(l.options.Port, reason).Inc()
	now := time.Now()
	l.mu.Lock()
	r := l.counts[reason]
	if r == nil {
		r = &rejectionCount{}
		l.counts[reason] = r
	}
	r.count++
	if now.Before(r.nextAt) {
		l.mu.Unlock()
		return
	}
	count := r.count
	r.count, r.nextAt = 0, now.Add(logInterval)
	conns, bytes := l.table.Connections(), l.table.HeadBytes()
	l.mu.Unlock()
	l.options.Log.Warn("connections of clients closed", "port", l.options.Port, "reason", reason, "count", count, "peer", peer,
		"open", conns, "max-open", l.options.Limits.Connections, "head-bytes", bytes, "max-head-bytes", l.options.Limits.HeadBytes)
}

// Metrics holds the metrics of all listeners of a process.
type Metrics struct {
	registry   prometheus.Registerer
	rejections *prometheus.CounterVec
}

// NewMetrics registers the metrics with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{r, prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "papayarock_client_connections_rejected_total", Help: "Connections of clients that were refused or closed, by port and reason.",
	}, []string{"port", "reason"})}
	r.MustRegister(m.rejections)
	return m
}

func (m *Metrics) add(l *Listener) {
	gauge := func(name, help string, read func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "papayarock_client_" + name, Help: help, ConstLabels: prometheus.Labels{"port": l.options.Port},
		}, func() float64 {
			l.mu.Lock()
			defer l.mu.Unlock()
			return read()
		}))
	}
	gauge("connections", "Open connections of clients, by port.", func() float64 { return float64(l.table.Connections()) })
	gauge("head_bytes", "Bytes charged for request heads, by port.", func() float64 { return float64(l.table.HeadBytes()) })
}
