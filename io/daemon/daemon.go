package daemon

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"

	"papayarock/core/config"
	"papayarock/io/httpconn"
	"papayarock/io/identity"
	"papayarock/io/link"
	"papayarock/io/settings"
	"papayarock/io/subscribe"
)

// ErrStart is the cause of each error that prevents the process from starting.
var ErrStart = errors.New("process cannot start")

// process holds the parts of a process while they are assembled.
type process struct {
	settings    settings.Settings
	log         hclog.Logger
	adapter     Adapter               // nil without a platform adapter
	credentials *identity.Credentials // nil for unencrypted links
	links       *link.Pool
	tree        *suture.Supervisor
	servers     []server              // stopped in reverse order
	dumps       map[string]func() any // state dumps by part name
	expvars     expvars
	// configIndexes return the configuration of each role, or nil if it has none yet.
	// isRevoked looks up revoked certificates in them.
	configIndexes []func() *config.Index
	reloads       <-chan settings.Settings // changed settings; nil if they are never reloaded
	promRegistry  *prometheus.Registry
	clientMetrics *httpconn.Metrics
	seedSetters   []func([]netip.AddrPort) // pass changed registry seeds to the roles
}

// Run runs the roles that s configures. When ctx is cancelled, it shuts them down
// gracefully and returns.
func Run(ctx context.Context, s settings.Settings, log hclog.Logger) error {
	return RunWithAdapter(ctx, s, log, nil, nil)
}

// RunWithAdapter is Run with a platform adapter, which the roles gateway and registry
// require. When settings arrive on changed, only their registry seeds take effect;
// other changed settings need a restart.
func RunWithAdapter(ctx context.Context, s settings.Settings, log hclog.Logger, a Adapter, changed <-chan settings.Settings) error {
	p := &process{settings: s, log: log, adapter: a, reloads: changed, dumps: make(map[string]func() any), expvars: newExpvars()}
	p.promRegistry = prometheus.NewRegistry()
	p.clientMetrics = httpconn.NewMetrics(p.promRegistry)
	p.tree = suture.New("papayarock", suture.Spec{
		EventHook: func(e suture.Event) { log.Warn("supervisor event", "event", e.String()) },
		Timeout:   s.ShutdownTimeout,
	})
	if err := p.assemble(ctx); err != nil {
		return err
	}
	setKratosLoggerOnce.Do(func() { klog.SetLogger(kratosLogger{log}) })
	if p.reloads != nil {
		p.add("settings", reloader{p})
	}
	app := kratos.New(kratos.Name("papayarock"), kratos.Context(ctx),
		kratos.Server(&serverGroup{servers: p.servers}), kratos.StopTimeout(s.ShutdownTimeout+linkStopMargin))
	return errors.Wrap(app.Run(), "run process")
}

// setKratosLoggerOnce sets the logger of kratos in the first process only. The logger
// is global, and must not change while another process of the same program runs.
var setKratosLoggerOnce sync.Once

// add adds a service to the supervisor tree.
func (p *process) add(name string, s suture.Service) { p.tree.Add(namedService{s, name}) }

// namedService is a service with a name for log lines. Without a String method,
// suture formats all fields of the service while it runs.
type namedService struct {
	suture.Service
	name string
}

// String returns the name for log lines.
func (n namedService) String() string { return n.name }

// linkStopMargin is added to the shutdown deadline, which the roles may use up, to
// leave time for closing the link sessions.
const linkStopMargin = 5 * time.Second

// assemble adds the parts of the process. Servers are stopped in reverse order: those
// of the roles first, then the supervisor tree, then the links that both use.
func (p *process) assemble(ctx context.Context) error {
	var err error
	if p.credentials, err = p.loadCredentials(); err != nil {
		return err
	}
	p.links = &link.Pool{Credentials: p.credentials, Roles: identity.Roles()}
	p.servers = append(p.servers, closeFunc(p.links.Close), newTreeServer(ctx, p.tree))
	steps := []struct {
		wanted bool
		add    func(ctx context.Context) error
	}{
		{p.settings.Control != nil, p.addControl},
		{p.settings.Agent != nil, p.addAgent},
		{p.settings.Entry != nil, p.addEntry},
		{p.settings.Registry != nil, p.addRegistry},
		{p.settings.Gateway != nil, p.addGateway},
		{p.settings.Metrics.IsValid(), p.addMetrics},
		{p.settings.Status.IsValid(), p.addStatus},
	}
	for _, step := range steps {
		if !step.wanted {
			continue
		}
		if err := step.add(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (p *process) loadCredentials() (*identity.Credentials, error) {
	if p.settings.Links.Plain {
		p.log.Warn("links are unencrypted and peers are not authenticated")
		return nil, nil
	}
	c, err := identity.LoadFiles(p.settings.Links.Certificate, p.settings.Links.Key, p.settings.Links.Authority)
	if err != nil {
		return nil, errors.Wrapf(ErrStart, "%v", err)
	}
	peer, err := c.Peer()
	if err != nil {
		return nil, errors.Wrapf(ErrStart, "certificate %s: %v", p.settings.Links.Certificate, err)
	}
	if peer.Host != p.settings.Host {
		return nil, errors.Wrapf(ErrStart, "certificate %s is issued to host %q, but the host in the settings is %q", p.settings.Links.Certificate, peer.Host, p.settings.Host)
	}
	c.Revoked = p.isRevoked
	return c, nil
}

// isRevoked reports whether the configuration of any role revokes the certificate
// of peer. Until a configuration arrives, no certificate counts as revoked.
func (p *process) isRevoked(peer identity.Peer) bool {
	for _, index := range p.configIndexes {
		if x := index(); x != nil && x.IsRevoked(peer.Host, peer.Issued) {
			return true
		}
	}
	return false
}

func (p *process) listen(ctx context.Context, addr string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	return l, errors.Wrap(err, "listen")
}

// newSubscribeClient returns a client of the control replicas. It lists relays
// before voters, since relays exist to serve the polls of nodes.
func (p *process) newSubscribeClient(o subscribe.Options) *subscribe.Client {
	for _, h := range append(append([]settings.ControlHost(nil), p.settings.Relays...), p.settings.ControlHosts...) {
		o.Addresses = append(o.Addresses, link.Address{Host: h.Host, AddrPort: h.Address})
	}
	o.Links, o.Host = p.links, p.settings.Host
	c := subscribe.New(o)
	p.configIndexes = append(p.configIndexes, c.Config.Load)
	return c
}
