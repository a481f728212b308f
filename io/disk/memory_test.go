package disk_test

import (
	"bytes"
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"

	"papayarock/io/disk"
)

var errInjected = errors.New("injected fault")

// memFS is an in-memory file system that loses unsynced data in a simulated
// crash.
type memFS struct {
	mu            sync.Mutex
	names         map[string]*content // visible to the running process
	durable       map[string]*content // present after a crash
	locked        map[string]bool
	writableBytes int // bytes that can still be written before writes fail; -1 means no limit
	capacity      int // bytes of all files together; 0 means no limit
	failSync      bool
	failSyncDir   bool
	syncs         int // number of calls of Sync
}

// content is the content of a file, with the part that survives a crash.
type content struct {
	data   []byte
	synced []byte
}

func newMemFS() *memFS {
	return &memFS{names: map[string]*content{}, durable: map[string]*content{}, locked: map[string]bool{}, writableBytes: -1}
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) Names(string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.names {
		names = append(names, filepath.Base(name))
	}
	return names, nil
}

func (m *memFS) Open(name string) (io.ReadCloser, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.names[name]
	if c == nil {
		return nil, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(bytes.Clone(c.data))), nil
}

func (m *memFS) Create(name string) (disk.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &content{}
	m.names[name] = c
	return &file{m, c}, nil
}

func (m *memFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

// afterKill returns the file system as it is after the process was killed while
// the host kept running, so unsynced data remains visible.
func (m *memFS) afterKill() *memFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &memFS{names: maps.Clone(m.names), durable: m.durable, locked: map[string]bool{}, writableBytes: -1}
}

func (m *memFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.names[name] == nil {
		return fs.ErrNotExist
	}
	delete(m.names, name)
	return nil
}

func (m *memFS) SyncDir(string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failSyncDir {
		return errInjected
	}
	m.durable = make(map[string]*content)
	for name, c := range m.names {
		m.durable[name] = c
	}
	return nil
}

func (m *memFS) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locked[name] {
		return nil, errInjected
	}
	m.locked[name] = true
	return closer(func() { delete(m.locked, name) }), nil
}

type closer func()

func (c closer) Close() error { c(); return nil }

type file struct {
	fs      *memFS
	content *content
}

func (f *file) Write(b []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	n := len(b)
	if f.fs.writableBytes >= 0 {
		n = min(n, f.fs.writableBytes)
		f.fs.writableBytes -= n
	}
	if f.fs.capacity > 0 {
		n = min(n, max(0, f.fs.capacity-f.fs.used()))
	}
	f.content.data = append(f.content.data, b[:n]...)
	if n < len(b) {
		return n, errInjected
	}
	return n, nil
}

// used returns the size of all files. The caller holds mu.
func (m *memFS) used() int {
	sum := 0
	for _, c := range m.names {
		sum += len(c.data)
	}
	return sum
}

func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	f.fs.syncs++
	if f.fs.failSync {
		return errInjected
	}
	f.content.synced = bytes.Clone(f.content.data)
	return nil
}

func (f *file) Close() error { return nil }

// afterCrash returns the file system as it is after a crash of the host: durable
// names, synced content, and the part of the unsynced content that tear returns.
func (m *memFS) afterCrash(tear func(rest []byte) []byte) *memFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	after := newMemFS()
	for name, c := range m.durable {
		data := bytes.Clone(c.synced)
		if len(c.data) > len(data) {
			data = append(data, tear(bytes.Clone(c.data[len(data):]))...)
		}
		kept := &content{data: data, synced: bytes.Clone(data)}
		after.names[name], after.durable[name] = kept, kept
	}
	return after
}

// find returns the content of a file whose name starts with prefix.
func (m *memFS) find(prefix string) *content {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, c := range m.names {
		if ok, _ := filepath.Match(prefix+"*", filepath.Base(name)); ok {
			return c
		}
	}
	return nil
}
