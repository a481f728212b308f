package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/emptypb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"papayarock/io/link"
)

// slowReader is a connection that receives a limited number of bytes per second.
type slowReader struct {
	net.Conn
	bytesPerSecond int
}

func (c slowReader) Read(p []byte) (int, error) {
	const packetBytes = 1500
	n, err := c.Conn.Read(p[:min(len(p), packetBytes)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.bytesPerSecond))
	return n, err
}

// Guards against large messages that are cut on a slow link: by the timeout for a small
// message, or since heartbeats wait behind them and count as unanswered.
func TestLargeMessageOverSlowLink(t *testing.T) {
	const (
		bytesPerSecond = 32 << 10
		messageBytes   = 5 * bytesPerSecond // takes longer than a heartbeat may be unanswered
	)
	is := is.New(t)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &link.Server{Listener: l, StopTimeout: time.Millisecond}
	sent := make(chan error, 1)
	link.Handle(s, func(_ context.Context, st *link.Stream, _ *emptypb.Empty) {
		st.Timeout = time.Second
		sent <- st.Send(wrapperspb.Bytes(make([]byte, messageBytes)))
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- s.Serve(ctx) }()
	p := &link.Pool{Dial: func(ctx context.Context, _ link.Address) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.Addr().String())
		return slowReader{c, bytesPerSecond}, err
	}}
	stream, err := p.Open(ctx, serverAddress, &emptypb.Empty{})
	is.NoErr(err)
	stream.ReceiveTimeout = time.Second
	var m wrapperspb.BytesValue
	is.NoErr(stream.Receive(&m))
	is.Equal(len(m.GetValue()), messageBytes)
	is.NoErr(<-sent)
	is.NoErr(stream.Close())
	cancel()
	is.NoErr(<-done)
	p.Close()
}
