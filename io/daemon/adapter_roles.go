package daemon

import (
	"context"
	"math"
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
	"papayarock/core/roster"
	"papayarock/io/feed"
	"papayarock/io/gateway"
	"papayarock/io/httpconn"
	"papayarock/io/identity"
	"papayarock/io/link"
	"papayarock/io/registry"
	"papayarock/io/settings"
	"papayarock/io/truetime"
	"papayarock/io/upstream"
)

const (
	// gatewayHeaderTimeout and gatewayIdleTimeout close abandoned connections. They
	// must exceed the timeouts in a catalog, since callers may use those up.
	gatewayHeaderTimeout = 10 * time.Second
	gatewayIdleTimeout   = 2 * time.Minute
	// heapMemoryFraction is the soft memory limit of the Go runtime as a fraction of
	// the memory limit of the process. Near the soft limit, garbage collections are more
	// frequent. The rest is for kernel buffers, which also count as memory of the process.
	heapMemoryFraction = 0.6
	// apiReadTimeout and apiWriteTimeout bound a whole request and a whole response in the
	// servers that newHTTPServer returns. Documents have at most 500 KiB. Without them, a
	// client that sends or reads nothing keeps its connection and its request forever.
	apiReadTimeout  = time.Minute
	apiWriteTimeout = time.Minute
	// apiIdleTimeout closes connections that clients have abandoned.
	apiIdleTimeout = 2 * time.Minute
	// leaveDivisor is the part of the shutdown deadline for which a registry replica
	// waits until a learner has replaced it. The rest is for the end of its calls.
	leaveDivisor = 2
	// exitMargin is subtracted from the shutdown deadline, at which the platform kills
	// the process. It covers the time from the end of the last request to the exit.
	exitMargin = 400 * time.Millisecond
)

// Adapter translates between the HTTP interface of one platform and the roles
// gateway and registry.
type Adapter interface {
	gateway.HeaderCodec
	// Decode decodes and validates an operator's catalog document.
	Decode(document []byte) (catalog.Document, error)
	// ScarceCapacity reports whether the contracts in force say that callers compete for too
	// little capacity. Requests are then ordered fairly and placed by work.
	ScarceCapacity(contracts []string) bool
	// ControlHandler returns the HTTP handler for operators and targets. All replicas serve
	// it on the same port.
	ControlHandler(r *registry.Registry, port uint16, log hclog.Logger) http.Handler
	// NewUsageSink returns a sink that sends usage reports to address a.
	NewUsageSink(a netip.AddrPort) registry.UsageSink
	// NewEngineClient returns a client that orders engines to change their roles.
	NewEngineClient() registry.EngineClient
}

// linkAddresses returns the link addresses of the registry seeds.
func linkAddresses(p *settings.Peers) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(p.Seeds))
	for _, a := range p.Seeds {
		out = append(out, netip.AddrPortFrom(a, p.LinkPort))
	}
	return out
}

// reloader passes the registry seeds of changed settings to the roles.
type reloader struct{ process *process }

// Serve runs until ctx is cancelled.
func (r reloader) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-r.process.reloads:
			if s.Peers == nil {
				continue
			}
			addresses := linkAddresses(s.Peers)
			r.process.log.Info("registry seeds reloaded", "seeds", addresses)
			for _, set := range r.process.seedSetters {
				set(addresses)
			}
		}
	}
}

// endpointOption sets the endpoint that kratos reports for a server. Without it,
// kratos derives one from the network interfaces of the host.
func endpointOption(a netip.AddrPort) khttp.ServerOption {
	return khttp.Endpoint(&url.URL{Scheme: "http", Host: a.String()})
}

