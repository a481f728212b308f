package registry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"papayarock/core/fleet"
	"papayarock/core/roster"
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

// signOff is the announcement with which a run of a target leaves, and the time of day at
// the leader when it was committed.
type signOff struct {
	roster.Announcement
	committed time.Time
}

// stateMachine is the state that the replicated log determines: the newest catalog, the
// counts of usage windows, and the targets that have left.
type stateMachine struct {
	mu            sync.Mutex
	version       uint64
	document      []byte
	unsentWindows map[int64]map[fleet.Customer]uint64 // final windows not recorded as reported
	newestFinal   int64                               // number of the newest final window
	openCounts    map[int64]map[countKey]uint64       // committed counts of open windows
	changed       chan struct{}                       // closed and replaced when a new catalog is applied
	signOffs      map[fleet.TargetName]signOff
	onSignOff     func(roster.Announcement) // receives each sign-off that is applied; set before the first call; may be nil
}

func newStateMachine() *stateMachine {
	return &stateMachine{
		unsentWindows: make(map[int64]map[fleet.Customer]uint64), openCounts: make(map[int64]map[countKey]uint64),
		changed: make(chan struct{}), signOffs: make(map[fleet.TargetName]signOff),
	}
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
	if s := c.GetSignOff(); s != nil {
		return m.applySignOff(index, s)
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

// applySignOff records that a run of a target leaves. An earlier run, or one that is known to
// have ended when this one drains, does not replace it.
func (m *stateMachine) applySignOff(index uint64, command *wire.TargetSignOff) any {
	next, err := decodeSignOff(command)
	if err != nil {
		return errors.Wrapf(err, "entry %d", index)
	}
	m.mu.Lock()
	if !m.signOffs[next.Target].covers(next.Announcement) {
		m.signOffs[next.Target] = next
	}
	m.expireSignOffs()
	m.mu.Unlock()
	if m.onSignOff != nil {
		m.onSignOff(next.Announcement)
	}
	return nil
}

// covers reports whether a sign-off implies that the run in a leaves as well.
func (s signOff) covers(a roster.Announcement) bool {
	return s.Target == a.Target && (s.Started.After(a.Started) || s.Started.Equal(a.Started) && s.Condition >= a.Condition)
}

// hasSignOff reports whether the log holds that the run of a target in a leaves.
func (m *stateMachine) hasSignOff(a roster.Announcement) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.signOffs[a.Target].covers(a)
}

// expireSignOffs drops the sign-offs that are older than the newest one by targetRetention.
// The clock of a replica must not decide, since all have to come to the same state. The
// caller holds mu.
func (m *stateMachine) expireSignOffs() {
	var newest time.Time
	for _, s := range m.signOffs {
		if s.committed.After(newest) {
			newest = s.committed
		}
	}
	maps.DeleteFunc(m.signOffs, func(_ fleet.TargetName, s signOff) bool { return newest.Sub(s.committed) > targetRetention })
}

func decodeSignOff(m *wire.TargetSignOff) (signOff, error) {
	a, committed, err := wire.DecodeTargetSignOff(m)
	if err != nil {
		return signOff{}, errors.Wrapf(ErrInvalidState, "sign-off: %v", err)
	}
	return signOff{a, committed}, nil
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
	for _, t := range slices.Sorted(maps.Keys(m.signOffs)) {
		snapshot.SignOffs = append(snapshot.SignOffs, wire.EncodeTargetSignOff(m.signOffs[t].committed, m.signOffs[t].Announcement))
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
	signOffs := make(map[fleet.TargetName]signOff, len(state.GetSignOffs()))
	for _, text := range state.GetSignOffs() {
		s, err := decodeSignOff(text)
		if err != nil {
			return errors.Wrap(err, "snapshot")
		}
		signOffs[s.Target] = s
	}
	m.restore(&state, signOffs)
	if m.onSignOff != nil {
		for _, s := range signOffs {
			m.onSignOff(s.Announcement)
		}
	}
	return nil
}

func (m *stateMachine) restore(state *wire.RegistryImage, signOffs map[fleet.TargetName]signOff) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.signOffs = signOffs
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
