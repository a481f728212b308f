package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	judgedStreams = 6 // at each gateway
	// fullTime is how long the third server is full.
	fullTime = 100 * time.Millisecond
	// plainRequests is the number of requests before each stream, which add to the number of
	// repeats that the gateway may make.
	plainRequests = 80
	plainCallers  = 4 // at each gateway
)

// overlapLimit is how long a replica may still work on a request that goes on at another one.
const overlapLimit = 400 * time.Millisecond

// secondRefusal has streams break off. The next server is full, and if it is faulty, sends this
// refusal twice: the second one arrives where the response to its next request on the connection is
// expected. The third server is full for a moment. The rule TWICE is broken if a server still
// works on the request 400 ms after it has gone on at another one.
func secondRefusal(d *deployment, trouble bool) (bool, error) {
	if err := d.start(true, d.machines()...); err != nil {
		return false, fmt.Errorf("%w: %w", errNoRun, err)
	}
	if err := d.replace(7); err != nil {
		return false, err
	}
	extra := trouble && os.Getenv("TROUBLE") != "break"
	var mu sync.Mutex
	faulty := map[string]bool{}
	isFaulty := func(server string) bool { // two of the three servers: the first ones that get a stream
		if len(faulty) < 2 {
			faulty[server] = true
		}
		return faulty[server]
	}
	first, second := map[string]string{}, map[string]string{}
	broken := map[string]time.Time{}
	spoiled := 0 // answers that broke off or were sent twice
	s := &streamServers{d: d, decide: func(server, id string) action {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case first[id] == "":
			first[id], broken[id] = server, time.Now().Add(6*eventPause)
			if trouble && isFaulty(server) {
				spoiled++
				return breakOff
			}
			return runAll
		case second[id] == "" && server != first[id]:
			second[id] = server
			if extra && isFaulty(server) {
				spoiled++
				return refuse2
			}
			return refuse
		case server != second[id] && time.Since(broken[id]) < fullTime:
			return refuse
		}
		return runAll
	}}
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if err := s.add(fmt.Sprintf("i-%d", i+1), zone, 30+i); err != nil {
			return false, fmt.Errorf("%w: %w", errNoRun, err)
		}
	}
	for _, m := range d.machines() {
		if !until(15*time.Second, func() bool { return d.readyStatus(m) == http.StatusOK }) {
			return false, fmt.Errorf("%w: %s is not ready", errNoRun, m.name)
		}
	}
	time.Sleep(12 * time.Second) // until a gateway may repeat requests
	c := &clients{d: d, sent: make(map[string]sentRequest), bodies: make(map[string]string)}
	var callers sync.WaitGroup
	for _, m := range d.machines() {
		callers.Go(func() {
			for range judgedStreams {
				var plain sync.WaitGroup
				for range plainRequests / plainCallers {
					for range plainCallers {
						plain.Go(func() { c.send(m, "read") })
					}
					plain.Wait()
				}
				time.Sleep(3 * time.Second) // until idle connections have been closed
				c.send(m, "stream")
			}
		})
	}
	callers.Wait()
	count := 0
	for id, r := range c.all() {
		if !strings.HasPrefix(c.bodies[id], "id:") {
			continue
		}
		ids, err := events(c.bodies[id], id)
		d.record.linef("%s: status %d, %d events, %v", id, r.status, len(ids), err)
	}
	d.record.linef("%d of %d answers were spoiled", spoiled, len(c.all()))
	runs := s.list()
	for _, x := range runs {
		for _, y := range runs {
			if y.id != x.id || !y.start.After(x.start) || y.server == x.server {
				continue
			}
			if late := y.start.Add(overlapLimit); x.end.IsZero() || x.end.After(late) {
				count++
				d.record.linef("%s: goes on at %s, and %s still works on it %.3f s later", x.id, y.server, x.server, x.end.Sub(y.start).Seconds())
			}
		}
	}
	return count > 0, nil
}
