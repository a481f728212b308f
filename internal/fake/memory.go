package fake

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// MemoryListener is a net.Listener for in-memory connections, for servers under
// testing/synctest. NewMemoryListener creates one.
type MemoryListener struct {
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// NewMemoryListener returns an open listener.
func NewMemoryListener() *MemoryListener {
	return &MemoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept waits for a connection.
func (m *MemoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-m.conns:
		return c, nil
	case <-m.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept and Dial fail. Established connections stay open.
func (m *MemoryListener) Close() error {
	m.closeOnce.Do(func() { close(m.closed) })
	return nil
}

// Addr returns the placeholder address "memory".
func (m *MemoryListener) Addr() net.Addr { return memoryAddr{} }

// Dial connects to the listener. Network and address are ignored.
func (m *MemoryListener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	if err := m.Deliver(ctx, server); err != nil {
		return nil, err
	}
	return client, nil
}

// Deliver passes server, one end of a connection, to Accept. It blocks until a call
// of Accept returns server.
func (m *MemoryListener) Deliver(ctx context.Context, server net.Conn) error {
	select {
	case m.conns <- server:
		return nil
	case <-m.closed:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

type memoryAddr struct{}

func (memoryAddr) Network() string { return "memory" }
func (memoryAddr) String() string  { return "memory" }

// Serve starts an in-memory server for h. It returns a client that reaches h
// under any host name, and a function that stops server and client.
func Serve(h http.Handler) (*http.Client, func()) {
	m := NewMemoryListener()
	server := &http.Server{Handler: h}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(m) // returns when the server is closed
	}()
	transport := &http.Transport{DialContext: m.Dial}
	return &http.Client{Transport: transport}, func() {
		transport.CloseIdleConnections()
		_ = server.Close()
		<-done
	}
}
