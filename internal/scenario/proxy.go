package scenario

import (
	"context"
	"net"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"papayarock/internal/fake"
)

// proxy is a fake.Proxy that serves until cancel is called; done is then closed.
type proxy struct {
	*fake.Proxy
	cancel context.CancelFunc
	done   chan struct{}
}

// startProxy implements "proxy NAME ADDRESS": it starts a proxy to a HOST:PORT or
// http URL on a loopback address and sets the variable NAME to this address.
func startProxy(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 2, "proxy NAME ADDRESS")
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

// proxyByName returns a proxy of the deployment or one started by the command proxy;
// nil if there is none.
func proxyByName(ts *testscript.TestScript, name string) *fake.Proxy {
	if p := stateOf(ts).deployment.proxyByName(name); p != nil {
		return p
	}
	if p, ok := stateOf(ts).proxies[name]; ok {
		return p.Proxy
	}
	return nil
}

// findProxy returns the proxy named by the first argument of a command. It fails the
// script if there is none.
func findProxy(ts *testscript.TestScript, neg bool, args []string, usage string) *fake.Proxy {
	checkUsage(ts, neg, args, 1, usage)
	p := proxyByName(ts, args[0])
	if p == nil {
		ts.Fatalf("proxy %q does not exist", args[0])
	}
	return p
}

// drop implements "drop NAME": it closes the open connections of a proxy.
func drop(ts *testscript.TestScript, neg bool, args []string) {
	findProxy(ts, neg, args, "drop NAME").CloseConnections()
}

// holdOpen implements "hold-open NAME": it stops forwarding on the open connections
// of a proxy.
func holdOpen(ts *testscript.TestScript, neg bool, args []string) {
	findProxy(ts, neg, args, "hold-open NAME").HoldOpenConnections()
}
