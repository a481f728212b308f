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

// ErrState is returned for a log entry or snapshot that cannot be decoded.
var ErrState = errors.New("registry state cannot be read")

// Window holds the final request counts of one usage window.
type Window struct {
	Number int64
	Counts map[fleet.Customer]uint64
}

// stateMachine is the replicated state to which the log is applied.
type stateMachine struct {
	mu       sync.Mutex
	version  uint64
	document []byte
	windows  map[int64]map[fleet.Customer]uint64 // final, delivery not yet recorded
	closed   int64                               // newest final window
	progress map[int64]map[source]uint64         // counts of windows that are not final
	changed  chan struct{}                       // closed and replaced when a new catalog is applied
}

func newStateMachine() *stateMachine {
	return &stateMachine{windows: make(map[int64]map[fleet.Customer]uint64), progress: make(map[int64]map[source]uint64), changed: make(chan struct{})}
}

// Apply applies one committed command to the state. It returns nil, or an error
// if the command cannot be decoded.
func (m *stateMachine) Apply(index, _ uint64, command []byte) any {
	var c wire.RegistryCommand
	if err := proto.Unmarshal(command, &c); err != nil {
		// All replicas reject the same bytes, so their states do not diverge.
		return errors.Wrapf(ErrState, "entry %d: %v", index, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch c := c.GetCommand().(type) {
	case *wire.RegistryCommand_Catalog:
		m.applyCatalog(c.Catalog)
	case *wire.RegistryCommand_Close:
		w := c.Close.GetWindow()
		if w > m.closed {
			m.closed = w
			m.windows[w] = decodeCounts(c.Close.GetCounts())
			maps.DeleteFunc(m.progress, func(n int64, _ map[source]uint64) bool { return n <= w })
		}
	case *wire.RegistryCommand_Progress:
		if w := c.Progress.GetWindow(); w > m.closed {
			m.progress[w] = decodeProgress(c.Progress)
		}
	case *wire.RegistryCommand_Sent:
		delete(m.windows, c.Sent.GetWindow())
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
	image := &wire.RegistryImage{
		Catalog: &wire.CatalogPut{Version: m.version, Document: m.document}, ClosedThrough: m.closed,
	}
	for _, n := range slices.Sorted(maps.Keys(m.windows)) {
		image.Windows = append(image.Windows, &wire.WindowClose{Window: n, Counts: encodeCounts(m.windows[n])})
	}
	for _, n := range slices.Sorted(maps.Keys(m.progress)) {
		image.Progress = append(image.Progress, encodeProgress(n, m.progress[n]))
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(image)
	return b, errors.Wrap(err, "encode registry state")
}

// Restore replaces the state by a snapshot, except that an older catalog does
// not replace a newer one during the life of a process.
func (m *stateMachine) Restore(snapshot []byte) error {
	var image wire.RegistryImage
	if err := proto.Unmarshal(snapshot, &image); err != nil {
		return errors.Wrapf(ErrState, "snapshot: %v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyCatalog(image.GetCatalog())
	m.closed = image.GetClosedThrough()
	clear(m.windows)
	for _, w := range image.GetWindows() {
		m.windows[w.GetWindow()] = decodeCounts(w.GetCounts())
	}
	clear(m.progress)
	for _, p := range image.GetProgress() {
		m.progress[p.GetWindow()] = decodeProgress(p)
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

// unsent returns the final windows whose delivery is not recorded, oldest first,
// and the number of the newest final window.
func (m *stateMachine) unsent() (list []Window, closed int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range slices.Sorted(maps.Keys(m.windows)) {
		list = append(list, Window{Number: n, Counts: maps.Clone(m.windows[n])})
	}
	return list, m.closed
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
