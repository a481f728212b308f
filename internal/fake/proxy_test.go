package fake_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"papayarock/internal/fake"
)

// throughProxy serves a service behind a proxy in memory.
func throughProxy(t *testing.T, f func(t *testing.T, p *fake.Proxy, c *http.Client)) {
	synctest.Test(t, func(t *testing.T) {
		back, front := fake.NewMemory(), fake.NewMemory()
		server := &http.Server{Handler: &fake.Service{}}
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = server.Serve(back)
		}()
		p := &fake.Proxy{Dial: back.Dial}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.Serve(ctx, front)
		}()
		transport := &http.Transport{DialContext: front.Dial}
		f(t, p, &http.Client{Transport: transport, Timeout: time.Minute})
		transport.CloseIdleConnections()
		cancel()
		<-done
		_ = server.Close()
		<-served
	})
}

func post(c *http.Client) error {
	resp, err := c.Post("http://fake/orders", "", strings.NewReader("stone 7"))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against a link without its delay.
func TestProxyDelays(t *testing.T) {
	throughProxy(t, func(t *testing.T, p *fake.Proxy, c *http.Client) {
		is := is.New(t)
		p.Set(func(f *fake.ProxyFaults) { f.Delay = 20 * time.Millisecond })
		start := time.Now()
		is.NoErr(post(c))
		is.Equal(time.Since(start), 40*time.Millisecond)
	})
}

// Guards against a partition that lets bytes through, or never heals.
func TestProxyHolds(t *testing.T) {
	throughProxy(t, func(t *testing.T, p *fake.Proxy, c *http.Client) {
		is := is.New(t)
		is.NoErr(post(c))
		p.Set(func(f *fake.ProxyFaults) { f.Hold = true })
		time.AfterFunc(30*time.Second, func() { p.Set(func(f *fake.ProxyFaults) { f.Hold = false }) })
		start := time.Now()
		is.NoErr(post(c))
		is.Equal(time.Since(start), 30*time.Second)
	})
}

// Guards against a half-open connection that ends, or that takes new ones
// along.
func TestProxyHoldsOpenConnections(t *testing.T) {
	throughProxy(t, func(t *testing.T, p *fake.Proxy, c *http.Client) {
		is := is.New(t)
		is.NoErr(post(c))
		p.HoldOpen()
		start := time.Now()
		is.True(post(c) != nil) // the idle connection is silent until the timeout
		is.Equal(time.Since(start), time.Minute)
		is.NoErr(post(c)) // on a new connection
		_, total := p.Connections()
		is.Equal(total, 2)
	})
}

// Guards against refused and dropped connections that still serve.
func TestProxyRefusesAndDrops(t *testing.T) {
	throughProxy(t, func(t *testing.T, p *fake.Proxy, c *http.Client) {
		is := is.New(t)
		is.NoErr(post(c))
		p.Drop()
		synctest.Wait()
		open, _ := p.Connections()
		is.Equal(open, 0)
		p.Set(func(f *fake.ProxyFaults) { f.Refuse = true })
		is.True(post(c) != nil)
	})
}

// Guards against a one-way partition that cuts the other direction too, or none.
func TestProxyHoldsOneWay(t *testing.T) {
	for name, test := range map[string]struct {
		set  func(f *fake.ProxyFaults)
		runs uint64 // requests that reach the service
	}{
		"to the target":   {func(f *fake.ProxyFaults) { f.HoldTo = true }, 0},
		"from the target": {func(f *fake.ProxyFaults) { f.HoldFrom = true }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			throughProxy(t, func(t *testing.T, p *fake.Proxy, c *http.Client) {
				is := is.New(t)
				var reached atomic.Uint64
				back := p.Dial
				p.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := back(ctx, network, address)
					return &countedConn{Conn: conn, written: &reached}, err
				}
				p.Set(test.set)
				is.True(post(c) != nil) // no answer within the timeout
				is.Equal(min(reached.Load(), 1), test.runs)
			})
		})
	}
}

// countedConn counts writes.
type countedConn struct {
	net.Conn
	written *atomic.Uint64
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(1)
	return c.Conn.Write(p)
}
