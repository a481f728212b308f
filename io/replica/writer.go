package replica

import (
	"sync"

	"github.com/pkg/errors"

	"papayarock/core/log"
	"papayarock/io/disk"
)

// writer writes to a store in the background. Writes that arrive during a sync
// share the next one.
type writer struct {
	store  *disk.Store
	synced chan struct{} // signalled when state has changed
	wake   chan struct{}
	done   chan struct{}

	mu       sync.Mutex
	queue    []log.Persist
	sequence uint64 // of the last durable write
	failed   error
	closing  bool
}

func newWriter(s *disk.Store) *writer {
	return &writer{store: s, synced: make(chan struct{}, 1), wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// add queues a write. The node bounds the bytes that are not committed, and so
// the queue.
func (w *writer) add(p log.Persist) {
	w.mu.Lock()
	w.queue = append(w.queue, p)
	w.mu.Unlock()
	signal(w.wake)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (w *writer) run() {
	defer close(w.done)
	for range w.wake {
		w.mu.Lock()
		list := w.queue
		w.queue = nil
		closing := w.closing
		w.mu.Unlock()
		if closing {
			return
		}
		if len(list) == 0 {
			continue
		}
		err := w.store.Write(list)
		w.mu.Lock()
		if err != nil {
			w.failed = err
		} else {
			w.sequence = list[len(list)-1].Sequence
		}
		w.mu.Unlock()
		signal(w.synced)
	}
}

// state returns the sequence of the last durable write, or the error after
// which nothing more becomes durable.
func (w *writer) state() (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sequence, w.failed
}

// close ends the writer. Writes that have not begun are dropped: nobody was
// told that they are durable.
func (w *writer) close() error {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	signal(w.wake)
	<-w.done
	return errors.Wrap(w.store.Close(), "close data directory")
}
