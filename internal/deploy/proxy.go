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

// indirect is the loopback address of the proxies that entries and agents use.
// An agent announces the port it listens on, so that its proxy needs an address
// of its own. Control replica i uses the address i after it.
var indirect = netip.AddrFrom4([4]byte{127, 0, 0, 2})

// nodes stands for all entries and agents in Deployment.between.
const nodes = fleet.Host("nodes")

// proxy listens at another loopback address with the same port.
func (d *Deployment) proxy(at netip.Addr, target netip.AddrPort) (*fake.Proxy, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(at, target.Port()).String()) //nolint:noctx // returns at once
	if err != nil {
		return nil, errors.Wrap(ErrDeploy, err.Error())
	}
	p := &fake.Proxy{Target: target.String()}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { p.Serve(ctx, l) })
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends = append(d.ends, func() {
		cancel()
		done.Wait()
	})
	return p, nil
}

// connectControl puts a proxy on each way to a control replica.
func (d *Deployment) connectControl() error {
	d.between = make(map[[2]fleet.Host]*fake.Proxy)
	if !d.o.Indirect {
		return nil
	}
	for _, to := range d.Control {
		for _, from := range append([]fleet.Host{nodes}, d.controlHosts()...) {
			p, err := d.proxy(d.side(from), to.Address)
			if err != nil {
				return err
			}
			d.between[[2]fleet.Host{from, to.Host}] = p
		}
	}
	return nil
}

func (d *Deployment) controlHosts() []fleet.Host {
	var all []fleet.Host
	for _, h := range d.Control {
		all = append(all, h.Host)
	}
	return all
}

// side is the address at which the proxies of a host listen.
func (d *Deployment) side(from fleet.Host) netip.Addr {
	a := indirect
	for range slices.Index(d.controlHosts(), from) + 1 {
		a = a.Next()
	}
	return a
}

// controlFor returns the control replicas as a host reaches them.
func (d *Deployment) controlFor(host fleet.Host) []settings.ControlHost {
	all := slices.Clone(d.Control)
	if d.o.Indirect {
		for i, h := range all {
			all[i].Address = netip.AddrPortFrom(d.side(host), h.Address.Port())
		}
	}
	return all
}

// Isolate makes the links between a control replica and the others and from
// nodes to it silent in both directions, or lets them pass again. Operators
// still reach it, and it reaches agents and the platform.
func (d *Deployment) Isolate(host fleet.Host, silent bool) {
	for way, p := range d.between {
		if way[0] == host || way[1] == host {
			p.UpdateFaults(func(f *fake.ProxyFaults) { f.Hold = silent })
		}
	}
}

// IsolateFrom makes the links silent that one control replica, or all entries
// and agents under the name "nodes", have opened to another replica. It returns
// an error if there are none.
func (d *Deployment) IsolateFrom(from, to fleet.Host) error {
	p := d.between[[2]fleet.Host{from, to}]
	if p == nil {
		return errors.Wrapf(ErrDeploy, "no links from %q to %q", from, to)
	}
	p.UpdateFaults(func(f *fake.ProxyFaults) { f.Hold = true })
	return nil
}
