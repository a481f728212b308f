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

// memory is a file system that loses what is not synced.
type memory struct {
	mu       sync.Mutex
	names    map[string]*content // as the running process sees them
	durable  map[string]*content // as a crash leaves them
	locked   map[string]bool
	room     int // bytes that may still be written; -1 means no limit
	failSync bool
	failDir  bool
	syncs    int
}

type content struct {
	data   []byte
	synced []byte
}

func newMemory() *memory {
	return &memory{names: map[string]*content{}, durable: map[string]*content{}, locked: map[string]bool{}, room: -1}
}

func (m *memory) MkdirAll(string) error { return nil }

func (m *memory) Names(string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.names {
		names = append(names, filepath.Base(name))
	}
	return names, nil
}

func (m *memory) Open(name string) (io.ReadCloser, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.names[name]
	if c == nil {
		return nil, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(bytes.Clone(c.data))), nil
}

func (m *memory) Create(name string) (disk.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &content{}
	m.names[name] = c
	return &file{m, c}, nil
}

func (m *memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

// kill returns the directory as the end of the process leaves it, while the
// host goes on.
func (m *memory) kill() *memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &memory{names: maps.Clone(m.names), durable: m.durable, locked: map[string]bool{}, room: -1}
}

func (m *memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.names[name] == nil {
		return fs.ErrNotExist
	}
	delete(m.names, name)
	return nil
}

func (m *memory) SyncDir(string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failDir {
		return errInjected
	}
	m.durable = make(map[string]*content)
	for name, c := range m.names {
		m.durable[name] = c
	}
	return nil
}

func (m *memory) Lock(name string) (io.Closer, error) {
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
	m *memory
	c *content
}

func (f *file) Write(b []byte) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	n := len(b)
	if f.m.room >= 0 {
		n = min(n, f.m.room)
		f.m.room -= n
	}
	f.c.data = append(f.c.data, b[:n]...)
	if n < len(b) {
		return n, errInjected
	}
	return n, nil
}

func (f *file) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	f.m.syncs++
	if f.m.failSync {
		return errInjected
	}
	f.c.synced = bytes.Clone(f.c.data)
	return nil
}

func (f *file) Close() error { return nil }

// crash returns what a crash leaves: durable names, synced content, and of the
// rest of a file the part that tear keeps.
func (m *memory) crash(tear func(rest []byte) []byte) *memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	after := newMemory()
	for name, c := range m.durable {
		data := bytes.Clone(c.synced)
		if len(c.data) > len(data) {
			data = append(data, tear(bytes.Clone(c.data[len(data):]))...)
		}
		x := &content{data: data, synced: bytes.Clone(data)}
		after.names[name], after.durable[name] = x, x
	}
	return after
}

// find returns the content of the file whose name starts with prefix.
func (m *memory) find(prefix string) *content {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, c := range m.names {
		if ok, _ := filepath.Match(prefix+"*", filepath.Base(name)); ok {
			return c
		}
	}
	return nil
}
