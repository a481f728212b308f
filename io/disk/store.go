package disk

import (
	"fmt"
	"io"
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"papayarock/core/fleet"
	"papayarock/core/log"
	"papayarock/io/wire"
)

// Errors of a Store.
var (
	ErrDamaged = errors.New("data directory is damaged")
	ErrForeign = errors.New("data directory belongs to another host")
	ErrLocked  = errors.New("data directory is in use by another process")
	ErrWrite   = errors.New("write to data directory failed")
)

// Options configure a Store.
type Options struct {
	FS       FS // nil means OS
	Dir      string
	Host     fleet.Host
	Identity log.Identity   // given to a new directory; not zero
	Members  log.Membership // of a new group; empty for a host that joins later
}

// Store is an open data directory. Its methods are not safe for concurrent use.
type Store struct {
	fs       FS
	dir      string
	lock     io.Closer
	file     File   // the write-ahead log
	number   uint64 // of the write-ahead log
	size     uint64 // bytes written to file
	synced   uint64 // bytes of file known to be durable
	snapshot uint64 // index of the current snapshot; 0 for none
	hard     log.HardState
	buf      []byte
	failed   error
}

const (
	lockName       = "lock"
	identityName   = "identity"
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	temporary      = ".tmp"
)

func numbered(prefix string, n uint64) string { return fmt.Sprintf("%s%016x", prefix, n) }

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// Write makes writes durable in order, with as few syncs as possible. After an
// error the Store refuses further writes: what the directory holds is known
// again only after the next Open.
func (s *Store) Write(list []log.Persist) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.write(list); err != nil {
		s.failed = errors.Wrapf(ErrWrite, "%s: %v", s.dir, err)
	}
	return s.failed
}

func (s *Store) write(list []log.Persist) error {
	s.buf = s.buf[:0]
	for _, p := range list {
		if p.Hard != nil {
			s.hard = *p.Hard
		}
		if p.Snapshot != nil {
			// The new file replaces whatever the writes before it say.
			s.buf = s.buf[:0]
			if err := s.rewrite(*p.Snapshot, p.Entries); err != nil {
				return err
			}
			continue
		}
		var err error
		if s.buf, err = s.encode(s.buf, s.size, s.synced, p.Hard, p.Entries); err != nil {
			return err
		}
	}
	if len(s.buf) == 0 {
		return nil
	}
	if err := s.append(s.buf); err != nil {
		return err
	}
	if err := s.file.Sync(); err != nil {
		return errors.Wrap(err, "sync")
	}
	s.synced = s.size
	return s.mark()
}

func (s *Store) append(b []byte) error {
	if _, err := s.file.Write(b); err != nil {
		return err
	}
	s.size += uint64(len(b))
	return nil
}

// mark notes in the file that everything before is synced, so that damage to
// the last records is not taken for a torn tail. The mark itself need not be
// durable.
func (s *Store) mark() error {
	b, err := appendRecord(nil, s.number, s.size, s.synced, &wire.LogRecord{})
	if err != nil {
		return err
	}
	return s.append(b)
}

// encode adds records for a hard state and entries to buf, which starts at
// offset base of the file.
func (s *Store) encode(buf []byte, base, synced uint64, hard *log.HardState, entries []log.Entry) ([]byte, error) {
	r := &wire.LogRecord{}
	if hard != nil {
		r.Hard = &wire.LogHardState{Term: hard.Term, Vote: string(hard.Vote)}
	}
	size := 0
	for _, e := range wire.EncodeLogEntries(entries) {
		n := proto.Size(e)
		if size+n > splitBytes && size > 0 {
			var err error
			if buf, err = appendRecord(buf, s.number, base, synced, r); err != nil {
				return nil, err
			}
			r, size = &wire.LogRecord{}, 0
		}
		r.Entries = append(r.Entries, e)
		size += n
	}
	return appendRecord(buf, s.number, base, synced, r)
}

// rewrite replaces the snapshot and the write-ahead log.
func (s *Store) rewrite(snapshot log.Snapshot, entries []log.Entry) error {
	old := s.snapshot
	if snapshot.Index != s.snapshot {
		if err := s.writeSnapshot(snapshot); err != nil {
			return err
		}
		s.snapshot = snapshot.Index
	}
	before := s.number
	if err := s.newLog(entries); err != nil {
		return err
	}
	if err := s.fs.Remove(s.path(numbered(logPrefix, before))); err != nil {
		return errors.Wrap(err, "remove old log")
	}
	if old != 0 && old != s.snapshot {
		return errors.Wrap(s.fs.Remove(s.path(numbered(snapshotPrefix, old))), "remove old snapshot")
	}
	return nil
}

// newLog starts the next write-ahead log with entries.
func (s *Store) newLog(entries []log.Entry) error {
	if s.file != nil {
		// Everything of value is in the new file.
		_ = s.file.Close()
		s.file = nil
	}
	s.number++
	buf, err := s.encodeLog(entries, 0)
	if err != nil {
		return err
	}
	// Every record of the first write names its whole length as synced: the
	// file gets its name only after the sync.
	if buf, err = s.encodeLog(entries, uint64(len(buf))); err != nil {
		return err
	}
	f, err := s.publish(numbered(logPrefix, s.number), func(f File) error {
		_, err := f.Write(buf)
		return err
	})
	if err != nil {
		return err
	}
	s.file, s.size, s.synced = f, uint64(len(buf)), uint64(len(buf))
	return nil
}

func (s *Store) encodeLog(entries []log.Entry, synced uint64) ([]byte, error) {
	head := &wire.LogRecord{
		SnapshotIndex: s.snapshot,
		Hard:          &wire.LogHardState{Term: s.hard.Term, Vote: string(s.hard.Vote)},
	}
	buf, err := appendRecord(nil, s.number, 0, synced, head)
	if err != nil || len(entries) == 0 {
		return buf, err
	}
	return s.encode(buf, 0, synced, nil, entries)
}

// publish writes a file and gives it its name once it is synced. The file
// stays open.
func (s *Store) publish(name string, write func(File) error) (File, error) {
	f, err := s.fs.Create(s.path(name + temporary))
	if err != nil {
		return nil, errors.Wrapf(err, "create %s", name)
	}
	if err = write(f); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.fs.Rename(s.path(name+temporary), s.path(name))
	}
	if err == nil {
		err = s.fs.SyncDir(s.dir)
	}
	if err != nil {
		_ = f.Close()
		return nil, errors.Wrapf(err, "write %s", name)
	}
	return f, nil
}

// Size returns the bytes in the write-ahead log.
func (s *Store) Size() uint64 { return s.size }

// Close ends the use of the directory. All writes are durable already.
func (s *Store) Close() error {
	if s.file != nil {
		_ = s.file.Close()
	}
	return errors.Wrap(s.lock.Close(), "unlock data directory")
}
