package disk_test

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"papayarock/core/log"
	"papayarock/io/disk"
)

var seedFlag = flag.Uint64("seed", 1, "seed of random tests")

func open(fs disk.FS) (*disk.Store, log.DirectoryID, log.Stored, error) {
	return disk.Open(disk.Options{FS: fs, Dir: "d", Host: "a", Identity: 7, Members: log.NewMembership("a", "b", "c")})
}

func mustOpen(t testing.TB, fs disk.FS) (*disk.Store, log.Stored) {
	t.Helper()
	s, _, stored, err := open(fs)
	if err != nil {
		t.Fatal(err)
	}
	return s, stored
}

func entry(index, term uint64) log.Entry {
	return log.Entry{Index: index, Term: term, Command: fmt.Appendf(nil, "command %d of term %d", index, term)}
}

// persist returns a write of a hard state and one entry.
func persist(index, term uint64) log.Persist {
	return log.Persist{Hard: &log.HardState{Term: term, Vote: "b"}, Entries: []log.Entry{entry(index, term)}}
}

func dropUnsynced([]byte) []byte { return nil }

// A write that was reported as durable must not be lost or changed by a crash, and
// must not cost more than one sync per call.
func TestWritesSurviveRestart(t *testing.T) {
	is := is.New(t)
	fs := newMemFS()
	s, _ := mustOpen(t, fs)
	before := fs.syncs
	is.NoErr(s.Write([]log.Persist{persist(2, 2), persist(3, 2), persist(4, 2)}))
	is.Equal(fs.syncs-before, 1)                    // one sync for all writes of the call
	is.NoErr(s.Write([]log.Persist{persist(3, 3)})) // replaces 3 and 4

	s, stored := mustOpen(t, fs.afterCrash(dropUnsynced))
	is.Equal(stored.Hard, log.HardState{Term: 3, Vote: "b"})
	is.Equal(stored.Entries, []log.Entry{entry(2, 2), entry(3, 3)})
	is.Equal(stored.Snapshot, log.BootstrapSnapshot(log.NewMembership("a", "b", "c")))
	is.NoErr(s.Close())
}

// A crash after a snapshot was written must not lose the snapshot or the entries
// after it, and the files that it replaces must not stay on disk.
func TestSnapshotReplacesLog(t *testing.T) {
	is := is.New(t)
	fs := newMemFS()
	s, _ := mustOpen(t, fs)
	is.NoErr(s.Write([]log.Persist{persist(2, 2), persist(3, 2), persist(4, 2)}))
	snap := log.Snapshot{Index: 3, Term: 2, Members: log.NewMembership("a", "b"), Data: bytes.Repeat([]byte("state"), 500_000)}
	is.NoErr(s.Write([]log.Persist{{Snapshot: &snap, Entries: []log.Entry{entry(4, 2)}}, persist(5, 2)}))
	after := fs.afterCrash(dropUnsynced)
	_, stored := mustOpen(t, after)
	is.Equal(stored.Snapshot, snap)
	is.Equal(stored.Entries, []log.Entry{entry(4, 2), entry(5, 2)})
	names, err := after.Names("d")
	is.NoErr(err)
	is.Equal(len(names), 3) // identity, log, snapshot
}

// A crash after any number of written bytes must not lose a synced write, restore
// a part of an unsynced write, or leave a directory that cannot be opened.
func TestCrashAtEveryByte(t *testing.T) {
	t.Logf("seed %d", *seedFlag)
	r := rand.New(rand.NewPCG(*seedFlag, 1))
	tears := map[string]func([]byte) []byte{
		"dropped": dropUnsynced,
		"cut":     func(b []byte) []byte { return b[:r.IntN(len(b)+1)] },
		"zeroed":  func(b []byte) []byte { clear(b[r.IntN(len(b)):]); return b },
		"hole": func(b []byte) []byte { // pages can be written back in any order
			i := r.IntN(len(b))
			clear(b[i:min(len(b), i+64)])
			return b
		},
	}
	for name, tear := range tears {
		t.Run(name, func(t *testing.T) {
			for limit := 0; ; limit++ {
				if writeUntilCrash(t, limit, tear) {
					return
				}
			}
		})
	}
}

