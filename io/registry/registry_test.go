package registry_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/roster"
	"papayarock/internal/ports"
	"papayarock/io/disk"
	"papayarock/io/link"
	"papayarock/io/registry"
	"papayarock/io/wire"
)

const window = time.Second

// fakeSink records usage reports. Like the platform, it rejects terms below the
// highest one seen.
type fakeSink struct {
	mu      sync.Mutex
	term    uint64
	windows map[int64][]map[fleet.Customer]uint64
	terms   map[uint64]map[string]bool // holders by term
}

func newFakeSink() *fakeSink {
	return &fakeSink{windows: make(map[int64][]map[fleet.Customer]uint64), terms: make(map[uint64]map[string]bool)}
}

func (s *fakeSink) ReportUsage(_ context.Context, holder string, term uint64, w registry.UsageWindow) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term < s.term {
		return registry.ErrSuperseded
	}
	s.term = term
	if s.terms[term] == nil {
		s.terms[term] = make(map[string]bool)
	}
	s.terms[term][holder] = true
	s.windows[w.Number] = append(s.windows[w.Number], w.Counts)
	return nil
}

// group is a registry with several replicas on loopback ports.
type group struct {
	t     *testing.T
	addrs []netip.AddrPort
	dirs  []string
	sink  *fakeSink
	nodes []*node
	disk  *fullDisk // used by replicas that are started later; nil means the host's file system
	disks []disk.FS // of the replicas by number; used instead of disk if not nil
	// centres are the data centres of the replicas, each in a region of its own; may be nil.
	centres []fleet.DataCentre
}

type node struct {
	*registry.Registry
	stop func()
}

func newGroup(t *testing.T, n int, centres ...fleet.DataCentre) *group {
	g := &group{t: t, centres: centres, sink: newFakeSink()}
	for range n {
		g.addrs = append(g.addrs, g.reserve())
		g.dirs = append(g.dirs, t.TempDir())
	}
	g.nodes = make([]*node, n)
	for i := range n {
		g.start(i, true)
	}
	return g
}

// reserve returns a loopback address with a port that no other test process uses.
func (g *group) reserve() netip.AddrPort {
	a, err := ports.Reserve()
	if err != nil {
		g.t.Fatal(err)
	}
	return a
}

func (g *group) start(i int, createLog bool) {
	g.t.Helper()
	links := &link.Pool{}
	var fs disk.FS
	if g.disk != nil {
		fs = g.disk
	}
	if g.disks != nil {
		fs = g.disks[i]
	}
	var centre fleet.DataCentre
	regions := make(map[fleet.DataCentre]fleet.Region)
	for n, c := range g.centres {
		regions[c] = fleet.Region(c)
		if n == i {
			centre = c
		}
	}
	r, err := registry.New(registry.Options{
		FS: fs, DataCentre: centre, Regions: regions,
		Self: g.addrs[i], HostName: g.addrs[i].String(), Seeds: g.addrs[:3], CreateLog: createLog, Voters: 3, DataDir: g.dirs[i], Links: links,
		Log: hclog.NewNullLogger(), UsageSink: g.sink, Window: window, ReportTimeout: 2 * window,
	})
	if err != nil {
		g.t.Fatal(err)
	}
	l, err := (&net.ListenConfig{}).Listen(g.t.Context(), "tcp", g.addrs[i].String())
	if err != nil {
		g.t.Fatal(err)
	}
	s := &link.Server{Listener: l, StopTimeout: 10 * time.Millisecond}
	r.Register(s)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = r.Serve(ctx) })
	wg.Go(func() { _ = s.Serve(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		links.Close()
		wg.Wait()
	})
	g.nodes[i] = &node{r, stop}
	g.t.Cleanup(stop)
}

// put sends a document to the replicas in turn until one accepts it.
func (g *group) put(version uint64, document string) {
	g.t.Helper()
	g.eventually("document accepted", func() bool {
		for _, n := range g.nodes {
			if n != nil && n.PutCatalog(g.t.Context(), version, []byte(document)) == nil {
				return true
			}
		}
		return false
	})
}

