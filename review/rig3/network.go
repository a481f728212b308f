package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// firstRetransmission is the time after which TCP sends a lost segment again. It doubles with
	// each further loss.
	firstRetransmission = 200 * time.Millisecond
	maxHeld             = 1024 // pieces of data held in one direction of a connection
)

// network is a set of proxies in front of machines. It can cut off one machine: what is sent to and
// from it is held, as by links that lose every packet.
type network struct {
	d *deployment

	mu     sync.Mutex
	victim *machine      // that is cut off; nil if there is none
	cutAt  time.Time     // start of the cut
	healed chan struct{} // closed at the end of the cut
	last   time.Time     // end of the last cut
}

// listen forwards the connections to address to the machine with the address target. to is that
// machine, or nil if it is the platform. from names the only client, or is nil: the client is then
// found by its process.
func (n *network) listen(address, target string, from, to *machine) error {
	l, err := (&net.ListenConfig{}).Listen(n.d.ctx, "tcp", address)
	if err != nil {
		return err
	}
	context.AfterFunc(n.d.ctx, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.forward(c, target, from, to)
		}
	}()
	return nil
}

// cut cuts a machine off from all others and from the platform.
func (n *network) cut(m *machine) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.victim, n.cutAt, n.healed = m, time.Now(), make(chan struct{})
}

// heal ends the cut.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.victim, n.last = nil, time.Now()
	close(n.healed)
}

// lastHealed returns the end of the last cut.
func (n *network) lastHealed() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.last
}

// state reports whether connections of these machines are cut, when the cut began, and a channel
// that is closed at its end.
func (n *network) state(from, to *machine) (cut bool, at time.Time, healed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.victim != nil && (n.victim == from || n.victim == to), n.cutAt, n.healed
}

func (n *network) forward(client net.Conn, target string, from, to *machine) {
	defer func() { _ = client.Close() }()
	if from == nil {
		from = n.d.ownerOf(client.RemoteAddr().(*net.TCPAddr).Port)
	}
	if cut, _, healed := n.state(from, to); cut {
		// The opening packet is lost. The connection exists only if the client still waits for it
		// at the end of the cut.
		<-healed
		if !stillOpen(client) {
			return
		}
	}
	server, err := (&net.Dialer{}).DialContext(n.d.ctx, "tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	stop := context.AfterFunc(n.d.ctx, func() { _, _ = client.Close(), server.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { n.copy(server, client, from, to, true) })
	wg.Go(func() { n.copy(client, server, from, to, false) })
	wg.Wait()
}

// copy passes on what one end sends, and the end of its data. A reset by the sender takes with it
// what is held.
func (n *network) copy(dst, src net.Conn, from, to *machine, toServer bool) {
	data := make(chan []byte, maxHeld)
	reset := make(chan struct{})
	go func() {
		defer close(data)
		for {
			b := make([]byte, 16<<10)
			k, err := src.Read(b)
			if k > 0 {
				data <- b[:k]
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					close(reset)
				}
				return
			}
		}
	}()
	for {
		var b []byte
		var open bool
		select {
		case <-reset:
			abort(dst)
			return
		case b, open = <-data:
		}
		if to == nil && toServer && open {
			n.d.platform.sending(from)
		}
		if !n.pass(from, to, reset) {
			abort(dst)
			return
		}
		if !open {
			if c, ok := dst.(*net.TCPConn); ok {
				_ = c.CloseWrite()
			}
			return
		}
		if _, err := dst.Write(b); err != nil {
			abort(src)
			return
		}
	}
}

// pass waits while the connection is cut, and until the next retransmission after that. It returns
// false if the sender has reset the connection meanwhile.
func (n *network) pass(from, to *machine, reset <-chan struct{}) bool {
	cut, at, healed := n.state(from, to)
	if !cut {
		return true
	}
	select {
	case <-healed:
	case <-reset:
		return false
	}
	next, step := at.Add(firstRetransmission), firstRetransmission
	for next.Before(time.Now()) {
		step *= 2
		next = next.Add(step)
	}
	select {
	case <-time.After(time.Until(next)):
		return true
	case <-reset:
		return false
	}
}

// abort resets a connection.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// stillOpen reports whether the other end has not closed a connection on which it has not been
// answered.
func stillOpen(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	open := true
	_ = raw.Control(func(fd uintptr) {
		info, err := tcpState(int(fd))
		open = err == nil && info == tcpEstablished
	})
	return open
}

const tcpEstablished = 1

// tcpState returns the state of a TCP socket, the first byte of TCP_INFO.
func tcpState(fd int) (byte, error) {
	v, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
	return byte(v), err
}

// ownerOf returns the machine with the registry process that has a socket with the local port, or
// nil.
func (d *deployment) ownerOf(port int) *machine {
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return nil
	}
	inode := ""
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) > 9 && strings.HasSuffix(f[1], fmt.Sprintf(":%04X", port)) && f[9] != "0" && !strings.HasSuffix(f[2], ":0000") {
			inode = f[9]
		}
	}
	for _, m := range d.machines() {
		for _, p := range m.processes() {
			p.mu.Lock()
			pid := 0
			if p.cmd != nil {
				pid = p.cmd.Process.Pid
			}
			p.mu.Unlock()
			links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
			for _, l := range links {
				if to, err := os.Readlink(l); err == nil && to == "socket:["+inode+"]" {
					return m
				}
			}
		}
	}
	return nil
}