// writeUntilCrash writes entries until the disk is full after limit bytes,
// crashes, and checks the recovered state. It reports whether all writes
// succeeded.
func writeUntilCrash(t *testing.T, limit int, tear func([]byte) []byte) bool {
	is := is.New(t)
	fs := newMemFS()
	s, _ := mustOpen(t, fs)
	fs.writableBytes = limit
	last := uint64(1)
	var err error
	for i := uint64(2); i < 8 && err == nil; i++ {
		p := []log.Persist{persist(i, i)}
		if i == 5 {
			snap := log.Snapshot{Index: 4, Term: 4, Data: []byte("state after 4")}
			p = append(p, log.Persist{Snapshot: &snap, Entries: []log.Entry{entry(4, 4), entry(5, 5)}})
		}
		if err = s.Write(p); err == nil {
			last = i
		}
	}
	if err != nil {
		is.True(errors.Is(err, disk.ErrWrite))
		is.True(errors.Is(s.Write([]log.Persist{persist(9, 9)}), disk.ErrWrite)) // no write after a failed one
	}
	_, stored := mustOpen(t, fs.afterCrash(tear))
	top := stored.Snapshot.Index
	for _, e := range stored.Entries {
		is.Equal(e, entry(e.Index, e.Index))
		top = max(top, e.Index)
	}
	is.True(top == last || top == last+1) // the failed write may be complete on disk
	is.True(stored.Hard.Term >= last)
	return err == nil
}

// After a failed sync, further writes must fail, and data that only the page
// cache holds must not be reported as stored.
func TestFailedSync(t *testing.T) {
	is := is.New(t)
	fs := newMemFS()
	s, _ := mustOpen(t, fs)
	is.NoErr(s.Write([]log.Persist{persist(2, 2)}))
	fs.failSync = true
	is.True(errors.Is(s.Write([]log.Persist{persist(3, 3)}), disk.ErrWrite))
	fs.failSync = false
	is.True(errors.Is(s.Write([]log.Persist{persist(4, 4)}), disk.ErrWrite))
	is.NoErr(s.Close())
	// The process opens the directory again and sees the unsynced write in the
	// page cache. Whatever Open reports must be durable from then on.
	_, stored := mustOpen(t, fs)
	_, again := mustOpen(t, fs.afterCrash(dropUnsynced))
	is.Equal(again, stored)
	is.Equal(stored.Entries[0], entry(2, 2))
}

// Writing a snapshot must fail if its directory entry may not be durable.
func TestFailedDirectorySync(t *testing.T) {
	is := is.New(t)
	fs := newMemFS()
	s, _ := mustOpen(t, fs)
	is.NoErr(s.Write([]log.Persist{persist(2, 2)}))
	fs.failSyncDir = true
	is.True(errors.Is(s.Write([]log.Persist{{Snapshot: &log.Snapshot{Index: 2, Term: 2}}}), disk.ErrWrite))
	_, stored := mustOpen(t, fs.afterCrash(dropUnsynced))
	is.Equal(stored.Entries, []log.Entry{entry(2, 2)})
}

// Corruption of synced data must not be mistaken for a torn tail.
func TestFlippedBitIsCorruption(t *testing.T) {
	fs := newMemFS()
	s, _ := mustOpen(t, fs)
	is := is.New(t)
	is.NoErr(s.Write([]log.Persist{persist(2, 2)}))
	is.NoErr(s.Write([]log.Persist{persist(3, 2)}))
	for _, prefix := range []string{"log-", "snapshot-", "identity"} {
		size := len(fs.find(prefix).data)
		if prefix == "log-" {
			size = len(fs.find(prefix).synced) // the sync marker after it is not synced
		}
		for i := range size {
			broken := fs.afterCrash(func(b []byte) []byte { return b })
			broken.find(prefix).data[i] ^= 0x10
			_, _, _, err := open(broken)
			if !errors.Is(err, disk.ErrCorrupt) {
				t.Fatalf("byte %d of %s: %v", i, prefix, err)
			}
		}
	}
}

// A directory must not be opened for another host, by two processes at once, or
// after its identity file was deleted, because the member could then lose entries
// that it has confirmed. An existing directory must keep its identity, and a new
// one must get the identity from the options.
func TestDirectoryIdentity(t *testing.T) {
	is := is.New(t)
	fs := newMemFS()
	s, id, _, err := open(fs)
	is.NoErr(err)
	is.Equal(id, log.DirectoryID(7))
	_, _, _, err = open(fs)
	is.True(errors.Is(err, disk.ErrLocked))
	is.NoErr(s.Close())

	_, _, _, err = disk.Open(disk.Options{FS: fs, Dir: "d", Host: "b", Identity: 9})
	is.True(errors.Is(err, disk.ErrWrongDirectory))

	s, id, _, err = disk.Open(disk.Options{FS: fs, Dir: "d", Host: "a", Identity: 9})
	is.NoErr(err)
	is.Equal(id, log.DirectoryID(7)) // the stored identity
	is.NoErr(s.Close())

	_, id, stored, err := disk.Open(disk.Options{FS: newMemFS(), Dir: "d", Host: "a", Identity: 9})
	is.NoErr(err)
	is.Equal(id, log.DirectoryID(9)) // the identity from the options
	is.Equal(stored, log.Stored{})

	is.NoErr(fs.Remove("d/identity"))
	_, _, _, err = open(fs)
	is.True(errors.Is(err, disk.ErrWrongDirectory))
}

