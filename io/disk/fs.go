package disk

import (
	"io"
	"os"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// FS is the set of file system operations that a Store uses. Tests substitute
// it to inject faults.
type FS interface {
	MkdirAll(dir string) error          // fails with an ErrWrite or an ErrWrongDirectory
	Names(dir string) ([]string, error) // lists the files in dir
	Open(name string) (io.ReadCloser, error)
	Create(name string) (File, error) // truncates an existing file
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
	// Lock fails if another process holds the lock, or with an ErrWrite or an
	// ErrWrongDirectory if the lock file cannot be created.
	Lock(name string) (io.Closer, error)
}

// File is a file opened for writing.
type File interface {
	io.WriteCloser
	Sync() error
}

// OS implements FS on the operating system's file system.
type OS struct{}

// MkdirAll creates dir and its parents with access for the owner only.
func (OS) MkdirAll(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return createError(err)
	}
	return nil
}

// createError returns an ErrWrongDirectory if err shows that the setting of the data
// directory is wrong, and otherwise an ErrWrite, which may be temporary.
func createError(err error) error {
	for _, wrong := range []error{os.ErrPermission, unix.ENOTDIR, unix.EROFS} {
		if errors.Is(err, wrong) {
			return errors.Wrap(ErrWrongDirectory, err.Error())
		}
	}
	return errors.Wrap(ErrWrite, err.Error())
}

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

// Create creates or truncates a file with access for the owner only.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
}

// Rename renames from to to, replacing an existing file.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes file creations, renames and removals in dir durable.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

// Lock takes an exclusive lock on a file without blocking. The operating system
// releases it when the process exits.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, createError(err)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, errors.Wrapf(err, "lock %s", name)
	}
	return f, nil
}
