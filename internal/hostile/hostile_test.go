package hostile_test

import (
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// Guards against clients that exhaust the memory or the descriptors of a process. On one
// gateway, 300 connections that each held 60 KB of a head took 106 MB, and each further one
// 0.2 MB, with no bound below the limit of descriptors.
func TestHostileClients(t *testing.T) {
	binary := buildBinary(t)
	for _, name := range slices.Sorted(maps.Keys(deployment{&process{}, &process{}}.ports())) {
		for _, kind := range slices.Sorted(maps.Keys(behaviours)) {
			t.Run(name+"/"+kind, func(t *testing.T) {
				d := newDeployment(t, binary)
				attack(t, d.ports()[name], behaviours[kind].clients, behaviours[kind].run)
				d.requireAnswers()
			})
		}
	}
}

// attack runs hostile clients at one port and checks the bounds of its process.
func attack(t *testing.T, p port, clients int, run behaviour) {
	stop := make(chan struct{})
	descriptors := make(chan int, 1)
	go func() {
		most := 0
		defer func() { descriptors <- most }()
		for {
			select {
			case <-stop:
				most = max(most, p.process.descriptors())
				return
			default:
			}
			most = max(most, p.process.descriptors())
			select {
			case <-stop:
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	_, before := p.process.memoryKB()
	conns := make([]net.Conn, clients)
	var group sync.WaitGroup
	for i := range conns {
		group.Go(func() {
			c, err := (&net.Dialer{Timeout: clientTimeout}).Dial("tcp", p.address.String())
			if err != nil {
				return // refused, which a process may do
			}
			conns[i] = c
			run(c, p)
		})
	}
	group.Wait()
	now, peak := p.process.memoryKB()
	close(stop)
	most := <-descriptors
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
	t.Logf("clients=%d memory-before=%d KiB memory=%d KiB peak=%d KiB descriptors=%d", clients, before, now, peak, most)
	if !p.process.alive() {
		t.Fatal("the process has ended")
	}
	if peak > maxMemoryKB {
		t.Errorf("peak of the memory is %d KiB, the bound is %d KiB", peak, maxMemoryKB)
	}
	if limit := descriptorLimit - reservedDescriptors; most > limit {
		t.Errorf("%d descriptors were open, the bound is %d", most, limit)
	}
}