// A crash during the initialisation of a directory must not prevent the next Open,
// and must not leave a directory that counts as initialised without its bootstrap
// snapshot.
func TestInterruptedCreation(t *testing.T) {
	for limit := range 2000 {
		fs := newMemFS()
		fs.writableBytes = limit
		_, _, _, err := open(fs)
		after := fs.afterCrash(dropUnsynced)
		_, _, stored, again := disk.Open(disk.Options{FS: after, Dir: "d", Host: "a", Identity: 8, Members: log.NewMembership("a")})
		if again != nil || stored.Snapshot.Index != 1 {
			t.Fatalf("after %d bytes: %v", limit, again)
		}
		if err == nil {
			return
		}
	}
	t.Fatal("initialisation writes more than 2000 bytes")
}

// A process that is killed after any number of written bytes, while the host keeps
// running, leaves its temporary files. They must not prevent the next process from
// opening the directory, and no accepted entry may be lost.
func TestKillAtEveryByte(t *testing.T) {
	is := is.New(t)
	for limit := range 4000 {
		fs := newMemFS()
		fs.writableBytes = limit
		s, _, _, err := open(fs)
		var accepted uint64
		for i := uint64(2); err == nil && i < 6; i++ {
			if err = s.Write([]log.Persist{persist(i, 2)}); err == nil {
				accepted = i
			}
			if err == nil && i == 4 {
				err = s.Write([]log.Persist{{Snapshot: &log.Snapshot{Index: 3, Term: 2, Members: log.NewMembership("a", "b", "c"), Data: []byte("three")}, Entries: []log.Entry{entry(4, 2)}}})
			}
		}
		_, stored := mustOpen(t, fs.afterKill())
		last := stored.Snapshot.Index + uint64(len(stored.Entries))
		is.True(last >= accepted) // no accepted entry is lost
		if err == nil {
			return
		}
	}
	t.Fatal("the test writes more than 4000 bytes")
}

// Guards against a directory that cannot be opened on a full disk, because opening it
// first writes a copy of everything that it contains: entries that the snapshot covers,
// and files that an interrupted rewrite has left.
func TestOpenOnFullDisk(t *testing.T) {
	is := is.New(t)
	fs := newMemFS()
	s, _ := mustOpen(t, fs)
	large := func(index uint64) log.Entry {
		return log.Entry{Index: index, Term: 2, Command: bytes.Repeat([]byte{byte(index)}, 100_000)}
	}
	var entries []log.Entry
	for i := uint64(2); i <= 20; i++ {
		entries = append(entries, large(i))
	}
	is.NoErr(s.Write([]log.Persist{{Entries: entries}}))
	snapshot := log.Snapshot{Index: 19, Term: 2, Members: log.NewMembership("a"), Data: []byte("state after 19")}
	is.NoErr(s.Write([]log.Persist{{Snapshot: &snapshot, Entries: entries}}))
	// The disk fills up while the next snapshot and log are written.
	fs.capacity = fs.used() + 500_000
	next := log.Snapshot{Index: 20, Term: 2, Members: snapshot.Members, Data: bytes.Repeat([]byte("state after 20"), 20_000)}
	is.True(errors.Is(s.Write([]log.Persist{{Snapshot: &next, Entries: entries}}), disk.ErrWrite))
	is.NoErr(s.Close())
	is.Equal(fs.used(), fs.capacity)

	s, _, stored, err := open(fs)
	is.NoErr(err)
	is.Equal(stored.Snapshot, snapshot)
	is.Equal(stored.Entries, []log.Entry{large(20)})
	is.NoErr(s.Write([]log.Persist{{Entries: []log.Entry{large(21)}}})) // there is room again
}

// Guards against a wrong setting of the data directory that is taken for a full disk and
// retried for ever.
func TestDirectoryThatCannotBeCreated(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "file")
	is.NoErr(os.WriteFile(file, nil, 0o600))
	_, _, _, err := disk.Open(disk.Options{Dir: filepath.Join(file, "data"), Host: "a", Identity: 7})
	is.True(errors.Is(err, disk.ErrWrongDirectory))
}
