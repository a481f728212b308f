package faulttest_test

import (
	"bytes"
	"context"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"

	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/internal/fake"
	"papayarock/io/replica"
	"papayarock/io/wire"
)

// stateMachine adapts state.Machine to replica.Member without the other parts of a
// control replica.
type stateMachine struct {
	t  testing.TB
	mu sync.Mutex
	m  *state.Machine
}

func (m *stateMachine) Apply(index, term uint64, command []byte) any {
	c, err := wire.DecodeCommand(command)
	if err != nil {
		m.t.Errorf("decode log entry %d: %v", index, err)
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.m.EnterTerm(term)
	return m.m.Apply(index, c)
}

func (m *stateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return wire.EncodeStateSnapshot(m.m.Snapshot())
}

func (m *stateMachine) Restore(b []byte) error {
	image := &state.Snapshot{}
	if len(b) > 0 {
		var err error
		if image, err = wire.DecodeStateSnapshot(b); err != nil {
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.m = state.New()
	m.m.Restore(image)
	return nil
}

// finalState opens the data directories of killed replicas as one group in the test
// process and lets each replica catch up. The snapshots of all replicas must be
// identical byte for byte. finalState returns this snapshot.
func (cl *cluster) finalState(hosts ...fleet.Host) *state.Snapshot {
	cl.t.Helper()
	network := &fake.Network{}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	groups, machines := make(map[fleet.Host]*replica.Member), make(map[fleet.Host]*stateMachine)
	for _, h := range hosts {
		machines[h] = &stateMachine{t: cl.t, m: state.New()}
		g, err := replica.New(replica.Options{
			Self: h, InitialVoters: cl.hosts, DataDir: cl.dataDir(h), StateMachine: machines[h], Transport: network.Endpoint(h), Log: hclog.NewNullLogger(),
		})
		if err != nil {
			cl.t.Fatalf("open replica %s: %v", h, err)
		}
		groups[h] = g
	}
	for h, g := range groups {
		network.Connect(h, g.Deliver)
		wg.Go(func() { _ = g.Serve(ctx) })
	}
	var first []byte
	for _, h := range hosts {
		cl.await("a read at "+string(h), func() bool { return groups[h].ReadBarrier(ctx) == nil })
		b, err := machines[h].Snapshot()
		if err != nil {
			cl.t.Fatal(err)
		}
		if first != nil && !bytes.Equal(first, b) {
			cl.t.Fatalf("the state of %s differs from that of %s", h, hosts[0])
		}
		first = b
	}
	image, err := wire.DecodeStateSnapshot(first)
	if err != nil {
		cl.t.Fatal(err)
	}
	return image
}
