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
	plainRequests = 120
	plainCallers  = 4 // at each gateway
	// faultyServers of the five servers are a share of 0.6. Each spoils at most maxSpoiled of its
	// answers. Both are the doses of the site file.
	faultyServers = 3
	maxSpoiled    = 0.03
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
	answers, spoiled := map[string]int{}, map[string]int{} // by server
	faulty := map[string]bool{}
	spoils := func(server string) bool { // the first servers that get a stream are the faulty ones
		if len(faulty) < faultyServers {
			faulty[server] = true
		}
		if !faulty[server] || float64(spoiled[server]+1) > maxSpoiled*float64(answers[server]) {
			return false
		}
		spoiled[server]++
		return true
	}
	first, second := map[string]string{}, map[string]string{}
	broken := map[string]time.Time{}
	s := &streamServers{d: d, decide: func(server, id string) action {
		mu.Lock()
		defer mu.Unlock()
		answers[server]++
		if id == "" {
			return runAll
		}
		switch {
		case first[id] == "":
			first[id], broken[id] = server, time.Now().Add(6*eventPause)
			if trouble && spoils(server) {
				return breakOff
			}
			return runAll
		case second[id] == "" && server != first[id]:
			second[id] = server
			if extra && spoils(server) {
				return refuse2
			}
			return refuse
		case server != second[id] && time.Since(broken[id]) < fullTime:
			return refuse
		}
		return runAll
	}}
	for i, zone := range []string{"zone-a", "zone-b", "zone-c", "zone-a", "zone-b"} {
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
	mu.Lock()
	for server, n := range answers {
		d.record.linef("server %s spoiled %d of %d answers, %.4f of them", server, spoiled[server], n, float64(spoiled[server])/float64(n))
	}
	mu.Unlock()
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
