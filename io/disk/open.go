package disk

import (
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"papayarock/core/fleet"
	"papayarock/core/log"
	"papayarock/io/wire"
)

// formatVersion is the version of the file formats.
const formatVersion = 1

// Open locks a data directory and returns its identity and content. An empty
// directory is created with o.Identity, and with the bootstrap snapshot when
// o.Members is not empty.
func Open(o Options) (*Store, log.Identity, log.Stored, error) {
	s := &Store{fs: o.FS, dir: o.Dir}
	if s.fs == nil {
		s.fs = OS{}
	}
	if err := s.fs.MkdirAll(s.dir); err != nil {
		return nil, 0, log.Stored{}, errors.Wrapf(ErrWrite, "create %s: %v", s.dir, err)
	}
	lock, err := s.fs.Lock(s.path(lockName))
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

func (s *Store) open(o Options) (log.Identity, log.Stored, error) {
	names, err := s.fs.Names(s.dir)
	if err != nil {
		return 0, log.Stored{}, errors.Wrapf(ErrDamaged, "list files: %v", err)
	}
	d, err := s.readIdentity(names)
	if err != nil {
		return 0, log.Stored{}, err
	}
	switch {
	case d == nil || !d.GetReady():
		return s.create(o, names)
	case fleet.Host(d.GetHost()) != o.Host:
		return 0, log.Stored{}, errors.Wrapf(ErrForeign, "it belongs to %q, not %q", d.GetHost(), o.Host)
	case d.GetFormat() != formatVersion:
		return 0, log.Stored{}, errors.Wrapf(ErrForeign, "format %d is not known", d.GetFormat())
	}
	stored, err := s.recover(names)
	return log.Identity(d.GetIdentity()), stored, err
}

// readIdentity returns nil for an empty directory.
func (s *Store) readIdentity(names []string) (*wire.LogDirectory, error) {
	if !slices.Contains(names, identityName) {
		for _, name := range names {
			if _, ok := number(name, logPrefix); ok {
				return nil, errors.Wrapf(ErrForeign, "it holds %s but no identity", name)
			}
		}
		return nil, nil
	}
	content, err := s.readFile(identityName)
	if err != nil {
		return nil, errors.Wrapf(ErrDamaged, "read identity: %v", err)
	}
	var d wire.LogDirectory
	r, ok := readRecord(content, 0, 0)
	if !ok || proto.Unmarshal(r.payload, &d) != nil {
		return nil, errors.Wrap(ErrDamaged, "bad identity file")
	}
	return &d, nil
}

// create fills an empty directory. The identity is marked ready last, so that
// an interrupted creation starts over with a new identity.
func (s *Store) create(o Options, names []string) (log.Identity, log.Stored, error) {
	d := &wire.LogDirectory{Host: string(o.Host), Identity: uint64(o.Identity), Format: formatVersion}
	unused := func(name string) bool { return isNumbered(name) || strings.HasSuffix(name, temporary) }
	if err := s.removeAll(names, unused); err != nil {
		return 0, log.Stored{}, err
	}
	if err := s.writeIdentity(d); err != nil {
		return 0, log.Stored{}, err
	}
	var stored log.Stored
	if len(o.Members) > 0 {
		stored.Snapshot = log.Bootstrap(o.Members)
		stored.Hard.Term = stored.Snapshot.Term
		if err := s.writeSnapshot(stored.Snapshot); err != nil {
			return 0, log.Stored{}, errors.Wrapf(ErrWrite, "%v", err)
		}
		s.snapshot, s.hard = stored.Snapshot.Index, stored.Hard
	}
	if err := s.newLog(nil); err != nil {
		return 0, log.Stored{}, errors.Wrapf(ErrWrite, "%v", err)
	}
	d.Ready = true
	return o.Identity, stored, s.writeIdentity(d)
}

func (s *Store) writeIdentity(d *wire.LogDirectory) error {
	b, err := appendRecord(nil, 0, 0, 0, d)
	if err != nil {
		return err
	}
	f, err := s.publish(identityName, func(f File) error {
		_, err := f.Write(b)
		return err
	})
	if err != nil {
		return errors.Wrapf(ErrWrite, "%v", err)
	}
	return f.Close()
}

// recover reads the newest write-ahead log and its snapshot, and starts a new
// file with what they hold.
func (s *Store) recover(names []string) (log.Stored, error) {
	var stored log.Stored
	for _, name := range names {
		if n, ok := number(name, logPrefix); ok {
			s.number = max(s.number, n)
		}
	}
	name := numbered(logPrefix, s.number)
	content, err := s.readFile(name)
	if err != nil {
		return stored, errors.Wrapf(ErrDamaged, "read %s: %v", name, err)
	}
	records, err := readRecords(content, s.number)
	if err != nil {
		return stored, errors.Wrap(err, name)
	}
	if err := s.replay(records, &stored); err != nil {
		return stored, errors.Wrap(err, name)
	}
	if stored.Snapshot, err = s.readSnapshot(s.snapshot); err != nil {
		return stored, err
	}
	if len(stored.Entries) > 0 && stored.Entries[0].Index > s.snapshot+1 {
		return stored, errors.Wrapf(ErrDamaged, "%s starts at entry %d after snapshot %d", name, stored.Entries[0].Index, s.snapshot)
	}
	s.hard = stored.Hard
	// Before the new log: a temporary file that a killed process left may have
	// the very name that the new log starts under.
	isTemporary := func(name string) bool { return strings.HasSuffix(name, temporary) }
	if err := s.removeAll(names, isTemporary); err != nil {
		return stored, err
	}
	if err := s.newLog(stored.Entries); err != nil {
		return stored, errors.Wrapf(ErrWrite, "%v", err)
	}
	snapshot := numbered(snapshotPrefix, s.snapshot)
	return stored, s.removeAll(names, func(name string) bool { return isNumbered(name) && name != snapshot })
}

func (s *Store) replay(records []record, stored *log.Stored) error {
	for i, r := range records {
		var m wire.LogRecord
		if err := proto.Unmarshal(r.payload, &m); err != nil {
			return errors.Wrapf(ErrDamaged, "record %d does not decode: %v", i, err)
		}
		if i == 0 {
			s.snapshot = m.GetSnapshotIndex()
		}
		if h := m.GetHard(); h != nil {
			stored.Hard = log.HardState{Term: h.GetTerm(), Vote: fleet.Host(h.GetVote())}
		}
		list, err := wire.DecodeLogEntries(m.GetEntries())
		if err != nil {
			return errors.Wrapf(ErrDamaged, "record %d: %v", i, err)
		}
		if stored.Entries, err = join(stored.Entries, list); err != nil {
			return err
		}
	}
	return nil
}

// join replaces the end of old, from the index of the first of list on.
func join(old, list []log.Entry) ([]log.Entry, error) {
	if len(list) == 0 {
		return old, nil
	}
	if len(old) == 0 {
		return list, nil
	}
	first, next := old[0].Index, list[0].Index
	if next < first || next > first+uint64(len(old)) {
		return nil, errors.Wrapf(ErrDamaged, "entry %d follows entry %d", next, first+uint64(len(old))-1)
	}
	return append(old[:next-first], list...), nil
}

// removeAll removes the files among names that are unused.
func (s *Store) removeAll(names []string, unused func(name string) bool) error {
	for _, name := range names {
		if !unused(name) {
			continue
		}
		if err := s.fs.Remove(s.path(name)); err != nil {
			return errors.Wrapf(ErrWrite, "remove %s: %v", name, err)
		}
	}
	return nil
}

// isNumbered says whether name is that of a log or a snapshot.
func isNumbered(name string) bool {
	_, isLog := number(name, logPrefix)
	_, isSnapshot := number(name, snapshotPrefix)
	return isLog || isSnapshot
}

// number returns the number in a file name with prefix.
func number(name, prefix string) (uint64, bool) {
	rest, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(rest, 16, 64)
	return n, err == nil
}
