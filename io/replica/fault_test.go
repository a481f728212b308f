package replica_test

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"papayarock/core/fleet"
	"papayarock/internal/fake"
	"papayarock/io/disk"
	"papayarock/io/replica"
)

var _ suture.Service = (*replica.Group)(nil)

// failing is the file system of the machine with syncs that fail on demand.
type failing struct {
	disk.OS
	fail atomic.Bool
}

type failingFile struct {
	disk.File
	fs *failing
}

func (f *failing) Create(name string) (disk.File, error) {
	file, err := f.OS.Create(name)
	return failingFile{file, f}, err
}

func (f failingFile) Sync() error {
	if f.fs.fail.Load() {
		return errors.New("injected sync failure")
	}
	return f.File.Sync()
}

// Guards against a leader with a failed disk that keeps its lease or confirms
// commands, and against a group that does not continue without it.
func TestFailedDiskStopsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, time.Millisecond)
		defer c.stopAll()
		hosts := []fleet.Host{"a", "b", "c"}
		disks := make(map[fleet.Host]*failing)
		for _, h := range hosts {
			disks[h] = &failing{}
			c.start(h, disks[h], hosts...)
		}
		is.Equal(c.propose("one"), 1)
		lead := c.leader()
		old := c.members[lead]
		disks[lead].fail.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		// The other two may commit it, so the outcome is not certain to the
		// leader, unless their answers arrive before its own sync fails.
		if _, err := old.group.Propose(ctx, []byte("two")); err != nil {
			is.True(errors.Is(err, replica.ErrUncertain))
		}
		is.True(errors.Is(<-old.done, disk.ErrWrite))
		_, _, held := old.group.Lease()
		is.True(!held)
		delete(c.members, lead)
		n := c.propose("three").(int)
		is.True(n == 2 || n == 3)

		disks[lead].fail.Store(false)
		// A supervisor serves the same group again; its machine starts over.
		serving, stop := context.WithCancel(context.Background())
		old.cancel = stop
		go func() { old.done <- old.group.Serve(serving) }()
		c.members[lead] = old
		is.NoErr(eventually(ctx, func() error { return old.group.Read(ctx) }))
		is.Equal(len(old.machine.all()), n)
	})
}

// Guards against two leaders with a lease, and a leader that does not step
// down, when the leader is cut off.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	withThree(t, func(t *testing.T, c *cluster, hosts []fleet.Host) {
		is := is.New(t)
		c.propose("one")
		lead := c.leader()
		for _, h := range hosts {
			c.network.SetBlocked(lead, h, true)
			c.network.SetBlocked(h, lead, true)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := c.members[lead].group.Propose(ctx, []byte("lost"))
		is.True(errors.Is(err, replica.ErrUncertain))
		is.True(c.leader() != lead)
		_, err = c.members[lead].group.Propose(ctx, []byte("refused"))
		is.True(errors.Is(err, replica.ErrNotLeader))
		is.True(c.members[lead].group.Read(ctx) != nil)
		is.Equal(c.propose("two"), 2)
	})
}

const killedDir = "PAPAYAROCK_TEST_DIR"

// TestKilledProcess is the body of the process that TestKillAndRestart kills.
// It prints the number of each committed command.
func TestKilledProcess(t *testing.T) {
	dir := os.Getenv(killedDir)
	if dir == "" {
		t.Skip("runs only as the child of TestKillAndRestart")
	}
	c := &cluster{t: t, network: &fake.Network{}, root: dir, entries: 20, members: make(map[fleet.Host]*member)}
	c.start("a", nil, "a")
	for i := range 100_000 {
		fmt.Printf("\ncommitted %v\n", c.propose(strconv.Itoa(i)))
	}
}

// Guards against a committed command that a killed process loses, and against
// a directory that does not open after a kill.
func TestKillAndRestart(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	committed := 0
	for range 3 {
		before := committed
		cmd := exec.Command(os.Args[0], "-test.run=^TestKilledProcess$")
		cmd.Env = append(os.Environ(), killedDir+"="+dir)
		out, err := cmd.StdoutPipe()
		is.NoErr(err)
		is.NoErr(cmd.Start())
		scanner := bufio.NewScanner(out)
		for committed < before+50 && scanner.Scan() {
			_, _ = fmt.Sscanf(scanner.Text(), "committed %d", &committed)
		}
		is.NoErr(cmd.Process.Kill())
		_ = cmd.Wait() // reports the kill
		is.True(committed >= before+50)
	}
	c := &cluster{t: t, network: &fake.Network{}, root: dir, members: make(map[fleet.Host]*member)}
	m := c.start("a", nil, "a")
	defer c.stopAll()
	c.propose("last")
	is.True(len(m.machine.all()) > committed)
}
