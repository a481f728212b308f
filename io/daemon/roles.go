package daemon

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/io/agent"
	"papayarock/io/controller"
	"papayarock/io/entry"
	"papayarock/io/link"
	"papayarock/io/serving"
	"papayarock/io/settings"
	"papayarock/io/subscribe"
)

func (p *process) addControl(ctx context.Context) error {
	s := p.settings.Control
	o := controller.Options{
		Self: p.settings.Host, DataDir: s.Data, Links: p.links,
		Log: p.log.Named("control"), PlatformURL: s.Platform, UsageURL: s.Usage,
		UsageWindow: s.UsageWindow,
		Addresses:   make(map[fleet.Host]netip.AddrPort), OperatorAddresses: make(map[fleet.Host]netip.AddrPort),
	}
	for _, h := range p.settings.ControlHosts {
		if !s.Learner {
			o.Voters = append(o.Voters, h.Host)
		}
	}
	for _, h := range slices.Concat(p.settings.ControlHosts, p.settings.Relays) {
		o.Addresses[h.Host] = h.Address
		if h.Operator.IsValid() {
			o.OperatorAddresses[h.Host] = h.Operator
		}
	}
	c, err := controller.New(o)
	if err != nil {
		return errors.Wrapf(ErrStart, "control: %v", err)
	}
	l, err := p.listen(ctx, s.Listen.String())
	if err != nil {
		return errors.Wrapf(ErrStart, "control: %v", err)
	}
	links := &link.Server{Listener: l, Credentials: p.credentials, StopTimeout: controlStopTimeout, Log: p.log.Named("link")}
	c.Register(links)
	p.configIndexes = append(p.configIndexes, c.Config)
	p.add("control", c)
	p.add("control links", links)
	p.dumps["control"] = c.Dump
	p.expvars.addControl(c)
	p.servers = append(p.servers, p.newOperatorServer(c))
	return nil
}

// newOperatorServer returns the HTTP server for operators. Without TLS, everyone
// who can reach its address has the rights of an operator, so unencrypted links
// suit isolated networks only.
func (p *process) newOperatorServer(c *controller.Controller) server {
	handler, config := c.OperatorEndpoint(p.credentials)
	options := []khttp.ServerOption{khttp.Address(p.settings.Control.Operator.String()), khttp.Timeout(0)}
	if config != nil {
		options = append(options, khttp.TLSConfig(config))
	}
	h := khttp.NewServer(options...)
	h.Handler = handler
	h.ReadHeaderTimeout = readHeaderTimeout
	return h
}

// controlStopTimeout bounds the wait for running calls when a control or registry
// replica stops. Streams between replicas never end by themselves, and nodes repeat
// interrupted polls at another replica.
const controlStopTimeout = time.Second

// readHeaderTimeout bounds reading a request header on the operator address of a
// control replica and in the servers that newHTTPServer returns.
const readHeaderTimeout = 10 * time.Second

func (p *process) addAgent(ctx context.Context) error {
	s := p.settings.Agent
	l, err := p.listen(ctx, s.Listen.String())
	if err != nil {
		return errors.Wrapf(ErrStart, "agent: %v", err)
	}
	a := &agent.Agent{
		Listener: l, Identity: p.credentials, Links: p.links, TargetURL: s.Target, StopTimeout: p.settings.ShutdownTimeout, Log: p.log.Named("agent"),
		Announcement: fleet.Target{
			Name: s.Name, Host: p.settings.Host, Region: p.settings.Region, DataCentre: p.settings.DataCentre,
			Agent: netip.AddrPortFrom(p.settings.Addresses[0], s.Listen.Port()), Kind: s.Kind, Pool: s.Pool, Role: s.Role,
			ChecksFencing: s.ChecksFencing, Slots: s.Slots,
		},
	}
	p.dumps["agent"] = a.Dump
	p.expvars.addAgent(a)
	p.add("agent", a)
	if len(p.settings.ControlHosts) == 0 {
		return nil
	}
	client := p.newSubscribeClient(subscribe.Options{AgentStatus: a.Status, Log: p.log.Named("subscribe"), OnChange: a.ApplyConfiguration})
	a.Control = client
	p.dumps["agent-subscription"] = client.Dump
	p.expvars.addSubscription(client)
	p.add("agent subscription", client)
	return nil
}

func (p *process) addEntry(ctx context.Context) error {
	s := p.settings.Entry
	e := &entry.Entry{Links: p.links, Log: p.log.Named("entry"), Limits: entry.Limits{
		MaxHeaderBytes: s.Limits.MaxHeaderBytes, MaxBodyBytes: s.Limits.MaxBodyBytes, HeaderTimeout: s.Limits.HeaderTimeout,
		IdleTimeout: s.Limits.IdleTimeout, MaxStreamsPerConnection: s.Limits.MaxStreamsPerConnection,
	}}
	policy := serving.New(serving.Options{Host: p.settings.Host, DataCentre: p.settings.DataCentre, Region: p.settings.Region, Links: p.links, Log: p.log.Named("serving")})
	e.Picker, e.Admitter, e.Retrier = policy, policy, policy
	if s.Static != nil {
		snapshot, err := settings.LoadStatic(s.Static)
		if err != nil {
			return errors.Wrapf(ErrStart, "entry: %v", err)
		}
		index := config.NewIndex(snapshot)
		e.Config = new(atomic.Pointer[config.Index])
		e.Config.Store(index)
		policy.ApplyConfiguration(index)
	} else {
		client := p.newSubscribeClient(subscribe.Options{
			Log: p.log.Named("subscribe"), Demand: policy.Demand, OnSummaries: policy.ApplySummaries, WantSummaries: policy.NeedsSummaries,
			Contacts: policy.Contacts,
			OnChange: func(x *config.Index) {
				e.CancelInterruptedKeys(x)
				policy.ApplyConfiguration(x)
			},
		})
		e.Config, e.FreshUntil, e.Control = &client.Config, &client.FreshUntilNanos, client
		policy.ShareGranter = client
		p.dumps["entry-subscription"] = client.Dump
		p.expvars.addSubscription(client)
		p.add("entry subscription", client)
	}
	p.add("serving", policy)
	p.add("entry", e)
	p.dumps["entry"], p.dumps["serving"] = e.Dump, policy.Dump
	p.expvars.addEntry(e, policy)
	l, err := p.listen(ctx, s.Listen.String())
	if err != nil {
		return errors.Wrapf(ErrStart, "entry: %v", err)
	}
	if n := s.Limits.MaxConnections; n > 0 {
		l = netutil.LimitListener(l, n)
	}
	h := khttp.NewServer(khttp.Listener(l), khttp.Timeout(0))
	e.Limits.Apply(h.Server)
	h.Handler = e
	p.servers = append(p.servers, drainingServer{h, e.Stop, p.settings.ShutdownTimeout})
	return nil
}
