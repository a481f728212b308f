package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// lingerTime is how long the leaving server serves after its deregistration has been
	// acknowledged: the drain time and "a little longer (at times many seconds)".
	lingerTime = 14 * time.Second
	// beatDelay is how late the last heartbeat of the leaving server arrives: "seconds late".
	beatDelay = 3 * time.Second
)

// startAll starts all machines, two servers and the clients, and waits until all gateways serve and
// all machines have been in touch for a while.
func startAll(d *deployment) (leaving, staying *server, c *clients, err error) {
	if err := d.start(true, d.machines()...); err != nil {
		return nil, nil, nil, fmt.Errorf("%w: %w", errNoRun, err)
	}
	if err := d.replace(7); err != nil {
		return nil, nil, nil, err
	}
	if leaving, err = newServer(d, "i-leaving", "zone-a", 30); err != nil {
		return nil, nil, nil, err
	}
	if staying, err = newServer(d, "i-staying", "zone-b", 31); err != nil {
		return nil, nil, nil, err
	}
	for _, m := range d.machines() {
		if !until(15*time.Second, func() bool { return d.readyStatus(m) == http.StatusOK }) {
			return nil, nil, nil, fmt.Errorf("%w: %s is not ready", errNoRun, m.name)
		}
	}
	c = startClients(d, 20)
	time.Sleep(d.contact + 2*time.Second)
	if len(leaving.list()) == 0 || len(staying.list()) == 0 {
		return nil, nil, nil, fmt.Errorf("%w: a server gets no requests", errNoRun)
	}
	return leaving, staying, c, nil
}

// forgottenDeregistration has a server deregister, kills all processes of the machines with a disk
// and starts them again within a second. A heartbeat that the server sent before the
// deregistration arrives late. The rule DRAIN is broken if a request reaches the server later
// than the drain time after the acknowledgement, through a machine that is in touch.
func forgottenDeregistration(d *deployment, trouble bool) (bool, error) {
	leaving, _, c, err := startAll(d)
	if err != nil {
		return false, err
	}
	leaving.stopBeats()
	late := leaving.beat("ready") // on its way from here on
	acknowledged, by, err := leaving.deregister()
	if err != nil {
		return false, err
	}
	time.AfterFunc(beatDelay-time.Since(acknowledged), func() {
		status := d.post(d.core[1], wire["heartbeat"]+leaving.id, late)
		d.record.linef("server %s: a heartbeat from before the deregistration arrives at %s: status %d", leaving.id, d.core[1].name, status)
	})
	stable := acknowledged
	if trouble {
		time.Sleep(500 * time.Millisecond)
		d.kill(d.core...)
		time.Sleep(300 * time.Millisecond)
		if err := d.start(false, d.core...); err != nil {
			return false, fmt.Errorf("%w: %w", errNoRun, err)
		}
		stable = time.Now()
	}
	time.Sleep(time.Until(acknowledged.Add(lingerTime)))
	_ = leaving.http.Close()
	d.record.linef("server %s ends", leaving.id)

	// A machine counts if it was in touch when it took the request and when it sent it on.
	inTouch := stable
	if trouble {
		inTouch = stable.Add(d.contact + 500*time.Millisecond)
	}
	broken := 0
	var last time.Time
	for _, a := range leaving.list() {
		r, ok := c.request(a.id)
		if !ok || !a.ran || !a.at.After(acknowledged.Add(d.drain)) {
			continue
		}
		d.record.linef("%s ran at the server %.3f s after %s had acknowledged its deregistration; sent %.3f s after it to %s, in touch from %.3f s on",
			a.id, a.at.Sub(acknowledged).Seconds(), by.name, r.at.Sub(acknowledged).Seconds(), r.gateway.name, inTouch.Sub(acknowledged).Seconds())
		if r.at.After(inTouch) {
			broken++
			last = a.at
		}
	}
	d.record.linef("%d requests broke the rule, the last %.3f s after the acknowledgement", broken, max(0, last.Sub(acknowledged).Seconds()))
	return broken > 0, nil
}
