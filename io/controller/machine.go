package controller

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/state"
	"papayarock/io/wire"
)

// ErrState reports a log entry or snapshot that this version cannot read. The
// replica stops rather than diverge from the others.
var ErrState = errors.New("replicated state cannot be read")

// machine adapts the state machine to the replicated log and lets other
// goroutines read it.
type machine struct {
	mu      sync.Mutex
	state   *state.Machine
	applied uint64
	changed chan struct{} // closed and replaced with each new revision
	stepped chan struct{} // closed and replaced with each command
	times   [maxTimes]revisionTime
	latest  int // position in times of the newest revision
}

// maxTimes bounds how many revisions are remembered with their times. A change
// is in force within seconds, so only the newest matter.
const maxTimes = 1024

type revisionTime struct {
	revision uint64
	applied  time.Time
}

func newMachine() *machine {
	return &machine{state: state.New(), changed: make(chan struct{}), stepped: make(chan struct{})}
}

// Apply changes the state by one committed command and returns its
// state.Result, or an error if the command cannot be read.
func (m *machine) Apply(index, term uint64, command []byte) any {
	c, err := wire.DecodeCommand(command)
	if err != nil {
		// Every replica refuses the same bytes, so they stay equal.
		return errors.Wrapf(ErrState, "entry %d: %v", index, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.state.Config().Revision
	m.state.EnterTerm(term)
	r := m.state.Apply(index, c)
	m.applied = index
	close(m.stepped)
	m.stepped = make(chan struct{})
	if now := m.state.Config().Revision; now != before {
		m.latest = (m.latest + 1) % maxTimes
		m.times[m.latest] = revisionTime{now, time.Now()}
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return r
}

// Snapshot returns the whole state.
func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return wire.EncodeImage(m.state.Image())
}

// Restore replaces the state. An empty snapshot stands for the first state.
func (m *machine) Restore(snapshot []byte) error {
	image := &state.Image{}
	if len(snapshot) > 0 {
		var err error
		if image, err = wire.DecodeImage(snapshot); err != nil {
			return errors.Wrap(ErrState, err.Error())
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Restore(image)
	close(m.changed)
	m.changed = make(chan struct{})
	close(m.stepped)
	m.stepped = make(chan struct{})
	return nil
}

// config returns the configuration and a channel that is closed once there is
// a newer one.
func (m *machine) config() (*config.Index, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Config(), m.changed
}

// delta returns the changes after revision from, if they are still known.
func (m *machine) delta(from uint64) (config.Delta, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Delta(from)
}

// read calls f with the state, which f must not keep.
func (m *machine) read(f func(s *state.Machine)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.state)
}

// next returns a channel that is closed with the next command.
func (m *machine) next() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stepped
}

// seen returns when this replica applied the first revision that includes the
// given one.
func (m *machine) seen(revision uint64) (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var at time.Time
	for i := range maxTimes {
		t := m.times[(m.latest+maxTimes-i)%maxTimes]
		if t.revision < revision {
			break
		}
		at = t.applied
	}
	return at, !at.IsZero()
}
