package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"papayarock/io/httpconn"
)

// Guards against callers of the registry whose request headers, of up to 1 MiB each, use up
// the memory of the process.
func TestLargeRequestHeader(t *testing.T) {
	is := is.New(t)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	a := l.Addr().(*net.TCPAddr).AddrPort()
	p := process{log: hclog.NewNullLogger(), clientMetrics: httpconn.NewMetrics(prometheus.NewRegistry())}
	s := p.newHTTPServer(l, "operator", p.mainLimits(defaultMemoryBytes), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	go func() { _ = s.Start(context.WithoutCancel(t.Context())) }()
	defer func() { is.NoErr(s.Stop(context.WithoutCancel(t.Context()))) }()
	for size, status := range map[int]string{32 << 10: "200", 256 << 10: "431"} {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", a.String())
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
		go func() {
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nLong: "+strings.Repeat("x", size)+"\r\n\r\n")
		}()
		line := make([]byte, len("HTTP/1.1 200"))
		_, err = io.ReadFull(c, line)
		is.NoErr(err)
		is.Equal(string(line), "HTTP/1.1 "+status)
		is.NoErr(c.Close())
	}
}