// eventually waits until f returns true and fails the test after 30 s.
func (g *group) eventually(what string, f func() bool) {
	g.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	g.t.Fatalf("%s: condition not met within 30 s", what)
}

// hasCatalog reports whether a read from replica i returns the document.
func (g *group) hasCatalog(i int, version uint64, document string) bool {
	v, d, err := g.nodes[i].LatestCatalog(g.t.Context())
	return err == nil && v == version && string(d) == document
}

// Guards against replacing a document by an older one or by another one of the same
// version, against rejecting a document that is sent again, and against reads that
// return a document after a newer one was accepted.
func TestPut(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	_, _, err := g.nodes[0].LatestCatalog(t.Context())
	is.True(err == nil || errors.Is(err, registry.ErrCatalogUnconfirmed))
	g.put(7, "seven")
	for i := range g.nodes {
		g.eventually("read", func() bool { return g.hasCatalog(i, 7, "seven") })
	}
	g.put(7, "another")
	g.put(3, "three")
	g.put(7, "seven")
	g.eventually("read", func() bool { return g.hasCatalog(0, 7, "seven") })
	g.put(9, "nine")
	is.True(!g.hasCatalog(1, 7, "seven"))
	for i := range g.nodes {
		g.eventually("read", func() bool { return g.hasCatalog(i, 9, "nine") })
	}
}

// Guards against losing a document together with the replica that accepted it, and
// against a replica that restarts with an empty data directory and is either not added
// again or still counts as the member that it was before.
func TestEmptyDirectory(t *testing.T) {
	g := newGroup(t, 3)
	g.put(1, "one")
	g.nodes[2].stop()
	g.nodes[2] = nil
	g.put(2, "two")
	g.dirs[2] = t.TempDir()
	g.start(2, false)
	g.eventually("the new directory has the document", func() bool { return g.hasCatalog(2, 2, "two") })
	voters := func(i int) int {
		members, n := g.nodes[i].Members(), 0
		for _, m := range members {
			if !m.Learner {
				n++
			}
		}
		return n
	}
	g.eventually("three voters again", func() bool { return voters(2) == 3 })
	g.nodes[0].stop() // the replica with the new directory is needed for a majority
	g.nodes[0] = nil
	g.put(3, "three")
	g.eventually("read", func() bool { return g.hasCatalog(2, 3, "three") })
}

// Guards against a host that is never added to the log because it was not running when
// the log was created.
func TestJoin(t *testing.T) {
	g := newGroup(t, 3)
	g.put(1, "one")
	g.addrs = append(g.addrs, g.reserve())
	g.dirs = append(g.dirs, t.TempDir())
	g.nodes = append(g.nodes, nil)
	g.start(3, false)
	g.eventually("the additional replica answers reads", func() bool { return g.hasCatalog(3, 1, "one") })
}

// Guards against the loss of an accepted document when all replicas restart at
// once.
func TestRestart(t *testing.T) {
	g := newGroup(t, 3)
	g.put(5, "five")
	for _, n := range g.nodes {
		n.stop()
	}
	for i := range g.nodes {
		g.start(i, false)
	}
	for i := range g.nodes {
		g.eventually("read after the restart", func() bool { return g.hasCatalog(i, 5, "five") })
	}
}

func announcement(sequence uint64, c roster.Condition) roster.Announcement {
	return roster.Announcement{
		Target: "t", Started: time.UnixMilli(1000), Sequence: sequence, Pool: "orders",
		Address: netip.MustParseAddrPort("10.0.0.1:80"), Condition: c,
	}
}

