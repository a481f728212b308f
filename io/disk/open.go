package disk

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"papayarock/core/fleet"
	"papayarock/core/log"
	"papayarock/io/wire"
)

// formatVersion is the version of the on-disk formats.
const formatVersion = 1

// Open locks a data directory and returns its identity and stored state. A
// missing or empty directory is initialised with o.Identity, and with the
// bootstrap snapshot if o.Members is not empty.
func Open(o Options) (*Store, log.DirectoryID, log.Stored, error) {
	s := &Store{fs: o.FS, dir: o.Dir}
	if s.fs == nil {
		s.fs = OS{}
	}
	if err := s.fs.MkdirAll(s.dir); err != nil {
		return nil, 0, log.Stored{}, errors.Wrapf(err, "create %s", s.dir)
	}
	lock, err := s.fs.Lock(s.path(lockName))
	if errors.Is(err, ErrWrite) || errors.Is(err, ErrWrongDirectory) {
		return nil, 0, log.Stored{}, errors.Wrapf(err, "create lock in %s", s.dir)
	}
	if err != nil {
		return nil, 0, log.Stored{}, errors.Wrapf(ErrLocked, "%s: %v", s.dir, err)
	}
	s.lock = lock
	id, stored, err := s.open(o)
	if err != nil {
		_ = s.Close()
		return nil, 0, log.Stored{}, errors.Wrap(err, s.dir)
	}
	return s, id, stored, nil
}

func (s *Store) open(o Options) (log.DirectoryID, log.Stored, error) {
	names, err := s.fs.Names(s.dir)
	if err != nil {
		return 0, log.Stored{}, errors.Wrapf(ErrCorrupt, "list files: %v", err)
	}
	identity, err := s.readIdentity(names)
	if err != nil {
		return 0, log.Stored{}, err
	}
	switch {
	case identity == nil || !identity.GetReady():
		return s.create(o, names)
	case fleet.Host(identity.GetHost()) != o.Host:
		return 0, log.Stored{}, errors.Wrapf(ErrWrongDirectory, "directory of host %q opened by host %q", identity.GetHost(), o.Host)
	case identity.GetFormat() != formatVersion:
		return 0, log.Stored{}, errors.Wrapf(ErrWrongDirectory, "format %d is not known", identity.GetFormat())
	}
	stored, err := s.recover(names)
	return log.DirectoryID(identity.GetIdentity()), stored, err
}

// readIdentity reads the identity file. It returns nil if the directory has
// neither an identity file nor a log.
func (s *Store) readIdentity(names []string) (*wire.LogDirectory, error) {
	if !slices.Contains(names, identityName) {
		for _, name := range names {
			if _, ok := parseNumber(name, logPrefix); ok {
				return nil, errors.Wrapf(ErrWrongDirectory, "directory contains %s but no identity file", name)
			}
		}
		return nil, nil
	}
	content, err := s.readFile(identityName)
	if err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "read identity: %v", err)
	}
	var identity wire.LogDirectory
	r, ok := readRecord(content, 0, 0)
	if !ok || proto.Unmarshal(r.payload, &identity) != nil {
		return nil, errors.Wrapf(ErrCorrupt, "invalid identity file of %d bytes", len(content))
	}
	return &identity, nil
}

// create initialises a directory that is empty or whose initialisation was
// interrupted; files of the interrupted one are removed. The identity is marked
// ready as the last step, so that an interrupted initialisation is repeated with a
// new identity.
func (s *Store) create(o Options, names []string) (log.DirectoryID, log.Stored, error) {
	identity := &wire.LogDirectory{Host: string(o.Host), Identity: uint64(o.Identity), Format: formatVersion}
	isLeftover := func(name string) bool { return isDataFile(name) || strings.HasSuffix(name, tempSuffix) }
	if err := s.removeMatching(names, isLeftover); err != nil {
		return 0, log.Stored{}, err
	}
	if err := s.writeIdentity(identity); err != nil {
		return 0, log.Stored{}, err
	}
	var stored log.Stored
	if len(o.Members) > 0 {
		stored.Snapshot = log.BootstrapSnapshot(o.Members)
		stored.Hard.Term = stored.Snapshot.Term
		if err := s.writeSnapshot(stored.Snapshot); err != nil {
			return 0, log.Stored{}, errors.Wrapf(ErrWrite, "%v", err)
		}
		s.snapshotIndex, s.hardState = stored.Snapshot.Index, stored.Hard
	}
	if err := s.newLog(nil); err != nil {
		return 0, log.Stored{}, errors.Wrapf(ErrWrite, "%v", err)
	}
	identity.Ready = true
	return o.Identity, stored, s.writeIdentity(identity)
}

func (s *Store) writeIdentity(identity *wire.LogDirectory) error {
	b, err := appendRecord(nil, 0, 0, 0, identity)
	if err != nil {
		return err
	}
	f, err := s.createAtomic(identityName, func(f File) error {
		_, err := f.Write(b)
		return err
	})
	if err != nil {
		return errors.Wrapf(ErrWrite, "%v", err)
	}
	return f.Close()
}

