package disk

import (
	"io"
	"os"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// FS is the part of a file system that a Store uses. Tests replace it to
// inject faults.
type FS interface {
	MkdirAll(dir string) error
	Names(dir string) ([]string, error) // of the files in dir
	Open(name string) (io.ReadCloser, error)
	Create(name string) (File, error) // truncates an existing file
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
	Lock(name string) (io.Closer, error) // fails when another process holds it
}

// File is a file that is being written.
type File interface {
	io.WriteCloser
	Sync() error
}

// OS is the file system of the machine.
type OS struct{}

// MkdirAll creates dir and its parents, readable by the owner only.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Names returns the names of the files in dir.
func (OS) Names(dir string) ([]string, error) {
	list, err := os.ReadDir(dir)
	var names []string
	for _, e := range list {
		names = append(names, e.Name())
	}
	return names, err
}

// Open opens a file for reading.
func (OS) Open(name string) (io.ReadCloser, error) { return os.Open(name) }

// Create opens an empty file for writing, readable by the owner only.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
}

// Rename replaces to by from.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes renames and removals in dir durable.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

// Lock takes an exclusive lock, which ends with the process.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, errors.Wrapf(err, "lock %s", name)
	}
	return f, nil
}
