package fake

import (
	"sync"
	"time"

	"papayarock/core/fleet"
	"papayarock/io/wire"
)

// Network simulates the network that carries messages of the replicated log
// between hosts in one process. The zero value is ready to use and delivers
// messages synchronously.
type Network struct {
	Delay func(from, to fleet.Host) time.Duration // one-way latency; nil means none

	mu        sync.Mutex
	receivers map[fleet.Host]func(from fleet.Host, m *wire.LogMessage)
	blocked   map[[2]fleet.Host]bool
}

// Endpoint sends messages for one host of a Network.
type Endpoint struct {
	network *Network
	host    fleet.Host
}

// Endpoint returns the endpoint that sends messages for host.
func (n *Network) Endpoint(host fleet.Host) Endpoint { return Endpoint{n, host} }

// Connect sets the function that receives the messages to host; nil disconnects
// host.
func (n *Network) Connect(host fleet.Host, deliver func(from fleet.Host, m *wire.LogMessage)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.receivers == nil {
		n.receivers = make(map[fleet.Host]func(fleet.Host, *wire.LogMessage))
	}
	n.receivers[host] = deliver
}

// SetBlocked blocks or unblocks messages in one direction. Blocked messages are
// dropped.
func (n *Network) SetBlocked(from, to fleet.Host, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blocked == nil {
		n.blocked = make(map[[2]fleet.Host]bool)
	}
	n.blocked[[2]fleet.Host{from, to}] = blocked
}

// Send delivers m after Delay. It drops m if, at the end of the delay, messages from
// this host to the receiver are blocked or the receiver is disconnected.
func (p Endpoint) Send(to fleet.Host, m *wire.LogMessage) {
	n := p.network
	deliver := func() {
		n.mu.Lock()
		f := n.receivers[to]
		if n.blocked[[2]fleet.Host{p.host, to}] {
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