// Guards against feeds that do not deliver a new document or a target's draining or
// leaving, and against sending the same document twice on one feed.
func TestFeed(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	g.put(4, "four")
	g.eventually("applied", func() bool { return g.hasCatalog(0, 4, "four") })
	var pool link.Pool
	t.Cleanup(pool.Close)
	s, err := pool.Open(t.Context(), link.Address{AddrPort: g.addrs[0]}, &wire.FeedOpen{Host: "gateway", Run: 1})
	is.NoErr(err)
	next := func(want func(m *wire.FeedUpdate) bool) {
		t.Helper()
		for {
			var m wire.FeedUpdate
			is.NoErr(s.Receive(&m))
			if want(&m) {
				return
			}
		}
	}
	next(func(m *wire.FeedUpdate) bool { return string(m.GetDocument()) == "four" && m.GetVersion() == 4 })
	is.Equal(g.nodes[0].Announce(announcement(1, roster.Ready)), roster.Changed)
	condition := func(c roster.Condition) func(m *wire.FeedUpdate) bool {
		return func(m *wire.FeedUpdate) bool {
			is.Equal(len(m.GetDocument()), 0) // sent once
			return len(m.GetTargets()) == 1 && m.GetTargets()[0].GetCondition() == uint32(c)
		}
	}
	next(condition(roster.Ready))
	g.nodes[0].Announce(announcement(2, roster.Draining))
	next(condition(roster.Draining))
	g.nodes[0].Announce(roster.Announcement{Target: "t", Condition: roster.Left})
	next(condition(roster.Left))
	g.put(5, "five")
	next(func(m *wire.FeedUpdate) bool { return string(m.GetDocument()) == "five" })
	is.NoErr(s.Close())
}

// Guards against requests to a target whose sign-off was acknowledged by a replica to
// which it has never announced itself: gateways must hear of it, also those that
// connect later.
func TestSignOffReachesGateways(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	g.put(1, "one")
	var pool link.Pool
	t.Cleanup(pool.Close)
	known := make(chan roster.Condition, 100) // conditions of the target at a gateway
	connect := func() {
		var mu sync.Mutex
		var targets roster.Roster
		for i := range g.nodes {
			s, err := pool.Open(t.Context(), link.Address{AddrPort: g.addrs[i]}, &wire.FeedOpen{Host: "gateway", Run: 1})
			is.NoErr(err)
			go func() {
				for {
					var m wire.FeedUpdate
					if s.Receive(&m) != nil {
						return
					}
					mu.Lock()
					for _, target := range m.GetTargets() {
						record, err := wire.DecodeFeedTarget(time.Now(), target)
						if err == nil && targets.Announce(record.Heard, record.Announcement) == roster.Changed {
							r, _ := targets.Get("t")
							known <- r.Condition
						}
					}
					mu.Unlock()
				}
			}()
		}
	}
	await := func(c roster.Condition) {
		t.Helper()
		for timeout := time.After(30 * time.Second); ; {
			select {
			case got := <-known:
				if got == c {
					return
				}
			case <-timeout:
				t.Fatalf("the target is not known as %v within 30 s", c)
			}
		}
	}
	connect()
	g.nodes[0].Announce(announcement(1, roster.Ready))
	await(roster.Ready)
	g.nodes[1].Announce(roster.Announcement{Target: "t", Condition: roster.Left})
	await(roster.Left)
	g.nodes[0].Announce(announcement(2, roster.Ready)) // late, or sent before the target ends
	connect()
	await(roster.Left)
}

