package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"runtime/debug"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"papayarock/core/catalog"
	"papayarock/io/feed"
	"papayarock/io/gateway"
	"papayarock/io/identity"
	"papayarock/io/link"
	"papayarock/io/registry"
	"papayarock/io/settings"
	"papayarock/io/truetime"
	"papayarock/io/upstream"
)

const (
	// gatewayHeaderTimeout and gatewayIdle end connections that were given up.
	// They exceed what a catalog states, since callers may use up its limits.
	gatewayHeaderTimeout = 10 * time.Second
	gatewayIdle          = 2 * time.Minute
	// memoryShare is the part of the memory limit that the heap may use before
	// the collector works harder; buffers of the kernel count too.
	memoryShare = 0.6
	// operatorHeaderTimeout bounds the head of a call by an operator or target.
	operatorHeaderTimeout = 5 * time.Second
	// stopMargin is what a process needs to end after its last request, before
	// the platform kills it.
	stopMargin = 400 * time.Millisecond
)

// Adapter speaks the language of one platform for the roles gateway and
// registry.
type Adapter interface {
	gateway.HeaderCodec
	// Decode decodes and checks an operator's document.
	Decode(document []byte) (catalog.Document, error)
	// Control returns the calls of operators and targets. Replicas serve them at
	// the same port.
	Control(r *registry.Registry, port uint16, log hclog.Logger) http.Handler
	// Usage returns the sink of usage reports at an address.
	Usage(a netip.AddrPort) registry.UsageSink
}

// linkAddresses returns the link addresses of the seeds.
func linkAddresses(p *settings.Peers) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(p.Seeds))
	for _, a := range p.Seeds {
		out = append(out, netip.AddrPortFrom(a, p.LinkPort))
	}
	return out
}

// reloader hands changed settings to the roles.
type reloader struct{ p *process }

// Serve runs until ctx ends.
func (r reloader) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-r.p.reloads:
			if s.Peers == nil {
				continue
			}
			list := linkAddresses(s.Peers)
			r.p.log.Info("seeds of the registry reloaded", "seeds", list)
			for _, set := range r.p.seeds {
				set(list)
			}
		}
	}
}

// endpoint tells kratos the address of a server, which it otherwise looks up
// among the interfaces of the host.
func endpoint(a netip.AddrPort) khttp.ServerOption {
	return khttp.Endpoint(&url.URL{Scheme: "http", Host: a.String()})
}

func (p *process) addGateway(ctx context.Context) error {
	s := p.s.Gateway
	if p.adapter == nil {
		return errors.Wrap(ErrStart, "gateway: this program has no adapter of a platform")
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	conns := &upstream.Pool{}
	var f *feed.Client
	clock := truetime.New()
	g := gateway.New(gateway.Options{
		DataCentre: p.s.DataCentre, Regions: s.Regions, HeaderCodec: p.adapter, Decode: p.adapter.Decode, Upstream: conns,
		Log: p.log.Named("gateway"), Now: clock.Now, RetryRatio: s.RetryShare, RetryBurst: s.RetrySlack,
		UsageWindow: s.UsageWindow, MemoryBytes: s.MemoryBytes, Replicas: func() int { return f.Connected() },
	})
	f = feed.New(feed.Options{
		Host: string(p.s.Host), Run: rand.Uint64(), Seeds: linkAddresses(p.s.Peers), Log: p.log.Named("feed"),
		Links: func() *link.Pool {
			return &link.Pool{Identity: p.credentials, Roles: []identity.Role{identity.Control}}
		},
		Version: g.Version, Catalog: g.Catalog, Targets: g.Targets, UsageCounts: g.UsageCounts, ReplicaTime: clock.AddSample,
	})
	p.seeds = append(p.seeds, f.SetSeeds)
	p.add("feed", f)
	p.add("gateway", g)
	p.add("connections", conns)
	p.dumps["gateway"] = g.Dump
	g.Register(p.scraped)
	ready, err := p.listen(ctx, s.Ready.String())
	if err != nil {
		return errors.Wrapf(ErrStart, "gateway: %v", err)
	}
	l, err := p.listen(ctx, s.Listen.String())
	if err != nil {
		return errors.Wrapf(ErrStart, "gateway: %v", err)
	}
	p.servers = append(p.servers, plainServer(ready, s.Ready, http.HandlerFunc(g.ServeReady)), p.callers(l, s, g))
	return nil
}

// callers returns the server that faces callers.
func (p *process) callers(l net.Listener, s *settings.Gateway, g *gateway.Gateway) server {
	h := khttp.NewServer(khttp.Listener(gateway.Guard(l)), khttp.Timeout(0), endpoint(s.Listen))
	h.Handler = g
	h.ReadHeaderTimeout = gatewayHeaderTimeout
	h.IdleTimeout = gatewayIdle
	h.MaxHeaderBytes = gateway.MaxHeaderBytes
	h.ConnContext = gateway.ConnContext
	return leaving{h, g.Stop, p.s.Shutdown - stopMargin, p.log}
}

// leaving is an HTTP server that serves for a while after a stop has begun, then
// closes its listener and waits for the running requests.
type leaving struct {
	*khttp.Server
	linger func(ctx context.Context)
	limit  time.Duration
	log    hclog.Logger
}

// Stop ends the server within the limit.
func (l leaving) Stop(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, l.limit)
	defer cancel()
	l.linger(limited)
	if err := l.Shutdown(limited); err != nil {
		l.log.Warn("requests cut by the stop", "error", err)
		return errors.Wrap(l.Close(), "stop server")
	}
	return nil
}

