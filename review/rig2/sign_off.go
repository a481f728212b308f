package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// signOff has a server deregister at the replica of machine 0, whose processes are then
// killed and start again. The server serves on for a time and exits. No request may reach
// it later than drainTime after the acknowledgement through a machine in touch.
func signOff(r *rig) (int, error) {
	const (
		servers   = 6                     // one of them leaves: a share of 0.167
		period    = 10 * time.Millisecond // between the requests to one gateway
		killAfter = 200 * time.Millisecond
		downTime  = 500 * time.Millisecond
		servesOn  = 5600 * time.Millisecond // 3.1 s longer than drain_ms
	)
	var list []*server
	for i := range servers {
		// Each call picks among the replicas: one after the other.
		s, err := r.newServer(i, 150*time.Millisecond, func(n int) int { return n + 1 })
		if err != nil {
			return failed, err
		}
		defer s.exit()
		list = append(list, s)
	}
	if err := r.prepare(); err != nil {
		return failed, err
	}
	time.Sleep(3 * heartbeatTime) // all replicas have heard of all servers
	var mu sync.Mutex
	var outcomes []outcome
	var clients sync.WaitGroup
	stop := make(chan struct{})
	started := make([]time.Time, replicas) // start of the gateways that were killed
	for g := range replicas {
		clients.Go(func() {
			c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(period):
				}
				id := fmt.Sprintf("g%d-%d", g, n)
				clients.Go(func() {
					o := r.send(c, g, "/order/", id)
					mu.Lock()
					defer mu.Unlock()
					outcomes = append(outcomes, o)
				})
			}
		})
	}
	time.Sleep(2 * time.Second)
	leaving := list[0]
	for n := 0; ; n++ { // the last heartbeat went to another replica than that of machine 0
		leaving.mu.Lock()
		beats, last := leaving.beats, leaving.lastBeat
		leaving.mu.Unlock()
		if beats%replicas != 0 && time.Since(last) < 100*time.Millisecond {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	leaving.stopBeats()
	status, _ := call(r.ctx, http.MethodPost, r.operators[0], names["deregister"]+leaving.id, nil)
	acked := time.Now()
	r.printf("%s: deregistration answered %d by registry-0", leaving.id, status)
	if status != http.StatusOK {
		return failed, fmt.Errorf("deregistration answered %d", status)
	}
	time.AfterFunc(time.Until(acked.Add(servesOn)), leaving.exit)
	if r.trouble {
		time.Sleep(time.Until(acked.Add(killAfter)))
		r.killMachine(0)
		time.Sleep(downTime)
		if err := r.startMachine(0); err != nil {
			return failed, err
		}
		started[0] = time.Now()
	}
	time.Sleep(time.Until(acked.Add(servesOn + time.Second)))
	close(stop)
	clients.Wait()
	return r.judgeSignOff(leaving, acked, started[0], outcomes), nil
}

// judgeSignOff returns the exit code by the requests that have reached a server after it
// has deregistered. Machines are in touch once contact has passed since the start of
// machine 0; this also covers the core.
func (r *rig) judgeSignOff(s *server, acked, restarted time.Time, outcomes []outcome) int {
	sent := make(map[string]outcome)
	for _, o := range outcomes {
		sent[o.id] = o
	}
	touchFrom := restarted.Add(contact)
	late, counted, unanswered := 0, 0, 0
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.at.Sub(acked) <= drainTime {
			continue
		}
		late++
		o := sent[a.id]
		r.printf("late: %s from gateway-%d reached %s %.3f s after the acknowledgement, answered %d", a.id, o.gateway, s.id, a.at.Sub(acked).Seconds(), o.status)
		if o.sent.After(touchFrom) {
			counted++
			if o.status != http.StatusOK {
				unanswered++
			}
		}
	}
	answered := make(map[int]int)
	for _, o := range outcomes {
		answered[o.status]++
	}
	r.printf("answers by status: %v", answered)
	r.printf("requests that reached %s later than drain_ms: %d, of these through machines in touch: %d, of these without a success: %d", s.id, late, counted, unanswered)
	if counted > 0 {
		return broken
	}
	return held
}