// Guards against reporting a usage window twice with different counts or without the
// counts from before a gateway's restart, and against reports of two hosts with the
// same term.
func TestUsage(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	g.put(1, "one")
	number := time.Now().UnixMilli()/window.Milliseconds() + 1
	report := func(run, n uint64) {
		for _, a := range g.addrs {
			var pool link.Pool
			t.Cleanup(pool.Close)
			s, err := pool.Open(t.Context(), link.Address{AddrPort: a}, &wire.FeedOpen{Host: "gateway", Run: run})
			is.NoErr(err)
			m := &wire.FeedReport{Counts: []*wire.FeedCount{{Window: number, Customer: "klang", Count: n}}}
			is.NoErr(s.Send(m))
			go func() { // repeats the report, as a gateway does
				for s.Send(m) == nil {
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}
	}
	report(1, 3)
	report(2, 4) // the gateway has restarted
	reported := func(n int64) []map[fleet.Customer]uint64 {
		g.sink.mu.Lock()
		defer g.sink.mu.Unlock()
		return g.sink.windows[n]
	}
	g.eventually("the window is reported", func() bool { return len(reported(number)) > 0 })
	for _, counts := range reported(number) {
		is.Equal(counts, map[fleet.Customer]uint64{"klang": 7})
	}
	g.sink.mu.Lock()
	defer g.sink.mu.Unlock()
	for _, holders := range g.sink.terms {
		is.Equal(len(holders), 1)
	}
}

// Guards against losing usage counts when all replicas and the gateway that reported
// them stop at once, before the window is final.
func TestUsageSurvivesRestart(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	g.put(1, "one")
	counts := map[fleet.Customer]uint64{"klang": 5}
	// All windows in which the group may commit counts, since that takes longer than a
	// window if the processor is busy.
	var report wire.FeedReport
	first := time.Now().UnixMilli() / window.Milliseconds()
	for number := first; number < first+60; number++ {
		report.Counts = append(report.Counts, &wire.FeedCount{Window: number, Customer: "klang", Count: counts["klang"]})
	}
	var pool link.Pool
	t.Cleanup(pool.Close)
	for i := range g.nodes {
		s, err := pool.Open(t.Context(), link.Address{AddrPort: g.addrs[i]}, &wire.FeedOpen{Host: "gateway", Run: 1})
		is.NoErr(err)
		is.NoErr(s.Send(&report))
	}
	g.eventually("the counts are committed", func() bool {
		return slices.ContainsFunc(g.nodes, func(n *node) bool { return n.Dump().(registry.Dump).Counting > 0 })
	})
	for i := range g.nodes {
		g.nodes[i].stop()
	}
	g.sink.mu.Lock()
	clear(g.sink.windows) // those that were final before
	g.sink.mu.Unlock()
	for i := range g.nodes {
		g.start(i, false)
	}
	g.eventually("a window is reported", func() bool {
		g.sink.mu.Lock()
		defer g.sink.mu.Unlock()
		return len(g.sink.windows) > 0
	})
	g.sink.mu.Lock()
	defer g.sink.mu.Unlock()
	for _, reports := range g.sink.windows {
		is.Equal(reports[0], counts)
	}
}

// fullDisk fails to create and write files with ENOSPC while full is set.
type fullDisk struct {
	disk.OS
	full    atomic.Bool
	partial bool // files can be created, and the first half of each write succeeds
}

func (f *fullDisk) Lock(name string) (io.Closer, error) {
	if _, err := os.Stat(name); err != nil && f.full.Load() {
		return nil, fmt.Errorf("%w: %w", disk.ErrWrite, syscall.ENOSPC)
	}
	return f.OS.Lock(name)
}

func (f *fullDisk) Create(name string) (disk.File, error) {
	if f.full.Load() && !f.partial {
		return nil, syscall.ENOSPC
	}
	file, err := f.OS.Create(name)
	return &fullFile{file, f}, err
}

type fullFile struct {
	disk.File
	disk *fullDisk
}

func (f *fullFile) Write(p []byte) (int, error) {
	if f.disk.full.Load() && f.disk.partial {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, syscall.ENOSPC
	}
	if f.disk.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}

// smallDisk has room for capacity bytes in all files together.
type smallDisk struct {
	disk.OS
	capacity int

	mu    sync.Mutex
	sizes map[string]int // by file name
	peak  int
}

func (d *smallDisk) Create(name string) (disk.File, error) {
	file, err := d.OS.Create(name)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sizes[name] = 0
	return &smallDiskFile{File: file, disk: d, name: name}, err
}

func (d *smallDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sizes[to] = d.sizes[from]
	delete(d.sizes, from)
	return d.OS.Rename(from, to)
}

func (d *smallDisk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.sizes, name)
	return d.OS.Remove(name)
}

type smallDiskFile struct {
	disk.File
	disk *smallDisk
	name string // the file may have been renamed since from this name with a suffix
}

func (f *smallDiskFile) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	name := f.name
	if _, ok := f.disk.sizes[name]; !ok {
		name = strings.TrimSuffix(name, ".tmp")
	}
	used := 0
	for _, n := range f.disk.sizes {
		used += n
	}
	if room := f.disk.capacity - used; len(p) > room {
		n, _ := f.File.Write(p[:max(room, 0)])
		f.disk.sizes[name] += n
		return n, syscall.ENOSPC
	}
	f.disk.sizes[name] += len(p)
	f.disk.peak = max(f.disk.peak, used+len(p))
	return f.File.Write(p)
}

