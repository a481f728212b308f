package deploy

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/internal/fake"
	"papayarock/io/settings"
)

// nodeProxyAddress is the loopback address of the proxies of agents, and of those
// through which entries and agents reach control. An agent announces the port it
// listens on, so its proxy has the same port and needs an address of its own. The
// proxies through which the i-th control replica reaches the others, counted from
// 1, are at the address i after it.
var nodeProxyAddress = netip.AddrFrom4([4]byte{127, 0, 0, 2})

// allNodes stands for all entries and agents as the source of links in
// Deployment.controlProxies.
const allNodes = fleet.Host("nodes")

// startProxy starts a proxy to target at another loopback address, on the same
// port.
func (d *Deployment) startProxy(address netip.Addr, target netip.AddrPort) (*fake.Proxy, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(address, target.Port()).String()) //nolint:noctx // returns at once
	if err != nil {
		return nil, errors.Wrap(ErrDeploy, err.Error())
	}
	p := &fake.Proxy{Target: target.String()}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { p.Serve(ctx, l) })
	d.mu.Lock()
	defer d.mu.Unlock()
	d.proxyStops = append(d.proxyStops, func() {
		cancel()
		done.Wait()
	})
	return p, nil
}

// startControlProxies starts for each control replica one proxy for each control
// replica that may connect to it, and one for all entries and agents.
func (d *Deployment) startControlProxies() error {
	d.controlProxies = make(map[[2]fleet.Host]*fake.Proxy)
	if !d.o.Proxied {
		return nil
	}
	for _, to := range d.Control {
		for _, from := range append([]fleet.Host{allNodes}, d.controlHostNames()...) {
			p, err := d.startProxy(d.proxyAddress(from), to.Address)
			if err != nil {
				return err
			}
			d.controlProxies[[2]fleet.Host{from, to.Host}] = p
		}
	}
	return nil
}

func (d *Deployment) controlHostNames() []fleet.Host {
	var all []fleet.Host
	for _, h := range d.Control {
		all = append(all, h.Host)
	}
	return all
}

// proxyAddress returns the address of the proxies through which a host connects.
func (d *Deployment) proxyAddress(from fleet.Host) netip.Addr {
	a := nodeProxyAddress
	for range slices.Index(d.controlHostNames(), from) + 1 {
		a = a.Next()
	}
	return a
}

// controlHostsFor returns the control replicas with the link addresses that a
// host connects to.
func (d *Deployment) controlHostsFor(host fleet.Host) []settings.ControlHost {
	all := slices.Clone(d.Control)
	if d.o.Proxied {
		for i, h := range all {
			all[i].Address = netip.AddrPortFrom(d.proxyAddress(host), h.Address.Port())
		}
	}
	return all
}

// Isolate stalls the links between a control replica and the others, and those
// from entries and agents to it, in both directions; with stalled false they pass
// data again. Operators still reach the replica, and it reaches agents and the
// platform.
func (d *Deployment) Isolate(host fleet.Host, stalled bool) {
	for fromTo, p := range d.controlProxies {
		if fromTo[0] == host || fromTo[1] == host {
			p.UpdateFaults(func(f *fake.ProxyFaults) { f.Hold = stalled })
		}
	}
}

// IsolateFrom stalls the links from one control replica, or from all entries and
// agents under the name "nodes", to another replica. It returns an error if there
// is no proxy for them.
func (d *Deployment) IsolateFrom(from, to fleet.Host) error {
	p := d.controlProxies[[2]fleet.Host{from, to}]
	if p == nil {
		return errors.Wrapf(ErrDeploy, "no proxy for links from %q to %q", from, to)
	}
	p.UpdateFaults(func(f *fake.ProxyFaults) { f.Hold = true })
	return nil
}