func (p *process) addGateway(ctx context.Context) error {
	s := p.settings.Gateway
	if p.adapter == nil {
		return errors.Wrap(ErrStart, "gateway: this program has no platform adapter")
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * heapMemoryFraction))
	conns := &upstream.Pool{}
	var f *feed.Client      // declared here because g and f refer to each other
	clock := truetime.New() // corrected by the times that the registry replicas report
	g := gateway.New(gateway.Options{
		DataCentre: p.settings.DataCentre, Regions: s.Regions, HeaderCodec: p.adapter, DecodeCatalog: p.adapter.Decode, Upstream: conns,
		Log: p.log.Named("gateway"), Now: clock.Now, RetryRatio: s.RetryRatio, RetryBurst: s.RetryBurst, RetryWindow: s.RetryWindow,
		UsageWindow: s.UsageWindow, MemoryBytes: s.MemoryBytes, Quota: s.Quota, ScarceCapacity: p.adapter.ScarceCapacity(s.Contracts), ConnectedReplicas: func() int { return f.Connected() },
	})
	f = feed.New(feed.Options{
		Host: string(p.settings.Host), DataCentre: p.settings.DataCentre, Region: p.settings.Region, Run: rand.Uint64(), Seeds: linkAddresses(p.settings.Peers), Log: p.log.Named("feed"),
		NewLinkPool: func() *link.Pool {
			return &link.Pool{Credentials: p.credentials, Roles: []identity.Role{identity.Control}}
		},
		CatalogVersion: g.CatalogVersion, OnCatalog: g.UpdateCatalog, OnTargets: g.UpdateTargets, UsageCounts: g.UsageCounts, Loads: g.Loads,
		Engines: g, Quotas: g, OnReplicaTime: clock.AddSample,
	})
	p.seedSetters = append(p.seedSetters, f.SetSeeds)
	p.add("feed", f)
	p.add("gateway", g)
	p.add("connections", conns)
	p.dumps["gateway"] = g.Dump
	g.RegisterMetrics(p.promRegistry)
	ready, err := p.listen(ctx, s.ReadyListen.String())
	if err != nil {
		return errors.Wrapf(ErrStart, "gateway: %v", err)
	}
	l, err := p.listen(ctx, s.Listen.String())
	if err != nil {
		return errors.Wrapf(ErrStart, "gateway: %v", err)
	}
	p.servers = append(p.servers, p.newHTTPServer(ready, "ready", p.sideLimits(s.MemoryBytes), http.HandlerFunc(g.ServeReady)),
		p.newGatewayServer(l, s, g))
	return nil
}

// newGatewayServer returns the HTTP server for callers. It stops exitMargin before the
// shutdown deadline.
func (p *process) newGatewayServer(l net.Listener, s *settings.Gateway, g *gateway.Gateway) server {
	limited := httpconn.NewListener(l, httpconn.Options{
		Port: "callers", Limits: p.mainLimits(s.MemoryBytes), HeaderTimeout: gatewayHeaderTimeout, HeadBytes: g.HeaderBytes,
		Log: p.log.Named("clients"), Metrics: p.clientMetrics,
	})
	h := khttp.NewServer(khttp.Listener(limited), khttp.Timeout(0), endpointOption(s.Listen))
	h.Handler = g
	h.ReadHeaderTimeout = gatewayHeaderTimeout
	h.IdleTimeout = gatewayIdleTimeout
	httpconn.Configure(h.Server)
	return gatewayServer{h, g.Drain, p.settings.ShutdownTimeout - exitMargin, p.log}
}

// gatewayServer is an HTTP server whose Stop calls beforeShutdown while it still
// accepts connections, then closes the listener and waits for running requests. It
// differs from drainingServer, whose drain waits for the requests itself.
type gatewayServer struct {
	*khttp.Server
	beforeShutdown func(ctx context.Context)
	limit          time.Duration // of Stop
	log            hclog.Logger
}

// Stop shuts the server down within the limit and closes the connections of
// requests that are still running then.
func (g gatewayServer) Stop(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, g.limit)
	defer cancel()
	g.beforeShutdown(limited)
	if err := g.Shutdown(limited); err != nil {
		g.log.Warn("graceful shutdown incomplete; closing the remaining connections", "error", err)
		return errors.Wrap(g.Close(), "stop server")
	}
	return nil
}

