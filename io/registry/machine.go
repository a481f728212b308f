package registry

import (
	"maps"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"papayarock/core/fleet"
	"papayarock/io/wire"
)

// ErrInvalidState is returned for a log entry or a snapshot of the registry's state that
// cannot be decoded.
var ErrInvalidState = errors.New("registry state cannot be read")

// UsageWindow holds the final request counts of one usage window.
type UsageWindow struct {
	Number int64
	Counts map[fleet.Customer]uint64
}

// stateMachine is the state that the replicated log determines: the newest catalog
// and the counts of usage windows.
type stateMachine struct {
	mu            sync.Mutex
	version       uint64
	document      []byte
	unsentWindows map[int64]map[fleet.Customer]uint64 // final windows not recorded as reported
	newestFinal   int64                               // number of the newest final window
	openCounts    map[int64]map[countKey]uint64       // committed counts of open windows
	changed       chan struct{}                       // closed and replaced when a new catalog is applied
}

func newStateMachine() *stateMachine {
	return &stateMachine{unsentWindows: make(map[int64]map[fleet.Customer]uint64), openCounts: make(map[int64]map[countKey]uint64), changed: make(chan struct{})}
}

// Apply applies one committed command to the state. It returns nil, or an error
// if the command cannot be decoded.
func (m *stateMachine) Apply(index, _ uint64, command []byte) any {
	var c wire.RegistryCommand
	if err := proto.Unmarshal(command, &c); err != nil {
		// The entry is skipped. All replicas reject the same bytes, so their states
		// do not diverge.
		return errors.Wrapf(ErrInvalidState, "entry %d: %v", index, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch c := c.GetCommand().(type) {
	case *wire.RegistryCommand_Catalog:
		m.applyCatalog(c.Catalog)
	case *wire.RegistryCommand_Close:
		w := c.Close.GetWindow()
		if w > m.newestFinal {
			m.newestFinal = w
			m.unsentWindows[w] = decodeCounts(c.Close.GetCounts())
			maps.DeleteFunc(m.openCounts, func(n int64, _ map[countKey]uint64) bool { return n <= w })
		}
	case *wire.RegistryCommand_Progress:
		if w := c.Progress.GetWindow(); w > m.newestFinal {
			m.openCounts[w] = decodeProgress(c.Progress)
		}
	case *wire.RegistryCommand_Sent:
		delete(m.unsentWindows, c.Sent.GetWindow())
	}
	return nil
}

func (m *stateMachine) applyCatalog(p *wire.CatalogPut) {
	if p.GetVersion() <= m.version {
		return
	}
	m.version, m.document = p.GetVersion(), p.GetDocument()
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot encodes the state.
func (m *stateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	snapshot := &wire.RegistryImage{
		Catalog: &wire.CatalogPut{Version: m.version, Document: m.document}, ClosedThrough: m.newestFinal,
	}
	for _, n := range slices.Sorted(maps.Keys(m.unsentWindows)) {
		snapshot.Windows = append(snapshot.Windows, &wire.WindowClose{Window: n, Counts: encodeCounts(m.unsentWindows[n])})
	}
	for _, n := range slices.Sorted(maps.Keys(m.openCounts)) {
		snapshot.Progress = append(snapshot.Progress, encodeProgress(n, m.openCounts[n]))
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return b, errors.Wrap(err, "encode registry state")
}

// Restore replaces the state by a snapshot. A catalog in memory that is newer than
// the one in the snapshot is kept, so that the version does not decrease while the
// process runs.
func (m *stateMachine) Restore(snapshot []byte) error {
	var state wire.RegistryImage
	if err := proto.Unmarshal(snapshot, &state); err != nil {
		return errors.Wrapf(ErrInvalidState, "snapshot: %v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyCatalog(state.GetCatalog())
	m.newestFinal = state.GetClosedThrough()
	clear(m.unsentWindows)
	for _, w := range state.GetWindows() {
		m.unsentWindows[w.GetWindow()] = decodeCounts(w.GetCounts())
	}
	clear(m.openCounts)
	for _, p := range state.GetProgress() {
		m.openCounts[p.GetWindow()] = decodeProgress(p)
	}
	return nil
}

// catalog returns the newest catalog and a channel that is closed when a newer
// one is applied.
func (m *stateMachine) catalog() (version uint64, document []byte, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version, m.document, m.changed
}

// unsent returns the final windows that are not recorded as reported, oldest first,
// and the number of the newest final window.
func (m *stateMachine) unsent() (list []UsageWindow, newestFinal int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range slices.Sorted(maps.Keys(m.unsentWindows)) {
		list = append(list, UsageWindow{Number: n, Counts: maps.Clone(m.unsentWindows[n])})
	}
	return list, m.newestFinal
}

func encodeCounts(counts map[fleet.Customer]uint64) map[string]uint64 {
	out := make(map[string]uint64, len(counts))
	for c, n := range counts {
		out[string(c)] = n
	}
	return out
}

func decodeCounts(counts map[string]uint64) map[fleet.Customer]uint64 {
	out := make(map[fleet.Customer]uint64, len(counts))
	for c, n := range counts {
		out[fleet.Customer(c)] = n
	}
	return out
}