// Guards against replicas that fill their own disks when many large documents arrive in
// quick succession, and then neither accept a change nor return the document.
func TestLargeDocumentsDoNotFillDisks(t *testing.T) {
	is := is.New(t)
	const (
		capacity  = 64 << 20
		documents = 150
		size      = 260_000
	)
	g := &group{t: t, sink: newFakeSink()}
	disks := make([]*smallDisk, 3)
	for i := range disks {
		g.addrs = append(g.addrs, g.reserve())
		g.dirs = append(g.dirs, t.TempDir())
		disks[i] = &smallDisk{capacity: capacity, sizes: make(map[string]int)}
		g.disks = append(g.disks, disks[i])
	}
	g.nodes = make([]*node, 3)
	for i := range g.nodes {
		g.start(i, true)
	}
	var document string
	for version := uint64(1); version <= documents; version++ {
		document = strings.Repeat(strconv.FormatUint(version, 10)+" ", size)[:size]
		g.put(version, document)
	}
	for i := range g.nodes {
		g.eventually("read", func() bool { return g.hasCatalog(i, documents, document) })
	}
	for i, d := range disks {
		d.mu.Lock()
		t.Logf("replica %d: at most %d of %d bytes used", i, d.peak, capacity)
		is.True(d.peak < capacity/2) // leaves room for documents of twice the size
		d.mu.Unlock()
	}
}

// Guards against a replica whose disk was full for a while and that does not catch up
// and vote again within 30 s.
func TestDiskFull(t *testing.T) {
	g := newGroup(t, 3)
	g.put(1, "one")
	g.nodes[2].stop()
	g.disk = &fullDisk{}
	g.start(2, false)
	g.eventually("read", func() bool { return g.hasCatalog(2, 1, "one") })
	g.disk.full.Store(true)
	for v := uint64(2); v < 8; v++ {
		g.put(v, "later")
	}
	g.disk.full.Store(false)
	g.nodes[0].stop() // the replica whose disk was full is needed for a majority
	g.nodes[0] = nil
	g.put(9, "nine")
	g.eventually("read", func() bool { return g.hasCatalog(2, 9, "nine") })
}

// Guards against a replica process that ends at its start because its disk is full, with
// a directory of an earlier run or with a new one.
func TestStartOnFullDisk(t *testing.T) {
	for name, empty := range map[string]bool{"existing directory": false, "empty directory": true} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t, 3)
			g.put(1, "one")
			g.nodes[2].stop()
			if empty {
				g.dirs[2] = t.TempDir()
			}
			full := &fullDisk{}
			full.full.Store(true)
			g.disk = full
			g.start(2, false)
			g.put(2, "two")
			full.full.Store(false)
			g.eventually("read", func() bool { return g.hasCatalog(2, 2, "two") })
		})
	}
}

// Guards against replicas that do not take part again after their disks were full in turn:
// changes were refused or stayed without an answer long after the last disk had room.
func TestDisksFullInTurn(t *testing.T) {
	g := &group{t: t, sink: newFakeSink()}
	var disks []*fullDisk
	for range 3 {
		g.addrs = append(g.addrs, g.reserve())
		g.dirs = append(g.dirs, t.TempDir())
		disks = append(disks, &fullDisk{partial: len(disks) > 0})
		g.disks = append(g.disks, disks[len(disks)-1])
	}
	g.nodes = make([]*node, 3)
	for i := range g.nodes {
		g.start(i, true)
	}
	version := uint64(1)
	g.put(version, "first")
	for i := range disks {
		disks[i].full.Store(true)
		for end := time.Now().Add(time.Second); time.Now().Before(end); {
			version++
			g.put(version, strconv.FormatUint(version, 10))
		}
		disks[i].full.Store(false)
	}
	for i := range g.nodes {
		g.eventually("read", func() bool { return g.hasCatalog(i, version, strconv.FormatUint(version, 10)) })
	}
	for i := range g.nodes { // each pair has to work
		g.nodes[i].stop()
		g.nodes[i] = nil
		version++
		g.put(version, "without one")
		g.start(i, false)
		g.eventually("read", func() bool { return g.hasCatalog(i, version, "without one") })
	}
}
