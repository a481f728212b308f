package controller

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/state"
	"papayarock/io/wire"
)

// ErrInvalidState reports a log entry or snapshot that this version cannot decode. The
// replica skips such an entry; with such a snapshot it stops.
var ErrInvalidState = errors.New("replicated state cannot be read")

// machine adapts the state machine to the replicated log and lets other
// goroutines read it.
type machine struct {
	mu              sync.Mutex
	state           *state.Machine
	applied         uint64
	revisionChanged chan struct{}                  // closed and replaced with each new revision
	commandApplied  chan struct{}                  // closed and replaced with each command
	revisionTimes   [maxRevisionTimes]revisionTime // ring buffer
	latest          int                            // index in revisionTimes of the latest revision
}

// maxRevisionTimes is the number of revisions whose time of application is kept. A
// change is in force within seconds, so only the latest ones matter.
const maxRevisionTimes = 1024

type revisionTime struct {
	revision uint64
	applied  time.Time
}

func newMachine() *machine {
	return &machine{state: state.New(), revisionChanged: make(chan struct{}), commandApplied: make(chan struct{})}
}

// Apply applies one committed command and returns its state.Result, or an error if
// the command cannot be decoded.
func (m *machine) Apply(index, term uint64, command []byte) any {
	c, err := wire.DecodeCommand(command)
	if err != nil {
		// Every replica rejects the same bytes, so the replicas do not diverge.
		return errors.Wrapf(ErrInvalidState, "entry %d: %v", index, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.state.Config().Revision
	m.state.EnterTerm(term)
	r := m.state.Apply(index, c)
	m.applied = index
	close(m.commandApplied)
	m.commandApplied = make(chan struct{})
	if now := m.state.Config().Revision; now != before {
		m.latest = (m.latest + 1) % maxRevisionTimes
		m.revisionTimes[m.latest] = revisionTime{now, time.Now()}
		close(m.revisionChanged)
		m.revisionChanged = make(chan struct{})
	}
	return r
}

// Snapshot returns the encoded state.
func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return wire.EncodeStateSnapshot(m.state.Snapshot())
}

// Restore replaces the state. An empty snapshot means the initial state.
func (m *machine) Restore(snapshot []byte) error {
	decoded := &state.Snapshot{}
	if len(snapshot) > 0 {
		var err error
		if decoded, err = wire.DecodeStateSnapshot(snapshot); err != nil {
			return errors.Wrap(ErrInvalidState, err.Error())
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Restore(decoded)
	close(m.revisionChanged)
	m.revisionChanged = make(chan struct{})
	close(m.commandApplied)
	m.commandApplied = make(chan struct{})
	return nil
}

// config returns the configuration and a channel that is closed with the next
// revision.
func (m *machine) config() (*config.Index, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Config(), m.revisionChanged
}

// delta returns the changes after revision from, if they are still available.
func (m *machine) delta(from uint64) (config.Delta, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Delta(from)
}

// read calls f with the state. f must not retain it.
func (m *machine) read(f func(s *state.Machine)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.state)
}

// nextCommand returns a channel that is closed when the next command is applied.
func (m *machine) nextCommand() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.commandApplied
}

// appliedAt returns when this replica applied the first revision that includes the
// given one.
func (m *machine) appliedAt(revision uint64) (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var at time.Time
	for i := range maxRevisionTimes {
		t := m.revisionTimes[(m.latest+maxRevisionTimes-i)%maxRevisionTimes]
		if t.revision < revision {
			break
		}
		at = t.applied
	}
	return at, !at.IsZero()
}
