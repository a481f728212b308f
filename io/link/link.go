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
	// streamCloseTimeout bounds how long a stream that this side has closed
	// waits for the close of the other side.
	streamCloseTimeout = 30 * time.Second
	handshakeTimeout   = 3 * time.Second
	// WindowBytes is what a peer sends on a stream at most before this side
	// has read it.
	WindowBytes = 256 << 10
	// DefaultProgress is the time within which a stream must move on.
	DefaultProgress = 10 * time.Second
	// DefaultMaxStreams bounds the open streams of one peer.
	DefaultMaxStreams = 4096
	acceptBacklog     = 1024
)

// Errors of a call. ErrUnreachable and ErrRefused mean that the peer has not
// handled the call; ErrLink leaves that open.
var (
	ErrUnreachable = errors.New("peer cannot be reached")
	ErrRefused     = errors.New("peer refused the call")
	ErrLink        = errors.New("link failed")
	ErrMessage     = errors.New("message is not valid")
)

// Address names a peer. An empty Host accepts any host with the right role.
type Address struct {
	Host     fleet.Host
	AddrPort netip.AddrPort
}

// Peer is the other end of a stream. Over plain TCP, Host and Roles are empty.
type Peer struct {
	identity.Peer
	Plain       bool
	Address     string
	Incarnation uint64 // run of the serving process; set at the calling side only
}

// preface opens a connection before yamux takes over. The server's preface
// carries its incarnation, so that a caller knows which run of the peer it
// speaks to without a further call.
const (
	prefaceMagic = "papaya\x00\x01"
	prefaceBytes = len(prefaceMagic) + 8
)

func exchangePreface(c net.Conn, own uint64) (uint64, error) {
	out := binary.BigEndian.AppendUint64([]byte(prefaceMagic), own)
	sent := make(chan error, 1)
	go func() {
		_, err := c.Write(out)
		sent <- err
	}()
	in := make([]byte, prefaceBytes)
	_, err := io.ReadFull(c, in)
	if err == nil && string(in[:len(prefaceMagic)]) != prefaceMagic {
		err = errors.Wrap(ErrMessage, "peer speaks another protocol")
	}
	if err != nil {
		_ = c.Close() // ends the write if the peer does not read
	}
	if sendErr := <-sent; err == nil {
		err = sendErr
	}
	return binary.BigEndian.Uint64(in[len(prefaceMagic):]), err
}

// secure performs the TLS handshake, or none if config is nil, and returns the
// peer.
func secure(ctx context.Context, c net.Conn, config *tls.Config, client bool) (net.Conn, Peer, error) {
	p := Peer{Plain: config == nil, Address: c.RemoteAddr().String()}
	if config == nil {
		return c, p, nil
	}
	t := tls.Server(c, config)
	if client {
		t = tls.Client(c, config)
	}
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, p, errors.Wrap(err, "handshake")
	}
	var err error
	p.Peer, err = identity.PeerOf(t.ConnectionState().PeerCertificates[0])
	return abruptConn{t}, p, err
}

// abruptConn closes the TCP connection without a TLS close alert. On a silent
// connection the alert waits up to 5 s for a write, while readers of the
// closing session spin; yamux marks the end of a stream itself.
type abruptConn struct{ *tls.Conn }

// Close closes the connection below TLS.
func (c abruptConn) Close() error { return c.NetConn().Close() }

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.EnableKeepAlive = false // see heartbeat
	c.ConnectionWriteTimeout = heartbeatTimeout
	c.StreamOpenTimeout = streamOpenTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.MaxStreamWindowSize = WindowBytes
	c.LogOutput = io.Discard
	return c
}