// recover reads the newest write-ahead log and its snapshot, and writes the entries
// after the snapshot to a new log. Entries that the snapshot covers are dropped. The
// newest log is complete without the older ones, because newLog writes the whole
// state to it and syncs it before the file gets its final name. All files that it does
// not need are therefore removed first, which makes room on a full disk.
func (s *Store) recover(names []string) (log.Stored, error) {
	var stored log.Stored
	for _, name := range names {
		if n, ok := parseNumber(name, logPrefix); ok {
			s.logNumber = max(s.logNumber, n)
		}
	}
	name := fileName(logPrefix, s.logNumber)
	content, err := s.readFile(name)
	if err != nil {
		return stored, errors.Wrapf(ErrCorrupt, "read %s: %v", name, err)
	}
	records, err := readRecords(content, s.logNumber)
	if err != nil {
		return stored, errors.Wrap(err, name)
	}
	if err := s.replay(records, &stored); err != nil {
		return stored, errors.Wrap(err, name)
	}
	if stored.Snapshot, err = s.readSnapshot(s.snapshotIndex); err != nil {
		return stored, err
	}
	if len(stored.Entries) > 0 && stored.Entries[0].Index > s.snapshotIndex+1 {
		return stored, errors.Wrapf(ErrCorrupt, "%s starts at entry %d after snapshot %d", name, stored.Entries[0].Index, s.snapshotIndex)
	}
	i, _ := slices.BinarySearchFunc(stored.Entries, s.snapshotIndex+1, func(e log.Entry, index uint64) int { return cmp.Compare(e.Index, index) })
	stored.Entries = stored.Entries[i:]
	s.hardState = stored.Hard
	// The name of the newest log may not be durable yet if the process that wrote it was
	// killed. Without this sync, a loss of power could take it back after the files that
	// it replaces were removed.
	if err := s.fs.SyncDir(s.dir); err != nil {
		return stored, errors.Wrapf(ErrWrite, "sync directory: %v", err)
	}
	snapshot := fileName(snapshotPrefix, s.snapshotIndex)
	unneeded := func(file string) bool {
		return strings.HasSuffix(file, tempSuffix) || (isDataFile(file) && file != name && file != snapshot)
	}
	if err := s.removeMatching(names, unneeded); err != nil {
		return stored, err
	}
	if err := s.newLog(stored.Entries); err != nil {
		return stored, errors.Wrapf(ErrWrite, "%v", err)
	}
	return stored, s.removeMatching([]string{name}, isDataFile)
}

// replay decodes log records into stored. It sets the snapshot index from the first
// record, which encodeLog writes.
func (s *Store) replay(records []record, stored *log.Stored) error {
	for i, r := range records {
		var m wire.LogRecord
		if err := proto.Unmarshal(r.payload, &m); err != nil {
			return errors.Wrapf(ErrCorrupt, "decode record %d: %v", i, err)
		}
		if i == 0 {
			s.snapshotIndex = m.GetSnapshotIndex()
		}
		if h := m.GetHard(); h != nil {
			stored.Hard = log.HardState{Term: h.GetTerm(), Vote: fleet.Host(h.GetVote())}
		}
		entries, err := wire.DecodeLogEntries(m.GetEntries())
		if err != nil {
			return errors.Wrapf(ErrCorrupt, "decode entries of record %d: %v", i, err)
		}
		if stored.Entries, err = spliceEntries(stored.Entries, entries); err != nil {
			return err
		}
	}
	return nil
}

// spliceEntries appends entries to existing, replacing existing entries from the
// index of the first new one. It fails if that would leave a gap.
func spliceEntries(existing, entries []log.Entry) ([]log.Entry, error) {
	if len(entries) == 0 {
		return existing, nil
	}
	if len(existing) == 0 {
		return entries, nil
	}
	first, next := existing[0].Index, entries[0].Index
	if next < first || next > first+uint64(len(existing)) {
		return nil, errors.Wrapf(ErrCorrupt, "entry %d follows entry %d", next, first+uint64(len(existing))-1)
	}
	return append(existing[:next-first], entries...), nil
}

// removeMatching deletes the files in names for which match returns true.
func (s *Store) removeMatching(names []string, match func(name string) bool) error {
	for _, name := range names {
		if !match(name) {
			continue
		}
		if err := s.fs.Remove(s.path(name)); err != nil {
			return errors.Wrapf(ErrWrite, "remove %s: %v", name, err)
		}
	}
	return nil
}

// isDataFile reports whether name is the name of a log or a snapshot.
func isDataFile(name string) bool {
	_, isLog := parseNumber(name, logPrefix)
	_, isSnapshot := parseNumber(name, snapshotPrefix)
	return isLog || isSnapshot
}

// parseNumber returns the number in a file name that starts with prefix.
func parseNumber(name, prefix string) (uint64, bool) {
	rest, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(rest, 16, 64)
	return n, err == nil
}
