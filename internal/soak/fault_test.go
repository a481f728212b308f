package soak_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"papayarock/internal/fake"
	"papayarock/platform/standin"
)

// injectFault injects one fault. The goroutine that ends it is added to pending.
func (r *run) injectFault(random *rand.Rand, pending *sync.WaitGroup) {
	kind := random.IntN(18)
	pause := time.Duration(200+random.IntN(1800)) * time.Millisecond
	gateway, replica := r.gateways[random.IntN(len(r.gateways))], r.replicas[random.IntN(registries)]
	target, share := random.IntN(16), 5+random.IntN(40)
	record := func(description string, p *process) {
		name := ""
		if p != nil {
			name = p.name
			r.mu.Lock()
			r.processFaults = append(r.processFaults, time.Now())
			r.mu.Unlock()
		}
		r.faults = append(r.faults, fmt.Sprintf("%s %s %s for %v", time.Now().Format("05.000"), description, name, pause))
	}
	switch kind {
	case 0:
		record("kill", gateway)
		r.restart(gateway, syscall.SIGKILL, pause, pending)
	case 1:
		record("stop", gateway)
		r.restart(gateway, syscall.SIGTERM, pause, pending)
	case 2:
		record("pause", gateway)
		r.pause(gateway, pause, pending)
	case 3:
		record("kill", replica)
		r.restart(replica, syscall.SIGKILL, pause, pending)
	case 4:
		record("stop", replica)
		r.restart(replica, syscall.SIGTERM, pause, pending)
	case 5:
		record("pause", replica)
		r.pause(replica, pause, pending)
	case 6, 7:
		r.mu.Lock()
		version, withKey2 := uint64(len(r.sent)+1), r.key2Withdrawn
		r.mu.Unlock()
		record(fmt.Sprint("document ", version), nil)
		pending.Go(func() { r.putDocument(version, withKey2) })
	case 8, 9:
		if m := r.pick(target, 1); m != nil {
			b := standin.Behaviour{Work: 10 * time.Millisecond}
			*[]*int{&b.RejectPercent, &b.ResetPercent, &b.TruncatePercent, &b.ExtraPercent}[random.IntN(4)] = share
			record(fmt.Sprintf("target %s behaves %+v", m.Name, b), nil)
			m.SetBehaviour(b)
			pending.Go(func() { time.Sleep(pause); m.SetBehaviour(standin.Behaviour{Work: 10 * time.Millisecond}) })
		}
	case 10:
		if m := r.pick(target, 1); m != nil {
			f := []fake.ProxyFaults{{Refuse: true}, {Hold: true}, {Delay: 50 * time.Millisecond}}[random.IntN(3)]
			record(fmt.Sprintf("connections to %s %+v", m.Name, f), nil)
			if f.Refuse {
				m.proxy.CloseConnections()
			}
			m.proxy.UpdateFaults(func(x *fake.ProxyFaults) { *x = f })
			pending.Go(func() { time.Sleep(pause); m.proxy.UpdateFaults(func(x *fake.ProxyFaults) { *x = fake.ProxyFaults{} }) })
		}
	case 12, 13:
		f := []fake.ProxyFaults{{Refuse: true}, {Hold: true}, {HoldTo: true}, {HoldFrom: true}, {Delay: 80 * time.Millisecond}}[random.IntN(5)]
		record(fmt.Sprintf("links %+v", f), replica)
		if f.Refuse {
			replica.proxy.CloseConnections()
		}
		replica.proxy.UpdateFaults(func(x *fake.ProxyFaults) { *x = f })
		pending.Go(func() { time.Sleep(pause); r.clearLinks(replica) })
	case 14:
		record("open links stop responding", replica)
		replica.proxy.HoldOpenConnections()
	case 15:
		tail := make([]byte, 1+random.IntN(maxTornBytes))
		for i := range tail {
			tail[i] = byte(random.UintN(256))
		}
		record(fmt.Sprintf("kill during a write, %d torn bytes", len(tail)), replica)
		r.restart(replica, syscall.SIGKILL, pause, pending, func() error { return replica.appendTornWrite(tail) })
	case 16:
		if now := time.Now(); now.After(r.nextDataLoss) {
			r.nextDataLoss = now.Add(pause + recoveryTimeout + catchUpTime)
			record("lose the data directory", replica)
			r.restart(replica, syscall.SIGKILL, pause, pending, func() error {
				r.write(replica, replica.joinSettings)
				return os.RemoveAll(replica.dir)
			})
		}
	case 17:
		record("kill with all other replicas", replica)
		for _, p := range r.replicas {
			r.restart(p, syscall.SIGKILL, pause, pending)
		}
	case 11:
		if m := r.pick(target, 2); m != nil {
			record("drain "+m.Name, nil)
			r.addTarget(r.randomPercent)
			r.drain(m)
			r.drains = append(r.drains, drained{m})
		}
	}
}

// clearLinks ends the faults of a replica's links. Connections that were made
// unresponsive (HoldOpenConnections) stay so.
func (r *run) clearLinks(replica *process) {
	replica.proxy.UpdateFaults(func(x *fake.ProxyFaults) { *x = fake.ProxyFaults{} })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processFaults = append(r.processFaults, time.Now())
}

// restart ends a process by a signal, calls the functions in beforeStart, which may
// change its files, and starts it again after a pause.
func (r *run) restart(p *process, s syscall.Signal, pause time.Duration, pending *sync.WaitGroup, beforeStart ...func() error) {
	p.signal(syscall.SIGCONT)
	p.signal(s)
	pending.Go(func() {
		p.wait()
		time.Sleep(pause)
		p.mu.Lock()
		running := false
		select {
		case <-p.done:
		default:
			running = true // started by another fault
		}
		p.mu.Unlock()
		if !running {
			for _, f := range beforeStart {
				if err := f(); err != nil {
					r.t.Errorf("%s: %v", p.name, err)
				}
			}
			r.start(p)
		}
		r.mu.Lock()
		r.processFaults = append(r.processFaults, time.Now())
		r.mu.Unlock()
	})
}

func (r *run) pause(p *process, pause time.Duration, pending *sync.WaitGroup) {
	p.signal(syscall.SIGSTOP)
	pending.Go(func() {
		time.Sleep(pause)
		p.signal(syscall.SIGCONT)
		r.mu.Lock()
		r.processFaults = append(r.processFaults, time.Now())
		r.mu.Unlock()
	})
}
