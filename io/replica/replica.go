package replica

import (
	"cmp"
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/core/log"
	"papayarock/io/disk"
	"papayarock/io/truetime"
	"papayarock/io/wire"
)

// Errors of a Member. A command that fails with ErrNotLeader or ErrNotCommitted has
// not been committed and never will be. One that fails with ErrUncertain may have been
// committed, or may be later.
var (
	ErrNotLeader    = errors.New("this host is not the leader of the log")
	ErrNotCommitted = errors.New("not committed")
	ErrUncertain    = errors.New("may or may not be committed")
	ErrOptions      = errors.New("invalid replica options")
	ErrStateMachine = errors.New("state machine failed")
)

// NotLeaderError is an ErrNotLeader that names the leader.
type NotLeaderError struct {
	Leader fleet.Host // empty if not known
}

// Error returns the message, with the leader's name if it is known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return ErrNotLeader.Error() + "; no leader is known"
	}
	return ErrNotLeader.Error() + "; the leader is " + string(e.Leader)
}

// Is makes errors.Is(err, ErrNotLeader) return true.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotLeader }

// StateMachine applies the commands of the log. The Member calls it from one goroutine.
// It must be deterministic: the same commands in the same order must lead to the same
// state.
type StateMachine interface {
	Apply(index, term uint64, command []byte) any // the result is returned by Propose
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error // an empty snapshot resets the state
}

// Transport sends messages to other members. Send must not block for long and may
// drop messages.
type Transport interface {
	Send(to fleet.Host, encoded *wire.LogMessage)
}

// Options configures a Member. The durations must be the same on all members, since a
// leader computes the end of its lease from its own Lease, and each voter waits for its
// own.
type Options struct {
	Self          fleet.Host
	InitialVoters []fleet.Host // initial voters of a new log; empty on a host that joins as a learner
	DataDir       string
	FS            disk.FS // nil means the file system of the host
	StateMachine  StateMachine
	Transport     Transport
	Log           hclog.Logger
	Clock         Clock

	Lease         time.Duration // zero means log.DefaultLease
	Heartbeat     time.Duration // zero means log.DefaultHeartbeat
	LongestAction time.Duration // zero means log.DefaultLongestAction

	SnapshotEntries uint64 // applied entries between snapshots; zero means DefaultSnapshotEntries
	SnapshotBytes   uint64 // bytes written to the log between snapshots; zero means DefaultSnapshotBytes
	RetainBytes     int    // bytes of entries kept below a snapshot; zero means log.DefaultRetainBytes
}

// Clock is the time of a host. The zero value is that of the host of this process.
type Clock struct {
	Now       func() time.Time     // stands still while the host is suspended; nil means time.Now
	Suspended func() time.Duration // total time for which the host has been suspended; nil means that of truetime.Suspension
}

// now returns the time by which leases and elections are measured. It includes the time
// for which the host was suspended: a leader that counted its lease without it would
// still rely on the lease after the other members have elected another leader.
func (c Clock) now() time.Time { return c.Now().Add(c.Suspended()) }

// Defaults for zero fields of Options.
const (
	DefaultSnapshotEntries = 10_000
	DefaultSnapshotBytes   = 16 << 20
)

// Bounds of the queues of the event loop.
const (
	maxQueuedMessages = 1024
	maxQueuedRequests = 1024
	maxBatch          = 512 // requests processed before other events get their turn
)

// Member is one member of the group of hosts that replicate a log. It is created by New.
type Member struct {
	o               Options
	messages        chan log.Message
	requests        chan *request
	nextID          atomic.Uint64
	lease           atomic.Pointer[log.Lease] // as published by the event loop
	droppedMessages atomic.Uint64             // messages dropped because the queue was full

	mu     sync.Mutex     // guards node and calls of its methods
	node   *log.Node      // nil while Serve is not running
	opened *openDirectory // opened by New, taken over by the first Serve
}

// openDirectory is an open data directory with its stored content.
type openDirectory struct {
	store    *disk.Store
	identity log.DirectoryID
	stored   log.Stored
}

