package agent_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"papayarock/core/fleet"
	"papayarock/internal/fake"
	"papayarock/io/agent"
	"papayarock/io/identity"
	"papayarock/io/link"
	"papayarock/io/wire"
)

// Guards against an agent that exports KV caches to peers other than agents, or that
// accepts prefills, imports or cache polls from peers other than entries.
func TestKVCallsRequireRole(t *testing.T) {
	f := newFixture(t, nil)
	other := &link.Pool{Credentials: f.issue("a2", identity.Agent), Roles: []identity.Role{identity.Agent}}
	defer other.Close()
	id := fleet.RequestID{1}
	served := func(p *link.Pool, m proto.Message) bool {
		// Any reply shows that the call was served. Its type does not matter, since an
		// empty message decodes as any type.
		_, err := link.Call[wire.KVPart](t.Context(), p, f.address, m)
		return err == nil
	}
	f.is.True(served(other, &wire.KVExport{RequestId: id[:]}))
	f.is.True(!served(f.links, &wire.KVExport{RequestId: id[:]}))
	for _, m := range []proto.Message{&wire.CachePoll{}, &wire.KVImport{RequestId: id[:]}} {
		f.is.True(served(f.links, m))
		f.is.True(!served(other, m))
	}
	f.is.True(!served(other, &wire.Prefill{RequestId: id[:]}))
}

// BenchmarkMoveKV measures the transfer of 64 MiB of KV cache between two engines
// through their agents, over loopback without certificates.
func BenchmarkMoveKV(b *testing.B) {
	const tokens, bytesPerToken = 1024, 64 << 10
	links := &link.Pool{}
	defer links.Close()
	var addresses []link.Address
	for range 2 {
		engine := &fake.Engine{CacheBlocks: 1024, KVBytesPerToken: bytesPerToken}
		target := httptest.NewServer(engine)
		defer target.Close()
		u, err := url.Parse(target.URL)
		if err != nil {
			b.Fatal(err)
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		a := &agent.Agent{Listener: l, TargetURL: u, Links: links, StopTimeout: time.Millisecond, Announcement: fleet.Target{Kind: fleet.Engine}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = a.Serve(ctx) }()
		addresses = append(addresses, link.Address{AddrPort: netip.MustParseAddrPort(l.Addr().String())})
	}
	ctx := context.Background()
	id := fleet.RequestID{1}
	s, err := links.OpenQueued(ctx, addresses[0], &wire.Prefill{
		RequestId: id[:], Path: "/v1/completions", DeadlineUnixNanos: time.Now().Add(time.Minute).UnixNano(),
	})
	if err != nil {
		b.Fatal(err)
	}
	body := fmt.Sprintf(`{"prompt": %q}`, strings.Repeat("w ", tokens))
	if err := s.Send(&wire.BodyPart{Data: []byte(body), Last: true}); err != nil {
		b.Fatal(err)
	}
	var prefilled wire.Prefilled
	if err := s.Receive(&prefilled); err != nil || prefilled.GetFailure() != "" {
		b.Fatal(err, prefilled.GetFailure())
	}
	_ = s.Close()
	b.SetBytes(tokens * bytesPerToken)
	for b.Loop() {
		m := &wire.KVImport{RequestId: id[:], Address: addresses[0].AddrPort.String()}
		reply, err := link.Call[wire.KVImported](ctx, links, addresses[1], m)
		if err != nil || reply.GetFailure() != "" {
			b.Fatal(err, reply.GetFailure())
		}
	}
}
