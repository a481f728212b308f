package link

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/io/identity"
)

const (
	maxMessageBytes   = 1 << 20
	streamOpenTimeout = 10 * time.Second
	// streamCloseTimeout is how long a locally closed stream waits for the
	// remote side to close it too.
	streamCloseTimeout = 30 * time.Second
	// handshakeTimeout is the time limit for setting up a session: the TLS handshake
	// and the preface, and on the calling side also the dial.
	handshakeTimeout = 3 * time.Second
	// WindowBytes is the receive window of a stream: the maximum number of
	// unread bytes that a peer may have sent on it.
	WindowBytes = 256 << 10
	// DefaultTimeout is the default timeout of a Send or Receive.
	DefaultTimeout = 10 * time.Second
	// DefaultMaxStreams is the default limit on the open streams of one peer.
	DefaultMaxStreams = 4096
	// acceptBacklog is the maximum number of streams of a session that wait to be
	// accepted. yamux resets further ones.
	acceptBacklog = 1024
)

// Errors of a call. After ErrUnreachable and ErrRefused, the handler of the peer
// has not run; after ErrLink it may have. ErrMessage is returned for a message that
// exceeds the size limit or cannot be encoded.
var (
	ErrUnreachable = errors.New("peer is unreachable")
	ErrRefused     = errors.New("peer refused the call")
	ErrLink        = errors.New("connection failed")
	ErrMessage     = errors.New("invalid message")
)

// Address identifies a peer. If Host is empty, the certificate of the peer may name
// any host.
type Address struct {
	Host     fleet.Host
	AddrPort netip.AddrPort
}

// Peer is the remote side of a stream. Over plain TCP, the embedded identity is
// empty.
type Peer struct {
	identity.Peer
	Plain       bool // plain TCP, without TLS
	Address     string
	Incarnation uint64 // identifies the run of the server process; set on the calling side only
}

// Each side sends a preface before the yamux session starts: a magic string and
// an incarnation, which is 0 on the calling side. The server's incarnation tells
// the calling side which run of the peer it is connected to without an extra call.
const (
	prefaceMagic = "papaya\x00\x01"
	prefaceBytes = len(prefaceMagic) + 8
)

// exchangePreface sends and receives a preface, and returns the incarnation of the
// remote side. It sends and receives concurrently, so that two sides that both
// start by sending do not block each other on an unbuffered connection.
func exchangePreface(c net.Conn, incarnation uint64) (uint64, error) {
	out := binary.BigEndian.AppendUint64([]byte(prefaceMagic), incarnation)
	writeDone := make(chan error, 1)
	go func() {
		_, err := c.Write(out)
		writeDone <- err
	}()
	in := make([]byte, prefaceBytes)
	_, err := io.ReadFull(c, in)
	err = errors.Wrap(err, "read preface")
	if err == nil && string(in[:len(prefaceMagic)]) != prefaceMagic {
		err = errors.Wrap(ErrMessage, "unknown protocol: preface does not match")
	}
	if err != nil {
		_ = c.Close() // unblocks the writing goroutine if the peer does not read
	}
	if writeErr := <-writeDone; err == nil {
		err = errors.Wrap(writeErr, "write preface")
	}
	return binary.BigEndian.Uint64(in[len(prefaceMagic):]), err
}

// tlsHandshake performs the TLS handshake and returns the secured connection and
// the peer. If config is nil, it returns c unchanged.
func tlsHandshake(ctx context.Context, c net.Conn, config *tls.Config, client bool) (net.Conn, Peer, error) {
	p := Peer{Plain: config == nil, Address: c.RemoteAddr().String()}
	if config == nil {
		return c, p, nil
	}
	tlsConn := tls.Server(c, config)
	if client {
		tlsConn = tls.Client(c, config)
	}
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, p, errors.Wrap(err, "handshake")
	}
	var err error
	p.Peer, err = identity.PeerOf(tlsConn.ConnectionState().PeerCertificates[0])
	return noCloseNotifyConn{tlsConn}, p, err
}

// noCloseNotifyConn closes the TCP connection without sending a TLS close_notify
// alert. On an unresponsive connection, writing the alert can block for up to
// 5 s, during which the goroutines that read from the closing session busy-loop.
// The alert is not needed because yamux marks the end of each stream itself.
type noCloseNotifyConn struct{ *tls.Conn }

// Close closes the underlying connection.
func (c noCloseNotifyConn) Close() error { return c.NetConn().Close() }

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.EnableKeepAlive = false // replaced by monitorSession
	c.ConnectionWriteTimeout = heartbeatTimeout
	c.StreamOpenTimeout = streamOpenTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.MaxStreamWindowSize = WindowBytes
	c.LogOutput = io.Discard
	return c
}
