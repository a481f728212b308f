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

// machine is the replicated state without the rest of a control replica.
type machine struct {
	t  testing.TB
	mu sync.Mutex
	m  *state.Machine
}

func (m *machine) Apply(index, term uint64, command []byte) any {
	c, err := wire.DecodeCommand(command)
	if err != nil {
		m.t.Errorf("entry %d: %v", index, err)
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.m.EnterTerm(term)
	return m.m.Apply(index, c)
}

func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return wire.EncodeImage(m.m.Snapshot())
}

func (m *machine) Restore(b []byte) error {
	image := &state.Snapshot{}
	if len(b) > 0 {
		var err error
		if image, err = wire.DecodeImage(b); err != nil {
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.m = state.New()
	m.m.Restore(image)
	return nil
}

// finalState opens the data directories of killed replicas as one group, lets
// each catch up, and returns their state, which must be the same byte for byte.
func (r *rig) finalState(hosts ...fleet.Host) *state.Snapshot {
	r.t.Helper()
	network := &fake.Network{}
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	groups, machines := make(map[fleet.Host]*replica.Group), make(map[fleet.Host]*machine)
	for _, h := range hosts {
		machines[h] = &machine{t: r.t, m: state.New()}
		g, err := replica.New(replica.Options{
			Self: h, Members: r.hosts, Dir: r.data(h), Machine: machines[h], Transport: network.Endpoint(h), Log: hclog.NewNullLogger(),
		})
		if err != nil {
			r.t.Fatalf("open %s: %v", h, err)
		}
		groups[h] = g
	}
	for h, g := range groups {
		network.Connect(h, g.Deliver)
		wg.Go(func() { _ = g.Serve(ctx) })
	}
	var first []byte
	for _, h := range hosts {
		r.await("a read at "+string(h), func() bool { return groups[h].Read(ctx) == nil })
		b, err := machines[h].Snapshot()
		if err != nil {
			r.t.Fatal(err)
		}
		if first != nil && !bytes.Equal(first, b) {
			r.t.Fatalf("the state of %s differs from that of %s", h, hosts[0])
		}
		first = b
	}
	image, err := wire.DecodeImage(first)
	if err != nil {
		r.t.Fatal(err)
	}
	return image
}