// New opens the data directory and returns a member that is not yet running. If the
// directory cannot be written to, for example because the disk is full, Serve opens it
// again.
func New(o Options) (*Member, error) {
	if o.Self == "" || o.DataDir == "" || o.StateMachine == nil || o.Transport == nil {
		return nil, errors.Wrap(ErrOptions, "host, data directory, state machine and transport are required")
	}
	o.Log = cmp.Or[hclog.Logger](o.Log, hclog.NewNullLogger())
	if o.Clock.Now == nil {
		o.Clock.Now = time.Now
	}
	if o.Clock.Suspended == nil {
		o.Clock.Suspended = new(truetime.Suspension).Total
	}
	o.Lease = cmp.Or(o.Lease, log.DefaultLease)
	o.Heartbeat = cmp.Or(o.Heartbeat, log.DefaultHeartbeat)
	o.LongestAction = cmp.Or(o.LongestAction, log.DefaultLongestAction)
	o.SnapshotEntries = cmp.Or(o.SnapshotEntries, DefaultSnapshotEntries)
	o.SnapshotBytes = cmp.Or(o.SnapshotBytes, DefaultSnapshotBytes)
	// At least four heartbeats must fit into a lease, so that a few lost ones do not
	// end it.
	if o.Heartbeat*4 > o.Lease {
		return nil, errors.Wrapf(ErrOptions, "heartbeat %v exceeds a quarter of lease %v", o.Heartbeat, o.Lease)
	}
	m := &Member{
		o:        o,
		messages: make(chan log.Message, maxQueuedMessages),
		requests: make(chan *request, maxQueuedRequests),
	}
	// Request ids start at a random number. A follower sends its reads to the leader
	// under these ids, and must not take a late reply to a read of an earlier run for
	// the reply to a read of this run.
	m.nextID.Store(randomUint64())
	m.lease.Store(&log.Lease{})
	var err error
	m.opened, err = m.open()
	if errors.Is(err, disk.ErrWrite) {
		m.o.Log.Error("data directory cannot be written to, it is opened again later", "data", o.DataDir, "error", err)
		return m, nil
	}
	return m, err
}

func randomUint64() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // crypto/rand.Read never fails
	return binary.LittleEndian.Uint64(b[:])
}

// open opens the data directory and restores the state machine from the stored snapshot.
func (m *Member) open() (*openDirectory, error) {
	// The lowest bit of a new identity is set because zero means an unknown one.
	store, id, stored, err := disk.Open(disk.Options{
		FS: m.o.FS, Dir: m.o.DataDir, Host: m.o.Self, Identity: log.DirectoryID(randomUint64() | 1),
		Members: log.NewMembership(m.o.InitialVoters...),
	})
	if err != nil {
		return nil, errors.Wrapf(err, "replica %s", m.o.Self)
	}
	if err := m.o.StateMachine.Restore(stored.Snapshot.Data); err != nil {
		_ = store.Close()
		return nil, errors.Wrapf(ErrStateMachine, "restore snapshot %d: %v", stored.Snapshot.Index, err)
	}
	return &openDirectory{store, id, stored}, nil
}

// Close closes the data directory of a Member whose Serve was never called.
func (m *Member) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.opened == nil {
		return nil
	}
	d := m.opened
	m.opened = nil
	return d.store.Close()
}

// Serve runs the member until ctx ends, or until its storage or state machine fails. It
// may be called again after it has returned.
func (m *Member) Serve(ctx context.Context) error {
	m.mu.Lock()
	d := m.opened
	m.opened = nil
	m.mu.Unlock()
	if d == nil {
		var err error
		if d, err = m.open(); err != nil {
			return err
		}
	}
	node := log.New(m.o.Clock.now(), log.Options{
		Self: m.o.Self, Identity: d.identity, Stored: d.stored,
		Random: rand.New(rand.NewPCG(randomUint64(), randomUint64())),
		Lease:  m.o.Lease, Heartbeat: m.o.Heartbeat, LongestAction: m.o.LongestAction, RetainBytes: m.o.RetainBytes,
	})
	m.mu.Lock()
	m.node = node
	m.mu.Unlock()
	l := &loop{
		Member: m, node: node, writer: newWriter(d.store),
		appliedIndex: d.stored.Snapshot.Index, snapshotIndex: d.stored.Snapshot.Index,
		logBytes: entryBytes(d.stored.Entries), pending: make(map[uint64]*request),
	}
	return l.run(ctx)
}

// Deliver queues a message from another member for the node. It never blocks; if
// the queue is full, the message is dropped.
func (m *Member) Deliver(from fleet.Host, encoded *wire.LogMessage) {
	message, err := wire.DecodeLogMessage(encoded)
	if err != nil || message.From != from || message.To != m.o.Self {
		m.o.Log.Warn("message from another member refused", "from", from, "claimed", encoded.GetFrom(), "to", encoded.GetTo(), "error", err)
		return
	}
	select {
	case m.messages <- message:
	default:
		m.droppedMessages.Add(1)
	}
}

// Lease returns the term of this member, the end of its lease, and whether it may begin
// an external action now, which is an effect outside the replicated state. The action
// must end before expires, which is a time of Clock.Now and valid until the host is
// suspended.
func (m *Member) Lease() (term uint64, expires time.Time, held bool) {
	l := m.lease.Load()
	suspended := m.o.Clock.Suspended()
	if !l.Expires.IsZero() {
		expires = l.Expires.Add(-suspended)
	}
	return l.Term, expires, l.Held(m.o.Clock.Now().Add(suspended))
}

// Dump is a copy of the state of a Member, for diagnosis.
type Dump struct {
	Running         bool
	Status          log.Status
	DroppedMessages uint64 // dropped because the queue was full
	QueuedMessages  int
	QueuedRequests  int
}

// Dump returns the state of the member, of type Dump.
func (m *Member) Dump() any {
	d := Dump{DroppedMessages: m.droppedMessages.Load(), QueuedMessages: len(m.messages), QueuedRequests: len(m.requests)}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.node != nil {
		d.Running, d.Status = true, m.node.Status()
	}
	return d
}
