package wire

import (
	"sync"

	"papayarock/core/state"
)

// StateMachine applies encoded log entries to a state.Machine. Read may be called
// concurrently with Apply, Snapshot and Restore.
type StateMachine struct {
	mu      sync.Mutex
	machine *state.Machine
}

// NewStateMachine returns a state machine to which no log entry has been applied.
func NewStateMachine() *StateMachine { return &StateMachine{machine: state.New()} }

// Apply applies one encoded command and returns its state.Result, or an error if the
// command cannot be decoded. An undecodable command leaves the state unchanged on
// every replica, so the replicas do not diverge.
func (m *StateMachine) Apply(index, term uint64, command []byte) any {
	c, err := DecodeCommand(command)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.EnterTerm(term)
	return m.machine.Apply(index, c)
}

// Snapshot returns the encoded state. It encodes outside the lock, so that other
// methods are not blocked meanwhile.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	snapshot := m.machine.Snapshot()
	m.mu.Unlock()
	return EncodeStateSnapshot(snapshot)
}

// Restore replaces the state with an encoded one. If b cannot be decoded, Restore
// returns an error and leaves the state unchanged.
func (m *StateMachine) Restore(b []byte) error {
	snapshot, err := DecodeStateSnapshot(b)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.Restore(snapshot)
	return nil
}

// Read calls f with the state while holding the lock. f must not retain the machine.
func (m *StateMachine) Read(f func(*state.Machine)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.machine)
}
