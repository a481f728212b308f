package pathsearch

import (
	"context"
	"net"

	"google.golang.org/protobuf/types/known/emptypb"

	"papayarock/internal/memlink"
	"papayarock/io/link"
	"papayarock/io/wire"
)

// startRelay starts a relay, which accepts the calls of entries at listener and
// forwards them to the agent at agentListener. The variant may alter run requests,
// queries and the outcomes that queries return.
func (sim *simulation) startRelay(inst *instance, listener, agentListener *memlink.Listener) {
	pool := &link.Pool{Dial: func(ctx context.Context, _ link.Address) (net.Conn, error) {
		near, far := net.Pipe()
		inst.addConn(near)
		return near, agentListener.Deliver(ctx, far)
	}}
	server := &link.Server{Listener: listener, Incarnation: uint64(inst.number)}
	link.Handle(server, func(ctx context.Context, s *link.Stream, open *wire.Open) {
		if m := open.GetRun(); m != nil && sim.variant.alterRun != nil {
			sim.variant.alterRun(m)
		}
		q := open.GetQuery()
		if q == nil || sim.variant.alterQuery == nil {
			relay(ctx, pool, s, open)
			return
		}
		// If the query fails, the stream ends without a response.
		alter := sim.variant.alterQuery(q)
		if f, err := link.Call[wire.Frame](ctx, pool, link.Address{}, open); err == nil {
			if o := f.GetOutcome(); o != nil {
				alter(o)
			}
			_ = s.Send(f)
		}
	})
	go func() { _ = server.Serve(inst.ctx) }()
	go func() {
		<-inst.ctx.Done()
		pool.Close()
		_ = agentListener.Close()
	}()
}

// relay copies the messages of a stream in both directions without knowing their
// types: an empty message keeps all fields as unknown ones.
func relay(ctx context.Context, pool *link.Pool, s *link.Stream, open *wire.Open) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	to, err := pool.Open(ctx, link.Address{}, open)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	s.SetContext(ctx)
	s.ReceiveTimeout, to.ReceiveTimeout = -1, -1
	requestsDone := make(chan struct{})
	go func() {
		defer close(requestsDone)
		defer cancel()
		for {
			var m emptypb.Empty
			if s.Receive(&m) != nil || to.Send(&m) != nil {
				return
			}
		}
	}()
	for {
		var m emptypb.Empty
		if to.Receive(&m) != nil || s.Send(&m) != nil {
			break
		}
	}
	cancel()
	<-requestsDone
}
