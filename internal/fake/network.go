package fake

import (
	"sync"
	"time"

	"papayarock/core/fleet"
	"papayarock/io/wire"
)

// Network carries log messages between members in one process. The zero value
// is ready to use and delivers at once.
type Network struct {
	Delay func(from, to fleet.Host) time.Duration // one-way; nil means none

	mu      sync.Mutex
	members map[fleet.Host]func(from fleet.Host, m *wire.LogMessage)
	cut     map[[2]fleet.Host]bool
}

// Port sends from one host of a Network.
type Port struct {
	network *Network
	host    fleet.Host
}

// Port returns the transport of host.
func (n *Network) Port(host fleet.Host) Port { return Port{n, host} }

// Connect delivers messages to host by deliver; nil disconnects it.
func (n *Network) Connect(host fleet.Host, deliver func(from fleet.Host, m *wire.LogMessage)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.members == nil {
		n.members = make(map[fleet.Host]func(fleet.Host, *wire.LogMessage))
	}
	n.members[host] = deliver
}

// Cut drops messages in one direction until it is called with false.
func (n *Network) Cut(from, to fleet.Host, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = make(map[[2]fleet.Host]bool)
	}
	n.cut[[2]fleet.Host{from, to}] = cut
}

// Send delivers m after the delay of the link, unless the link is cut by then.
func (p Port) Send(to fleet.Host, m *wire.LogMessage) {
	n := p.network
	deliver := func() {
		n.mu.Lock()
		f := n.members[to]
		if n.cut[[2]fleet.Host{p.host, to}] {
			f = nil
		}
		n.mu.Unlock()
		if f != nil {
			f(p.host, m)
		}
	}
	if n.Delay == nil {
		deliver()
		return
	}
	time.AfterFunc(n.Delay(p.host, to), deliver)
}
