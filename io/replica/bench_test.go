package replica_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"papayarock/core/fleet"
	"papayarock/internal/fake"
	"papayarock/io/replica"
)

// tableMachine is a machine that holds tableSize values, as many as the system is
// designed to have customers.
type tableMachine struct{ values map[int]string }

const tableSize = 11_000

func (t *tableMachine) Apply(index, _ uint64, command []byte) any {
	t.values[int(index%tableSize)] = string(command)
	return nil
}

func (t *tableMachine) Snapshot() ([]byte, error) { return json.Marshal(t.values) }

func (t *tableMachine) Restore(b []byte) error {
	t.values = make(map[int]string)
	if len(b) == 0 {
		return nil
	}
	return json.Unmarshal(b, &t.values)
}

// startBenchGroup starts a group with a tableMachine on each of the hosts, on the clock
// and file system of this machine. It returns the leader and a function that stops the
// group.
func startBenchGroup(b *testing.B, delay time.Duration, snapshotEntries uint64, root string, hosts ...fleet.Host) (*replica.Member, func()) {
	b.Helper()
	network := &fake.Network{}
	if delay > 0 {
		network.Delay = func(_, _ fleet.Host) time.Duration { return delay }
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var members []*replica.Member
	for _, h := range hosts {
		m, err := replica.New(replica.Options{
			Self: h, InitialVoters: hosts, DataDir: root + "/" + string(h), StateMachine: &tableMachine{}, Transport: network.Endpoint(h),
			SnapshotEntries: snapshotEntries, SnapshotBytes: snapshotEntries * 1000,
		})
		if err != nil {
			b.Fatal(err)
		}
		members = append(members, m)
		network.Connect(h, m.Deliver)
		wg.Go(func() { _ = m.Serve(ctx) })
	}
	stop := func() { cancel(); wg.Wait() }
	for range 1000 {
		for _, m := range members {
			if _, _, held := m.Lease(); held {
				return m, stop
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatal("no leader within 10 s")
	return nil, stop
}

func benchCommand(i int) []byte { return fmt.Appendf(nil, "change %d %0100d", i, i) }

// BenchmarkCommitLatency proposes commands one after the other over links with a
// one-way delay of 20 ms. The lower bound is one round trip, 40 ms.
func BenchmarkCommitLatency(b *testing.B) {
	m, stop := startBenchGroup(b, 20*time.Millisecond, 0, b.TempDir(), "a", "b", "c")
	defer stop()
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for i := 0; b.Loop(); i++ {
		start := time.Now()
		if _, err := m.Propose(b.Context(), benchCommand(i)); err != nil {
			b.Fatal(err)
		}
		_ = h.RecordValue(time.Since(start).Microseconds())
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
}

// BenchmarkCommits measures the commits per second of three members that sync to
// disk, for one caller and for many callers whose commits share syncs.
func BenchmarkCommits(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			m, stop := startBenchGroup(b, 0, 0, b.TempDir(), "a", "b", "c")
			defer stop()
			b.ResetTimer()
			start := time.Now()
			proposeAll(b, m, callers, b.N)
			b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "commits/s")
		})
	}
}

func proposeAll(b *testing.B, m *replica.Member, callers, n int) {
	var next atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for {
				i := int(next.Add(1))
				if i > n {
					return
				}
				if _, err := m.Propose(context.Background(), benchCommand(i)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
}

// BenchmarkRestart measures the time that New takes after 100,000 changes. New
// restores the snapshot, then reads the log and rewrites it.
func BenchmarkRestart(b *testing.B) {
	for name, snapshots := range map[string]uint64{"snapshots": 0, "no-snapshots": 1_000_000} {
		b.Run(name, func(b *testing.B) {
			root := b.TempDir()
			m, stop := startBenchGroup(b, 0, snapshots, root, "a")
			proposeAll(b, m, 256, 100_000)
			stop()
			for b.Loop() {
				m, err := replica.New(replica.Options{
					Self: "a", DataDir: root + "/a", StateMachine: &tableMachine{}, Transport: (&fake.Network{}).Endpoint("a"),
				})
				if err != nil {
					b.Fatal(err)
				}
				if err := m.Close(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
