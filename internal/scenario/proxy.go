package scenario

import (
	"context"
	"net"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"papayarock/internal/fake"
)

// proxy is a fake.Proxy listening on a loopback address.
type proxy struct {
	*fake.Proxy
	cancel context.CancelFunc
	done   chan struct{}
}

func startProxy(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 2, "proxy NAME TARGET")
	st := stateOf(ts)
	if _, ok := st.proxies[args[0]]; ok {
		ts.Fatalf("proxy %q already exists", args[0])
	}
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // listens on loopback at once
	ts.Check(err)
	ctx, cancel := context.WithCancel(context.Background())
	p := &proxy{Proxy: &fake.Proxy{Target: strings.TrimPrefix(args[1], "http://")}, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.Serve(ctx, l)
	}()
	st.proxies[args[0]] = p
	ts.Setenv(args[0], l.Addr().String())
}

// proxyByName returns nil if there is no such proxy.
func proxyByName(ts *testscript.TestScript, name string) *fake.Proxy {
	if p := stateOf(ts).deployment.proxyByName(name); p != nil {
		return p
	}
	if p, ok := stateOf(ts).proxies[name]; ok {
		return p.Proxy
	}
	return nil
}

func findProxy(ts *testscript.TestScript, neg bool, args []string, usage string) *fake.Proxy {
	checkUsage(ts, neg, args, 1, usage)
	p := proxyByName(ts, args[0])
	if p == nil {
		ts.Fatalf("proxy %q does not exist", args[0])
	}
	return p
}

func drop(ts *testscript.TestScript, neg bool, args []string) {
	findProxy(ts, neg, args, "drop NAME").CloseConnections()
}

func holdOpen(ts *testscript.TestScript, neg bool, args []string) {
	findProxy(ts, neg, args, "hold-open NAME").HoldOpenConnections()
}
