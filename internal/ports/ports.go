// Package ports reserves loopback ports for servers that tests and the demo start
// later, or restart.
//
// The ports lie below the ephemeral range, from which the operating system takes
// the local ports of outgoing connections. They are reserved in blocks, and a
// process locks its blocks until it exits, so that concurrent processes, such as
// test binaries, never use the same port. Without the locks, a restarted replica
// sometimes found its port in use.
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

// ErrNoPort is returned by Reserve if no block of ports can be locked.
var ErrNoPort = errors.New("no loopback port available")

const (
	firstPort  = 12_000
	blockCount = 180
	blockSize  = 100 // ports in a block
)

// reserved holds the blocks that this process has locked. Their lock files stay
// open until it exits, which releases the locks.
var reserved struct {
	sync.Mutex
	locks     []*os.File
	nextPort  int // next port to try in the block locked last
	endPort   int // first port after this block
	nextBlock int // next block to try to lock
}

// Reserve reserves a port of 127.0.0.1 that is not in use at the time of the call.
// No other call, in this process or another, returns the same port while this
// process runs.
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
		return addr, errors.Wrapf(l.Close(), "close listener on %s", addr)
	}
}

// lockBlock locks the next block that no other process has locked.
func lockBlock() error {
	dir := filepath.Join(os.TempDir(), "papayarock-ports")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(ErrNoPort, err.Error())
	}
	for ; reserved.nextBlock < blockCount; reserved.nextBlock++ {
		f, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("block-%d", reserved.nextBlock)), os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return errors.Wrap(ErrNoPort, err.Error())
		}
		if unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil {
			_ = f.Close() // locked by another process
			continue
		}
		reserved.locks = append(reserved.locks, f)
		reserved.nextPort = firstPort + reserved.nextBlock*blockSize
		reserved.endPort = reserved.nextPort + blockSize
		reserved.nextBlock++
		return nil
	}
	return errors.Wrapf(ErrNoPort, "all %d blocks of ports are locked", blockCount)
}
