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

// injectFault injects one random fault. The goroutine that ends it is added to
// pending. injectFault must not be called concurrently.
func (r *soakRun) injectFault(random *rand.Rand, pending *sync.WaitGroup) {
	kind := random.IntN(18)
	pause := time.Duration(200+random.IntN(1800)) * time.Millisecond
	gateway, replica := r.gateways[random.IntN(len(r.gateways))], r.replicas[random.IntN(registryReplicas)]
	targetNumber, percent := random.IntN(16), 5+random.IntN(40)
	// record logs the fault. p is the process concerned, or nil if the fault affects
	// no process of the product.
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
		record(fmt.Sprint("replace the document by version ", version), nil)
		pending.Go(func() { r.putDocument(version, withKey2) })
	case 8, 9:
		if target := r.pickTarget(targetNumber, 1); target != nil {
			b := standin.Behaviour{Duration: 10 * time.Millisecond}
			*[]*int{&b.RejectPercent, &b.ResetPercent, &b.TruncatePercent, &b.ExtraPercent}[random.IntN(4)] = percent
			record(fmt.Sprintf("set the behaviour of target %s to %+v", target.Name, b), nil)
			target.SetBehaviour(b)
			pending.Go(func() { time.Sleep(pause); target.SetBehaviour(standin.Behaviour{Duration: 10 * time.Millisecond}) })
		}
	case 10:
		if target := r.pickTarget(targetNumber, 1); target != nil {
			f := []fake.ProxyFaults{{Refuse: true}, {Hold: true}, {Delay: 50 * time.Millisecond}}[random.IntN(3)]
			record(fmt.Sprintf("disturb connections to target %s: %+v", target.Name, f), nil)
			if f.Refuse {
				target.proxy.CloseConnections()
			}
			target.proxy.UpdateFaults(func(x *fake.ProxyFaults) { *x = f })
			pending.Go(func() {
				time.Sleep(pause)
				target.proxy.UpdateFaults(func(x *fake.ProxyFaults) { *x = fake.ProxyFaults{} })
			})
		}
	case 12, 13:
		f := []fake.ProxyFaults{{Refuse: true}, {Hold: true}, {HoldTo: true}, {HoldFrom: true}, {Delay: 80 * time.Millisecond}}[random.IntN(5)]
		record(fmt.Sprintf("disturb links: %+v", f), replica)
		if f.Refuse {
			replica.proxy.CloseConnections()
		}
		replica.proxy.UpdateFaults(func(x *fake.ProxyFaults) { *x = f })
		pending.Go(func() { time.Sleep(pause); r.clearLinks(replica) })
	case 14:
		record("hold the open links permanently", replica)
		replica.proxy.HoldOpenConnections()
	case 15:
		tail := make([]byte, 1+random.IntN(maxTornBytes))
		for i := range tail {
			tail[i] = byte(random.UintN(256))
		}
		record(fmt.Sprintf("kill and append a torn write of %d bytes", len(tail)), replica)
		r.restart(replica, syscall.SIGKILL, pause, pending, func() error { return replica.appendTornWrite(tail) })
	case 16:
		// The settings tolerate the loss of one replica (losses = 1), so a lost one must
		// have caught up before the next is lost.
		if now := time.Now(); now.After(r.nextDataLoss) {
			r.nextDataLoss = now.Add(pause + recoveryTimeout + catchUpTime)
			record("lose the data directory", replica)
			r.restart(replica, syscall.SIGKILL, pause, pending, func() error {
				r.writeSettings(replica, replica.joinSettings)
				return os.RemoveAll(replica.dir)
			})
		}
	case 17:
		record("kill with all other replicas", replica)
		for _, p := range r.replicas {
			r.restart(p, syscall.SIGKILL, pause, pending)
		}
	case 11:
		if target := r.pickTarget(targetNumber, 2); target != nil {
			quietly := r.extended && percent%2 == 0
			record(fmt.Sprintf("drain target %s, quietly: %v", target.Name, quietly), nil)
			r.addTarget(r.randomPercent)
			r.drain(target, quietly)
			r.drains = append(r.drains, drainedTarget{target, quietly})
		}
	}
}

// clearLinks ends the faults of a replica's links and records the time, from which
// faultGrace counts. Connections held by HoldOpenConnections stay held.
func (r *soakRun) clearLinks(replica *process) {
	replica.proxy.UpdateFaults(func(x *fake.ProxyFaults) { *x = fake.ProxyFaults{} })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processFaults = append(r.processFaults, time.Now())
}

// restart ends a process by a signal and starts it again after a pause. Before the
// start it calls beforeStart, which may change the files of the process.
func (r *soakRun) restart(p *process, s syscall.Signal, pause time.Duration, pending *sync.WaitGroup, beforeStart ...func() error) {
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
			running = true // started by another call of restart
		}
		p.mu.Unlock()
		if !running {
			for _, f := range beforeStart {
				if err := f(); err != nil {
					r.t.Errorf("change files of %s before its restart: %v", p.name, err)
				}
			}
			r.start(p)
		}
		r.mu.Lock()
		r.processFaults = append(r.processFaults, time.Now())
		r.mu.Unlock()
	})
}

// pause stops a process by SIGSTOP and resumes it after a pause.
func (r *soakRun) pause(p *process, pause time.Duration, pending *sync.WaitGroup) {
	p.signal(syscall.SIGSTOP)
	pending.Go(func() {
		time.Sleep(pause)
		p.signal(syscall.SIGCONT)
		r.mu.Lock()
		r.processFaults = append(r.processFaults, time.Now())
		r.mu.Unlock()
	})
}
