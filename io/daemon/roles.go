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
	s := p.s.Control
	o := controller.Options{
		Self: p.s.Host, DataDir: s.Data, Links: p.links,
		Log: p.log.Named("control"), PlatformURL: s.Platform, UsageURL: s.Usage,
		UsageWindow: s.UsageWindow,
		Addresses:   make(map[fleet.Host]netip.AddrPort), Operators: make(map[fleet.Host]netip.AddrPort),
	}
	for _, h := range p.s.ControlHosts {
		if !s.Learner {
			o.Voters = append(o.Voters, h.Host)
		}
	}
	for _, h := range slices.Concat(p.s.ControlHosts, p.s.Relays) {
		o.Addresses[h.Host] = h.Address
		if h.Operator.IsValid() {
			o.Operators[h.Host] = h.Operator
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
	links := &link.Server{Listener: l, Identity: p.credentials, StopTimeout: controlStop, Log: p.log.Named("link")}
	c.Register(links)
	p.indexes = append(p.indexes, c.Index)
	p.add("control", c)
	p.add("control links", links)
	p.dumps["control"] = c.Dump
	p.metrics.control(c)
	p.servers = append(p.servers, p.operators(c))
	return nil
}

// operators serves operators. Without TLS anybody who reaches the address is an
// operator, so plain links suit a closed network only.
func (p *process) operators(c *controller.Controller) server {
	handler, config := c.ServeOperators(p.credentials)
	options := []khttp.ServerOption{khttp.Address(p.s.Control.Operator.String()), khttp.Timeout(0)}
	if config != nil {
		options = append(options, khttp.TLSConfig(config))
	}
	h := khttp.NewServer(options...)
	h.Handler = handler
	h.ReadHeaderTimeout = headerTimeout
	return h
}

// controlStop bounds the wait for calls when a control replica stops. Streams
// between replicas never end by themselves, and polls are asked again elsewhere.
const controlStop = time.Second

const headerTimeout = 10 * time.Second

func (p *process) addAgent(ctx context.Context) error {
	s := p.s.Agent
	l, err := p.listen(ctx, s.Listen.String())
	if err != nil {
		return errors.Wrapf(ErrStart, "agent: %v", err)
	}
	a := &agent.Agent{
		Listener: l, Identity: p.credentials, Links: p.links, Target: s.Target, StopTimeout: p.s.Shutdown, Log: p.log.Named("agent"),
		Announcement: fleet.Target{
			Name: s.Name, Host: p.s.Host, Region: p.s.Region, DataCentre: p.s.DataCentre,
			Agent: netip.AddrPortFrom(p.s.Addresses[0], s.Listen.Port()), Kind: s.Kind, Pool: s.Pool, Role: s.Role,
			ChecksFencing: s.ChecksFencing, Slots: s.Slots,
		},
	}
	p.dumps["agent"] = a.Dump
	p.metrics.agent(a)
	p.add("agent", a)
	if len(p.s.ControlHosts) == 0 {
		return nil
	}
	client := p.client(subscribe.Options{AgentStatus: a.Status, Log: p.log.Named("subscribe"), OnChange: a.Configured})
	a.Control = client
	p.dumps["agent-subscription"] = client.Dump
	p.metrics.subscription(client)
	p.add("agent subscription", client)
	return nil
}

func (p *process) addEntry(ctx context.Context) error {
	s := p.s.Entry
	e := &entry.Entry{Links: p.links, Log: p.log.Named("entry"), Limits: entry.Limits{
		HeaderBytes: s.Limits.HeaderBytes, BodyBytes: s.Limits.BodyBytes, FirstByte: s.Limits.FirstByte,
		Idle: s.Limits.Idle, Streams: s.Limits.StreamsPerPeer,
	}}
	policy := serving.New(serving.Options{Host: p.s.Host, DataCentre: p.s.DataCentre, Region: p.s.Region, Links: p.links, Log: p.log.Named("serving")})
	e.Picker, e.Admitter, e.Retrier = policy, policy, policy
	if s.Static != nil {
		snapshot, err := settings.LoadStatic(s.Static)
		if err != nil {
			return errors.Wrapf(ErrStart, "entry: %v", err)
		}
		index := config.NewIndex(snapshot)
		e.Config = new(atomic.Pointer[config.Index])
		e.Config.Store(index)
		policy.Configured(index)
	} else {
		client := p.client(subscribe.Options{
			Log: p.log.Named("subscribe"), Demand: policy.Demand, OnSummaries: policy.Summarised, WantSummaries: policy.WantsSummaries,
			Contacts: policy.Contacts,
			OnChange: func(x *config.Index) {
				e.Configured(x)
				policy.Configured(x)
			},
		})
		e.Config, e.FreshUntil, e.Control = &client.Index, &client.FreshUntilNanos, client
		policy.Shares = client
		p.dumps["entry-subscription"] = client.Dump
		p.metrics.subscription(client)
		p.add("entry subscription", client)
	}
	p.add("serving", policy)
	p.add("entry", e)
	p.dumps["entry"], p.dumps["serving"] = e.Dump, policy.Dump
	p.metrics.entry(e, policy)
	l, err := p.listen(ctx, s.Listen.String())
	if err != nil {
		return errors.Wrapf(ErrStart, "entry: %v", err)
	}
	if n := s.Limits.Connections; n > 0 {
		l = netutil.LimitListener(l, n)
	}
	h := khttp.NewServer(khttp.Listener(l), khttp.Timeout(0))
	e.Limits.Apply(h.Server)
	h.Handler = e
	p.servers = append(p.servers, drained{h, e.Stop, p.s.Shutdown})
	return nil
}