// plainServer returns a server of short calls.
func plainServer(l net.Listener, a netip.AddrPort, h http.Handler) server {
	s := khttp.NewServer(khttp.Listener(l), khttp.Timeout(0), endpoint(a))
	s.Handler = h
	s.ReadHeaderTimeout = operatorHeaderTimeout
	return s
}

func (p *process) addRegistry(ctx context.Context) error {
	s := p.s.Registry
	if p.adapter == nil {
		return errors.Wrap(ErrStart, "registry: this program has no adapter of a platform")
	}
	o := registry.Options{
		Self: s.Link, Name: string(p.s.Host), Seeds: linkAddresses(p.s.Peers), CreateLog: s.Form, Voters: 2*s.Losses + 1,
		Data: s.Data, Links: p.links, Log: p.log.Named("registry"), Window: s.UsageWindow, ReportTimeout: s.UsageDue, Now: truetime.New().Now,
	}
	if s.Usage.IsValid() {
		o.Usage = p.adapter.Usage(s.Usage)
	}
	r, err := registry.New(o)
	if err != nil {
		return errors.Wrapf(ErrStart, "registry: %v", err)
	}
	l, err := p.listen(ctx, s.Listen.String())
	if err != nil {
		return errors.Wrapf(ErrStart, "registry: %v", err)
	}
	links := &link.Server{Listener: l, Identity: p.credentials, StopTimeout: controlStop, Log: p.log.Named("link")}
	r.Register(links)
	p.seeds = append(p.seeds, r.SetSeeds)
	p.add("registry", r)
	p.add("registry links", links)
	p.dumps["registry"] = r.Dump
	r.RegisterMetrics(p.scraped)
	operators, err := p.listen(ctx, s.Operator.String())
	if err != nil {
		return errors.Wrapf(ErrStart, "registry: %v", err)
	}
	p.servers = append(p.servers,
		plainServer(operators, s.Operator, p.adapter.Control(r, s.Operator.Port(), p.log.Named("platform"))))
	return nil
}

// addMetrics serves the counters and histograms of the roles to scrapers.
func (p *process) addMetrics(ctx context.Context) error {
	p.scraped.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	l, err := p.listen(ctx, p.s.Metrics.String())
	if err != nil {
		return errors.Wrapf(ErrStart, "metrics: %v", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(p.scraped, promhttp.HandlerOpts{}))
	p.servers = append(p.servers, plainServer(l, p.s.Metrics, mux))
	return nil
}
