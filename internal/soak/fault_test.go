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

// fault injects one fault; what ends it later runs beside.
func (r *run) fault(random *rand.Rand, pending *sync.WaitGroup) {
	kind := random.IntN(18)
	pause := time.Duration(200+random.IntN(1800)) * time.Millisecond
	gateway, replica := r.gateways[random.IntN(len(r.gateways))], r.replicas[random.IntN(registries)]
	target, share := random.IntN(16), 5+random.IntN(40)
	note := func(what string, p *process) {
		name := ""
		if p != nil {
			name = p.name
			r.mu.Lock()
			r.hits = append(r.hits, time.Now())
			r.mu.Unlock()
		}
		r.faults = append(r.faults, fmt.Sprintf("%s %s %s for %v", time.Now().Format("05.000"), what, name, pause))
	}
	switch kind {
	case 0:
		note("kill", gateway)
		r.restart(gateway, syscall.SIGKILL, pause, pending)
	case 1:
		note("stop", gateway)
		r.restart(gateway, syscall.SIGTERM, pause, pending)
	case 2:
		note("pause", gateway)
		r.pause(gateway, pause, pending)
	case 3:
		note("kill", replica)
		r.restart(replica, syscall.SIGKILL, pause, pending)
	case 4:
		note("stop", replica)
		r.restart(replica, syscall.SIGTERM, pause, pending)
	case 5:
		note("pause", replica)
		r.pause(replica, pause, pending)
	case 6, 7:
		r.mu.Lock()
		version, withKey2 := uint64(len(r.sent)+1), r.gone
		r.mu.Unlock()
		note(fmt.Sprint("document ", version), nil)
		pending.Go(func() { r.put(version, withKey2) })
	case 8, 9:
		if m := r.pick(target, 1); m != nil {
			b := standin.Behaviour{Work: 10 * time.Millisecond}
			*[]*int{&b.RejectPercent, &b.ResetPercent, &b.TruncatePercent, &b.ExtraPercent}[random.IntN(4)] = share
			note(fmt.Sprintf("target %s behaves %+v", m.Name, b), nil)
			m.SetBehaviour(b)
			pending.Go(func() { time.Sleep(pause); m.SetBehaviour(standin.Behaviour{Work: 10 * time.Millisecond}) })
		}
	case 10:
		if m := r.pick(target, 1); m != nil {
			f := []fake.ProxyFaults{{Refuse: true}, {Hold: true}, {Delay: 50 * time.Millisecond}}[random.IntN(3)]
			note(fmt.Sprintf("connections to %s %+v", m.Name, f), nil)
			if f.Refuse {
				m.proxy.CloseConnections()
			}
			m.proxy.UpdateFaults(func(x *fake.ProxyFaults) { *x = f })
			pending.Go(func() { time.Sleep(pause); m.proxy.UpdateFaults(func(x *fake.ProxyFaults) { *x = fake.ProxyFaults{} }) })
		}
	case 12, 13:
		f := []fake.ProxyFaults{{Refuse: true}, {Hold: true}, {HoldTo: true}, {HoldFrom: true}, {Delay: 80 * time.Millisecond}}[random.IntN(5)]
		note(fmt.Sprintf("links %+v", f), replica)
		if f.Refuse {
			replica.proxy.CloseConnections()
		}
		replica.proxy.UpdateFaults(func(x *fake.ProxyFaults) { *x = f })
		pending.Go(func() { time.Sleep(pause); r.clearLinks(replica) })
	case 14:
		note("open links fall silent", replica)
		replica.proxy.HoldOpenConnections()
	case 15:
		tail := make([]byte, 1+random.IntN(tornBytes))
		for i := range tail {
			tail[i] = byte(random.UintN(256))
		}
		note(fmt.Sprintf("kill in a write, %d bytes torn", len(tail)), replica)
		r.restart(replica, syscall.SIGKILL, pause, pending, func() error { return replica.tear(tail) })
	case 16:
		if now := time.Now(); now.After(r.wipeable) {
			r.wipeable = now.Add(pause + recovery + catchUp)
			note("lose the disk", replica)
			r.restart(replica, syscall.SIGKILL, pause, pending, func() error {
				r.write(replica, replica.formed)
				return os.RemoveAll(replica.dir)
			})
		}
	case 17:
		note("kill with all other replicas", replica)
		for _, p := range r.replicas {
			r.restart(p, syscall.SIGKILL, pause, pending)
		}
	case 11:
		if m := r.pick(target, 2); m != nil {
			note("drain "+m.Name, nil)
			r.addTarget(r.roll)
			r.drain(m)
			r.drains = append(r.drains, drained{m})
		}
	}
}

// clearLinks ends the faults of the links of a replica. Those that fell silent
// stay so.
func (r *run) clearLinks(replica *process) {
	replica.proxy.UpdateFaults(func(x *fake.ProxyFaults) { *x = fake.ProxyFaults{} })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hits = append(r.hits, time.Now())
}

// restart ends a process by a signal and starts it again, after what is done to
// its files in the meantime.
func (r *run) restart(p *process, s syscall.Signal, pause time.Duration, pending *sync.WaitGroup, meanwhile ...func() error) {
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
			running = true // another fault has started it
		}
		p.mu.Unlock()
		if !running {
			for _, f := range meanwhile {
				if err := f(); err != nil {
					r.t.Errorf("%s: %v", p.name, err)
				}
			}
			r.start(p)
		}
		r.mu.Lock()
		r.hits = append(r.hits, time.Now())
		r.mu.Unlock()
	})
}

func (r *run) pause(p *process, pause time.Duration, pending *sync.WaitGroup) {
	p.signal(syscall.SIGSTOP)
	pending.Go(func() {
		time.Sleep(pause)
		p.signal(syscall.SIGCONT)
		r.mu.Lock()
		r.hits = append(r.hits, time.Now())
		r.mu.Unlock()
	})
}
