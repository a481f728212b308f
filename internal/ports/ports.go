// Package ports reserves loopback ports for servers that tests and the demo start
// later, or restart.
//
// The ports lie below the ephemeral range, which systems use for outgoing
// connections. They are reserved in blocks, and a program locks its blocks until
// it exits, so that concurrent programs, such as test binaries, never use the
// same port. Without the locks, a restarted replica sometimes found its port in
// use.
package ports

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrPorts is the error of Reserve if no port can be reserved.
var ErrPorts = errors.New("no loopback port available")

const (
	firstPort  = 12_000
	blockCount = 180
	blockSize  = 100
)

// reserved holds the blocks of this program. The lock files stay open until it
// exits.
var reserved struct {
	sync.Mutex
	locks     []*os.File
	nextPort  int // next port to try in the newest block
	endPort   int // first port after the newest block
	nextBlock int // next block to try
}

// Reserve reserves a port of 127.0.0.1 on which nothing listens. No other caller, in
// this program or another, gets the same port while this program runs.
func Reserve() (netip.AddrPort, error) {
	reserved.Lock()
	defer reserved.Unlock()
	for {
		if reserved.nextPort >= reserved.endPort {
			if err := lockBlock(); err != nil {
				return netip.AddrPort{}, err
			}
		}
		port := reserved.nextPort
		reserved.nextPort++
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		l, err := net.Listen("tcp", addr.String()) //nolint:noctx // returns at once
		if err != nil {
			continue
		}
		return addr, errors.Wrap(l.Close(), "release port")
	}
}

// lockBlock locks the next block that no other program has locked.
func lockBlock() error {
	dir := filepath.Join(os.TempDir(), "papayarock-ports")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(ErrPorts, err.Error())
	}
	for ; reserved.nextBlock < blockCount; reserved.nextBlock++ {
		f, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("block-%d", reserved.nextBlock)), os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return errors.Wrap(ErrPorts, err.Error())
		}
		if unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil {
			_ = f.Close() // locked by another program
			continue
		}
		reserved.locks = append(reserved.locks, f)
		reserved.nextPort = firstPort + reserved.nextBlock*blockSize
		reserved.endPort = reserved.nextPort + blockSize
		reserved.nextBlock++
		return nil
	}
	return errors.Wrapf(ErrPorts, "all %d blocks of ports are locked", blockCount)
}