func (p *process) addRegistry(ctx context.Context) error {
	s := p.settings.Registry
	if p.adapter == nil {
		return errors.Wrap(ErrStart, "registry: this program has no platform adapter")
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * heapMemoryFraction))
	o := registry.Options{
		Self: s.Link, HostName: string(p.settings.Host), DataCentre: p.settings.DataCentre, Seeds: linkAddresses(p.settings.Peers), CreateLog: s.CreateLog, Voters: 2*s.ToleratedLosses + 1,
		DataDir: s.Data, Links: p.links, Log: p.log.Named("registry"), Window: s.UsageWindow, ReportTimeout: s.UsageReportTimeout, Now: truetime.New().Now,
	}
	if s.Usage.IsValid() {
		o.UsageSink = p.adapter.NewUsageSink(s.Usage)
	}
	o.Engines, o.DecodeCatalog, o.Regions = p.adapter.NewEngineClient(), p.adapter.Decode, s.Regions
	o.WatchTargets, o.Quota = p.watchTargets, s.Quota
	r, err := registry.New(o)
	if err != nil {
		return errors.Wrapf(ErrStart, "registry: %v", err)
	}
	l, err := p.listen(ctx, s.Listen.String())
	if err != nil {
		return errors.Wrapf(ErrStart, "registry: %v", err)
	}
	links := &link.Server{Listener: l, Credentials: p.credentials, StopTimeout: controlStopTimeout, Log: p.log.Named("link")}
	r.Register(links)
	p.seedSetters = append(p.seedSetters, r.SetSeeds)
	p.add("registry", r)
	p.add("registry links", links)
	p.dumps["registry"] = r.Dump
	r.RegisterMetrics(p.promRegistry)
	operatorListener, err := p.listen(ctx, s.Operator.String())
	if err != nil {
		return errors.Wrapf(ErrStart, "registry: %v", err)
	}
	p.servers = append(p.servers,
		p.newHTTPServer(operatorListener, "operator", p.mainLimits(s.MemoryBytes),
			limitBodies(s.MemoryBytes/bodyMemoryDivisor, p.adapter.ControlHandler(r, s.Operator.Port(), p.log.Named("platform")))),
		// Operators and targets can reach this replica until a learner has replaced it.
		leaver{r.Leave, p.settings.ShutdownTimeout / leaveDivisor})
	return nil
}

// watchTargets follows all registry replicas and passes the target records that they
// send to onTargets until ctx ends.
func (p *process) watchTargets(ctx context.Context, onTargets func([]roster.Record)) {
	f := feed.New(feed.Options{
		Observer: true, Host: string(p.settings.Host), Seeds: linkAddresses(p.settings.Peers), Log: p.log.Named("feed"),
		NewLinkPool: func() *link.Pool {
			return &link.Pool{Credentials: p.credentials, Roles: []identity.Role{identity.Control}}
		},
		CatalogVersion: func() uint64 { return math.MaxUint64 }, // no document is needed
		OnTargets:      func(records []roster.Record, _ int) { onTargets(records) },
	})
	if err := f.Serve(ctx); err != nil {
		p.log.Error("following the registry replicas failed", "error", err)
	}
}

// addMetrics serves the metrics of the roles, the Go runtime and the process to
// Prometheus.
func (p *process) addMetrics(ctx context.Context) error {
	p.promRegistry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	l, err := p.listen(ctx, p.settings.Metrics.String())
	if err != nil {
		return errors.Wrapf(ErrStart, "metrics: %v", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(p.promRegistry, promhttp.HandlerOpts{}))
	p.servers = append(p.servers, p.newHTTPServer(l, "metrics", p.sideLimits(p.memoryBytes()), mux))
	return nil
}
