package wire

import (
	"sync"

	"papayarock/core/state"
)

// Replicated applies encoded log entries to a state machine. Apply, Snapshot
// and Restore may run concurrently with Read.
type Replicated struct {
	mu      sync.Mutex
	machine *state.Machine
}

// NewReplicated returns the state before the first log entry.
func NewReplicated() *Replicated { return &Replicated{machine: state.New()} }

// Apply returns the state.Result of a command, or an error when the entry
// cannot be decoded. Such an entry changes nothing, on every replica alike.
func (r *Replicated) Apply(index, term uint64, command []byte) any {
	c, err := DecodeCommand(command)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.EnterTerm(term)
	return r.machine.Apply(index, c)
}

// Snapshot returns the encoded state. Encoding runs outside the lock.
func (r *Replicated) Snapshot() ([]byte, error) {
	r.mu.Lock()
	i := r.machine.Snapshot()
	r.mu.Unlock()
	return EncodeImage(i)
}

// Restore replaces the state by an encoded one. Damaged bytes change nothing.
func (r *Replicated) Restore(b []byte) error {
	i, err := DecodeImage(b)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.Restore(i)
	return nil
}

// Read runs f on the state. f must not keep the machine.
func (r *Replicated) Read(f func(*state.Machine)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.machine)
}
