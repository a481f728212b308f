// Package silent provides a server for tests that accepts a connection and never answers, as
// a peer behind a network partition seems to do.
package silent

import (
	"context"
	"io"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// Listen accepts one connection on a loopback port and reads from it. ended receives the
// error with which the connection ends, which is nil for an ordinary close and
// syscall.ECONNRESET for a reset. The server ends with ctx.
func Listen(ctx context.Context) (address netip.AddrPort, ended <-chan error, err error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, errors.Wrap(err, "listen")
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	result := make(chan error, 1)
	go func() { result <- readAll(l) }()
	return l.Addr().(*net.TCPAddr).AddrPort(), result, nil
}

func readAll(l net.Listener) error {
	c, err := l.Accept()
	if err != nil {
		return errors.Wrap(err, "accept connection")
	}
	defer func() { _ = c.Close() }()
	_, err = io.Copy(io.Discard, c)
	return errors.Wrap(err, "read")
}
