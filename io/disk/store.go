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

// Errors of Open and Store.Write. ErrWrongDirectory is also returned for a directory of
// an unknown format, and for one with a log but without an identity file.
var (
	ErrCorrupt        = errors.New("data directory is corrupted")
	ErrWrongDirectory = errors.New("wrong data directory")
	ErrLocked         = errors.New("data directory is in use by another process")
	ErrWrite          = errors.New("write to data directory failed")
)

// Options configures a Store.
type Options struct {
	FS       FS // file system; nil means OS
	Dir      string
	Host     fleet.Host
	Identity log.DirectoryID // identity for a new directory; must not be zero
	Members  log.Membership  // members of a new group; empty for a host that joins an existing group
}

// Store is an open data directory. It is not safe for concurrent use.
type Store struct {
	fs            FS
	dir           string
	lock          io.Closer
	logFile       File   // the write-ahead log
	logNumber     uint64 // number of the write-ahead log file
	logSize       uint64 // bytes written to logFile
	synced        uint64 // bytes of logFile known to be durable
	snapshotIndex uint64 // index of the current snapshot; 0 if there is none
	hardState     log.HardState
	buf           []byte // records of the current Write, reused
	writeErr      error  // of the first Write that failed; returned by all later ones
}

const (
	lockName       = "lock"
	identityName   = "identity"
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
)

// fileName returns the name of the log or snapshot file with number n.
func fileName(prefix string, n uint64) string { return fmt.Sprintf("%s%016x", prefix, n) }

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// Write makes writes durable in order, with as few syncs as possible. After an
// error all further writes fail, because the content of the directory is unknown
// until it is opened again.
func (s *Store) Write(writes []log.Persist) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	if err := s.write(writes); err != nil {
		s.writeErr = errors.Wrapf(ErrWrite, "%s: %v", s.dir, err)
	}
	return s.writeErr
}

func (s *Store) write(writes []log.Persist) error {
	s.buf = s.buf[:0]
	for _, p := range writes {
		if p.Hard != nil {
			s.hardState = *p.Hard
		}
		if p.Snapshot != nil {
			// p replaces the whole stored state, so the preceding writes of this call
			// need not be written.
			s.buf = s.buf[:0]
			if err := s.rewrite(*p.Snapshot, p.Entries); err != nil {
				return err
			}
			continue
		}
		var err error
		if s.buf, err = s.encodeRecords(s.buf, s.logSize, s.synced, p.Hard, p.Entries); err != nil {
			return err
		}
	}
	if len(s.buf) == 0 {
		return nil
	}
	if err := s.append(s.buf); err != nil {
		return err
	}
	if err := s.logFile.Sync(); err != nil {
		return errors.Wrap(err, "sync")
	}
	s.synced = s.logSize
	return s.writeSyncMarker()
}

func (s *Store) append(b []byte) error {
	if _, err := s.logFile.Write(b); err != nil {
		return err
	}
	s.logSize += uint64(len(b))
	return nil
}

// writeSyncMarker appends an empty record stating that everything before it is
// synced, so that corruption of the last records is not mistaken for a torn
// tail. The marker itself need not be durable.
func (s *Store) writeSyncMarker() error {
	b, err := appendRecord(nil, s.logNumber, s.logSize, s.synced, &wire.LogRecord{})
	if err != nil {
		return err
	}
	return s.append(b)
}

// encodeRecords appends records for a hard state and entries to buf, whose first
// byte is at offset base of the file.
func (s *Store) encodeRecords(buf []byte, base, synced uint64, hard *log.HardState, entries []log.Entry) ([]byte, error) {
	record := &wire.LogRecord{}
	if hard != nil {
		record.Hard = &wire.LogHardState{Term: hard.Term, Vote: string(hard.Vote)}
	}
	size := 0
	for _, e := range wire.EncodeLogEntries(entries) {
		n := proto.Size(e)
		if size+n > splitPayloadBytes && size > 0 {
			var err error
			if buf, err = appendRecord(buf, s.logNumber, base, synced, record); err != nil {
				return nil, err
			}
			record, size = &wire.LogRecord{}, 0
		}
		record.Entries = append(record.Entries, e)
		size += n
	}
	return appendRecord(buf, s.logNumber, base, synced, record)
}

// rewrite replaces the write-ahead log, and the snapshot if its index changes,
// and deletes the old files.
func (s *Store) rewrite(snapshot log.Snapshot, entries []log.Entry) error {
	oldSnapshot := s.snapshotIndex
	if snapshot.Index != s.snapshotIndex {
		if err := s.writeSnapshot(snapshot); err != nil {
			return err
		}
		s.snapshotIndex = snapshot.Index
	}
	oldNumber := s.logNumber
	if err := s.newLog(entries); err != nil {
		return err
	}
	if err := s.fs.Remove(s.path(fileName(logPrefix, oldNumber))); err != nil {
		return errors.Wrapf(err, "remove old %s", fileName(logPrefix, oldNumber))
	}
	if oldSnapshot != 0 && oldSnapshot != s.snapshotIndex {
		return errors.Wrapf(s.fs.Remove(s.path(fileName(snapshotPrefix, oldSnapshot))), "remove old %s", fileName(snapshotPrefix, oldSnapshot))
	}
	return nil
}

// newLog creates the next write-ahead log file with entries.
func (s *Store) newLog(entries []log.Entry) error {
	if s.logFile != nil {
		// The new file replaces this one, so an error on closing does not matter.
		_ = s.logFile.Close()
		s.logFile = nil
	}
	s.logNumber++
	buf, err := s.encodeLog(entries, 0)
	if err != nil {
		return err
	}
	// Encode again with the total length as the synced length of every record:
	// the file is renamed to its final name only after it is synced.
	if buf, err = s.encodeLog(entries, uint64(len(buf))); err != nil {
		return err
	}
	f, err := s.createAtomic(fileName(logPrefix, s.logNumber), func(f File) error {
		_, err := f.Write(buf)
		return err
	})
	if err != nil {
		return err
	}
	s.logFile, s.logSize, s.synced = f, uint64(len(buf)), uint64(len(buf))
	return nil
}

// encodeLog encodes the initial content of a log file: a record with the
// snapshot index and hard state, followed by entries.
func (s *Store) encodeLog(entries []log.Entry, synced uint64) ([]byte, error) {
	first := &wire.LogRecord{
		SnapshotIndex: s.snapshotIndex,
		Hard:          &wire.LogHardState{Term: s.hardState.Term, Vote: string(s.hardState.Vote)},
	}
	buf, err := appendRecord(nil, s.logNumber, 0, synced, first)
	if err != nil || len(entries) == 0 {
		return buf, err
	}
	return s.encodeRecords(buf, 0, synced, nil, entries)
}

// createAtomic writes a file under a temporary name, syncs it, renames it to
// name and syncs the directory. It returns the file open for writing.
func (s *Store) createAtomic(name string, write func(File) error) (File, error) {
	f, err := s.fs.Create(s.path(name + tempSuffix))
	if err != nil {
		return nil, errors.Wrapf(err, "create %s", name)
	}
	if err = write(f); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.fs.Rename(s.path(name+tempSuffix), s.path(name))
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

// LogSize returns the size of the write-ahead log in bytes.
func (s *Store) LogSize() uint64 { return s.logSize }

// Close releases the directory. Completed writes are already durable.
func (s *Store) Close() error {
	if s.logFile != nil {
		_ = s.logFile.Close()
	}
	return errors.Wrap(s.lock.Close(), "unlock data directory")
}
