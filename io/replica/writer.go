package replica

import (
	"sync"

	"github.com/pkg/errors"

	"papayarock/core/log"
	"papayarock/io/disk"
)

// writer writes to a store from a goroutine of its own. Writes that arrive during a
// sync share the next sync.
type writer struct {
	store  *disk.Store
	synced chan struct{} // signalled after each write; progress returns its result
	wake   chan struct{} // signalled when queue or closing has changed
	done   chan struct{} // closed when run has returned

	mu       sync.Mutex
	queue    []log.Persist
	sequence uint64 // of the last durable write
	err      error
	closing  bool
}

func newWriter(s *disk.Store) *writer {
	return &writer{store: s, synced: make(chan struct{}, 1), wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// enqueue queues a write. The queue needs no bound of its own, since the node bounds the
// bytes of uncommitted entries.
func (w *writer) enqueue(p log.Persist) {
	w.mu.Lock()
	w.queue = append(w.queue, p)
	w.mu.Unlock()
	notify(w.wake)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (w *writer) run() {
	defer close(w.done)
	for range w.wake {
		w.mu.Lock()
		batch := w.queue
		w.queue = nil
		closing := w.closing
		w.mu.Unlock()
		if closing {
			return
		}
		if len(batch) == 0 {
			continue
		}
		err := w.store.Write(batch)
		w.mu.Lock()
		if err != nil {
			w.err = err
		} else {
			w.sequence = batch[len(batch)-1].Sequence
		}
		w.mu.Unlock()
		notify(w.synced)
	}
}

// progress returns the sequence number of the last durable write, and the error of the
// write that failed, if any. After a failure no further write becomes durable.
func (w *writer) progress() (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sequence, w.err
}

// close stops the writer and closes the store. Writes that have not started are
// dropped, since they have not been reported as durable.
func (w *writer) close() error {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	notify(w.wake)
	<-w.done
	return errors.Wrap(w.store.Close(), "close data directory")
}
