package daemon

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"papayarock/core/connlimit"
	"papayarock/io/httpconn"
)

// Shares of the memory limit and of the descriptors that clients may use. A process has one
// main port, of which clients may use most, and side ports for readiness probes and metrics.
const (
	// reservedDescriptors is the number of descriptors that the platform keeps for itself.
	reservedDescriptors = 200
	// mainDescriptorDivisor leaves half of the descriptors to connections to targets and
	// other hosts. sideDescriptorDivisor is the share of each side port.
	mainDescriptorDivisor = 2
	sideDescriptorDivisor = 16
	// connectionBytes is the memory for one connection: an idle one took 43 KB of resident
	// memory, with garbage.
	connectionBytes         = 48 << 10
	connectionMemoryDivisor = 4
	// maxSideConnections is the maximum number of connections of a side port. Probes and
	// scrapers need a few.
	maxSideConnections = 128
	// mainHeadDivisor and sideHeadDivisor are the inverses of the shares of the memory
	// limit for request heads.
	mainHeadDivisor = 16
	sideHeadDivisor = 64
	// bodyMemoryDivisor is the inverse of the share of the memory limit for the bodies of
	// calls of operators and targets.
	bodyMemoryDivisor = 16
	// clientIdleTime and clientSilentTime are the idle and header timeouts of documents.
	// Ordinary clients reuse connections that have been idle for up to four fifths of the
	// one, and send a request within the other.
	clientIdleTime   = 15 * time.Second
	clientSilentTime = 3 * time.Second
	// defaultMemoryBytes is used where no role of the process has a memory limit.
	defaultMemoryBytes = 256 << 20
	// minConnections and minHeadBytes keep a port usable if the limits of the process are
	// very low.
	minConnections = 16
	minHeadBytes   = 512 << 10
)

// descriptors returns the number of descriptors that the process may use.
func (p *process) descriptors() int {
	n := p.settings.MaxDescriptors
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		p.log.Warn("reading the limit of descriptors failed", "error", err)
	} else if n == 0 || limit.Cur < uint64(n) {
		n = int(min(limit.Cur, 1<<30))
	}
	return max(n-reservedDescriptors, n/2)
}

// memoryBytes returns the memory limit of the process.
func (p *process) memoryBytes() int64 {
	switch {
	case p.settings.Gateway != nil:
		return p.settings.Gateway.MemoryBytes
	case p.settings.Registry != nil:
		return p.settings.Registry.MemoryBytes
	}
	return defaultMemoryBytes
}

// mainLimits returns the limits of the main port of a process with this memory limit.
func (p *process) mainLimits(memory int64) connlimit.Limits {
	connections := min(p.descriptors()/mainDescriptorDivisor, int(memory/connectionMemoryDivisor/connectionBytes))
	return newLimits(connections, memory/mainHeadDivisor)
}

// sideLimits returns the limits of a side port.
func (p *process) sideLimits(memory int64) connlimit.Limits {
	return newLimits(min(maxSideConnections, p.descriptors()/sideDescriptorDivisor), memory/sideHeadDivisor)
}

func newLimits(connections int, headBytes int64) connlimit.Limits {
	return connlimit.Limits{
		Connections: max(connections, minConnections), HeadBytes: max(headBytes, minHeadBytes),
		IdleTime: clientIdleTime, SilentTime: clientSilentTime,
	}
}

// newHTTPServer returns a server for short requests: readiness probes, metrics scrapes,
// state dumps, and calls of operators and targets.
func (p *process) newHTTPServer(l net.Listener, port string, limits connlimit.Limits, h http.Handler) server {
	limited := httpconn.NewListener(l, httpconn.Options{
		Port: port, Limits: limits, HeaderTimeout: readHeaderTimeout, Log: p.log.Named("clients"), Metrics: p.clientMetrics,
	})
	s := khttp.NewServer(khttp.Listener(limited), khttp.Timeout(0), endpointOption(l.Addr().(*net.TCPAddr).AddrPort()))
	s.Handler = checkHead(h)
	s.ReadHeaderTimeout, s.ReadTimeout = readHeaderTimeout, apiReadTimeout
	s.WriteTimeout, s.IdleTimeout = apiWriteTimeout, apiIdleTimeout
	httpconn.Configure(s.Server)
	return s
}

// checkHead rejects requests with ambiguous framing.
func checkHead(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := httpconn.CheckHead(r); err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// limitBodies limits the bytes of all request bodies that a handler holds. It refuses a
// request whose body is known to exceed the rest of the limit, and closes the connection of
// one that exceeds it while it arrives.
func limitBodies(limit int64, h http.Handler) http.Handler {
	var held atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 0 && held.Load()+r.ContentLength > limit {
			w.Header().Set("Retry-After", "1")
			w.Header().Set("Connection", "close")
			http.Error(w, "the memory for requests is used up", http.StatusServiceUnavailable)
			return
		}
		b := &limitedBody{ReadCloser: r.Body, held: &held, limit: limit}
		defer func() { held.Add(-b.read) }()
		r.Body = b
		h.ServeHTTP(w, r)
	})
}

// limitedBody charges the bytes that are read from a request body.
type limitedBody struct {
	io.ReadCloser
	held  *atomic.Int64
	limit int64
	read  int64
}

// Read reads from the body. It ends the request if the limit is exceeded.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if b.held.Add(int64(n)) > b.limit {
		panic(http.ErrAbortHandler)
	}
	return n, err
}
