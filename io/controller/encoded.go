package controller

import (
	"sync"

	"papayarock/core/config"
	"papayarock/io/wire"
)

// encoded keeps the newest configuration as it is sent. After the restart of a
// data centre all its nodes fetch it at once, and encoding 11,000 customers takes
// 11 ms.
type encoded struct {
	mu       sync.Mutex
	revision uint64
	whole    []byte
}

// of returns x as it is sent. The result must not be changed.
func (e *encoded) of(x *config.Index) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.whole != nil && e.revision == x.Revision {
		return e.whole, nil
	}
	whole, err := wire.EncodeConfig(x.Snapshot())
	if err != nil {
		return nil, err
	}
	if e.whole == nil || x.Revision > e.revision {
		e.revision, e.whole = x.Revision, whole
	}
	return whole, nil
}
