// Package ports reserves loopback ports for servers that are started later, and
// started again, by tests and the demo.
//
// Ports come from below the range from which systems take the ports of outgoing
// connections. A program holds the lock of a block of ports while it runs, so
// that programs that run at the same time, as test binaries do, never draw the
// same port: without that, a replica that was started again at times found its
// port taken.
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

// ErrPorts reports that no port could be reserved.
var ErrPorts = errors.New("no loopback port is free")

const (
	lowest    = 12_000
	blocks    = 180
	blockSize = 100
)

// reserved are the blocks that this program holds. The lock files stay open
// until it ends.
var reserved struct {
	sync.Mutex
	files []*os.File
	next  int // port to try
	last  int // end of the newest block
	block int // to try for the next one
}

// Free returns a port of 127.0.0.1 that no other user of this package has drawn
// and nobody listens on.
func Free() (netip.AddrPort, error) {
	reserved.Lock()
	defer reserved.Unlock()
	for {
		if reserved.next >= reserved.last {
			if err := reserve(); err != nil {
				return netip.AddrPort{}, err
			}
		}
		port := reserved.next
		reserved.next++
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		l, err := net.Listen("tcp", addr.String()) //nolint:noctx // returns at once
		if err != nil {
			continue
		}
		return addr, errors.Wrap(l.Close(), "release port")
	}
}

// reserve locks the next block that no other program holds.
func reserve() error {
	dir := filepath.Join(os.TempDir(), "papayarock-ports")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(ErrPorts, err.Error())
	}
	for ; reserved.block < blocks; reserved.block++ {
		f, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("block-%d", reserved.block)), os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return errors.Wrap(ErrPorts, err.Error())
		}
		if unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil {
			_ = f.Close() // another program holds the block
			continue
		}
		reserved.files = append(reserved.files, f)
		reserved.next = lowest + reserved.block*blockSize
		reserved.last = reserved.next + blockSize
		reserved.block++
		return nil
	}
	return errors.Wrapf(ErrPorts, "all %d blocks are in use", blocks)
}
