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

// nodeProxyAddress is the loopback address of the proxies in front of agents, and of
// the proxies through which entries and agents connect to control replicas. A proxy
// listens on the same port as its target, because an agent announces the port on
// which it listens itself; so the proxy needs another address than the target.
//
// Each control replica connects to the others through proxies at an address of its
// own: nodeProxyAddress plus 1 for the first replica, plus 2 for the second, and so
// on.
var nodeProxyAddress = netip.AddrFrom4([4]byte{127, 0, 0, 2})

// allNodes is the source of the links of all entries and agents in
// Deployment.controlProxies. Scripts use the name, too.
const allNodes = fleet.Host("nodes")

// startProxy starts a proxy to target that listens at another loopback address, on
// the port of target.
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

// startControlProxies starts the proxies in front of each control replica: one for
// the links from all entries and agents, and one for those from each control
// replica.
func (d *Deployment) startControlProxies() error {
	d.controlProxies = make(map[[2]fleet.Host]*fake.Proxy)
	if !d.o.Proxied {
		return nil
	}
	for _, to := range d.ControlReplicas {
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
	for _, h := range d.ControlReplicas {
		all = append(all, h.Host)
	}
	return all
}

// proxyAddress returns the address of the proxies through which a host connects to
// control replicas. Hosts that are not control replicas share nodeProxyAddress.
func (d *Deployment) proxyAddress(from fleet.Host) netip.Addr {
	a := nodeProxyAddress
	for range slices.Index(d.controlHostNames(), from) + 1 {
		a = a.Next()
	}
	return a
}

// controlHostsFor returns the control replicas with the link addresses to which a
// host connects: those of its proxies with Options.Proxied.
func (d *Deployment) controlHostsFor(host fleet.Host) []settings.ControlHost {
	all := slices.Clone(d.ControlReplicas)
	if d.o.Proxied {
		for i, h := range all {
			all[i].Address = netip.AddrPortFrom(d.proxyAddress(host), h.Address.Port())
		}
	}
	return all
}

// SetIsolated stalls the links between a control replica and the others, and those that
// entries and agents open to it, in both directions; with stalled false they pass
// data again. Requests of operators to the replica, and those that it sends to
// agents and the platform, are not affected.
func (d *Deployment) SetIsolated(host fleet.Host, stalled bool) {
	for fromTo, p := range d.controlProxies {
		if fromTo[0] == host || fromTo[1] == host {
			p.UpdateFaults(func(f *fake.ProxyFaults) { f.Hold = stalled })
		}
	}
}

// StallLinks stalls the links that a control replica opens to another one. With the
// name "nodes" for from, it stalls those that all entries and agents open to the
// replica. It returns an error if there is no proxy for the links.
func (d *Deployment) StallLinks(from, to fleet.Host) error {
	p := d.controlProxies[[2]fleet.Host{from, to}]
	if p == nil {
		return errors.Wrapf(ErrDeploy, "no proxy for links from %q to %q", from, to)
	}
	p.UpdateFaults(func(f *fake.ProxyFaults) { f.Hold = true })
	return nil
}
