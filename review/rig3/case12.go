package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// learnerReplacements is how often the machine is replaced whose registry replica does not
	// vote.
	learnerReplacements = 27
	// replacementInterval is the time between the starts of two successors. Each one has run for
	// the catch-up time before the machine that it replaces is stopped.
	replacementInterval = 400 * time.Millisecond
	// pause is the time without any disruption before the last round. It is longer than a gateway
	// remembers a replica that is not a member any more.
	pause = 62 * time.Second
	// judgedTime is for how long requests are sent after the last manifest.
	judgedTime = 5500 * time.Millisecond
)

// replaced runs the planned replacement of a machine with a disk: the successor starts with an
// empty disk at a new address and runs for the catch-up time, then the old one gets SIGTERM.
func (d *deployment) replaced(old, successor *machine) error {
	if err := d.start(false, successor); err != nil {
		return err
	}
	time.Sleep(d.catchUp)
	d.record.linef("SIGTERM to %s, which %s replaces", old.name, successor.name)
	for _, p := range old.processes() {
		p.signal(syscall.SIGTERM)
	}
	kill := time.AfterFunc(grace, func() {
		for _, p := range old.processes() {
			p.signal(syscall.SIGKILL)
		}
	})
	defer kill.Stop()
	for _, p := range old.processes() {
		p.wait()
		d.record.linef("%s has ended", p.name)
	}
	return nil
}

// deadLearners replaces the machine whose registry replica does not vote again and again, in a
// planned way, and then each of the others once. Without the trouble it does only the latter. The
// rule CONFIG is broken if a gateway that is in touch still answers by the old manifest later than
// config_apply_ms after the acknowledgement of a new one.
func deadLearners(d *deployment, trouble bool) (bool, error) {
	fail := func(err error) (bool, error) { return false, fmt.Errorf("%w: %w", errNoRun, err) }
	if err := d.start(true, d.machines()...); err != nil {
		return fail(err)
	}
	if err := d.replace(7); err != nil {
		return false, err
	}
	if _, err := newServer(d, "i-1", "zone-a", 250); err != nil {
		return fail(err)
	}
	for _, m := range d.machines() {
		if !until(15*time.Second, func() bool { return d.readyStatus(m) == http.StatusOK }) {
			return false, fmt.Errorf("%w: %s is not ready", errNoRun, m.name)
		}
	}
	next := 100 // last part of the address of the next new machine
	newCore := func() *machine {
		m := d.newMachine(fmt.Sprintf("edge-%c-%d", 'a'+next%6, next), next, true)
		next++
		return m
	}
	var running sync.WaitGroup
	errs := make(chan error, 100)
	begin := func(old, successor *machine) {
		running.Go(func() {
			if err := d.replaced(old, successor); err != nil {
				errs <- err
			}
		})
	}
	if trouble {
		learner := d.learner()
		if learner < 0 {
			return false, fmt.Errorf("%w: no replica is a learner", errNoRun)
		}
		for range learnerReplacements {
			old, successor := d.core[learner], newCore()
			begin(old, successor)
			d.setCore(learner, successor)
			time.Sleep(replacementInterval)
		}
		running.Wait()
		d.record.linef("learners of the log: %s", d.metric(d.core[0], "papayarock_registry_learners"))
		time.Sleep(pause)
	}
	// The last round replaces each machine once, all at the same time.
	for i, old := range d.core {
		successor := newCore()
		begin(old, successor)
		d.setCore(i, successor)
		time.Sleep(100 * time.Millisecond)
	}
	running.Wait()
	select {
	case err := <-errs:
		return fail(err)
	default:
	}
	d.record.linef("all machines with a disk have been replaced; voters of the log: %s, learners: %s",
		d.metric(d.core[0], "papayarock_registry_voters"), d.metric(d.core[0], "papayarock_registry_learners"))
	time.Sleep(d.contact + 500*time.Millisecond) // from now on the machines are in touch again
	if err := d.replace(8); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	c := &clients{d: d, sent: make(map[string]sentRequest)}
	late := map[string]int{}
	for time.Since(acknowledged) < judgedTime {
		time.Sleep(500 * time.Millisecond)
		for _, m := range d.outer {
			sent := time.Since(acknowledged)
			if status := c.send(m, "v8"); status == http.StatusNotFound && sent > d.configApply {
				late[m.name]++
				d.record.linef("%s knows no route of manifest 8, %.3f s after its acknowledgement", m.name, sent.Seconds())
			}
		}
	}
	return len(late) > 0, nil
}
