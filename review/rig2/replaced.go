package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// replacedCore replaces two machines of the core one after the other. Each is gone for good,
// and an empty one comes at another address a second later. The manifest that was
// acknowledged before must be read back.
func replacedCore(r *rig) (int, error) {
	const (
		successorAfter = time.Second
		secondAfter    = 6500 * time.Millisecond // the first successor has run for 5.5 s; catch_up_s is 4
		seedLag        = 3 * time.Second         // seed_lag_s
		recovery       = 12 * time.Second        // recovery_s
		readFor        = 8 * time.Second         // twice contact_ms
	)
	for i := range 3 {
		s, err := r.newServer(i, 30*time.Millisecond, func(n int) int { return n })
		if err != nil {
			return failed, err
		}
		defer s.exit()
	}
	if err := r.prepare(); err != nil {
		return failed, err
	}
	time.Sleep(8 * time.Second) // steady state: no machine has just started
	answers, err := r.change()
	if err != nil {
		return failed, err
	}
	follower := slices.Index(answers, http.StatusTemporaryRedirect)
	if follower < 0 { // the first machine has accepted the manifest, so that the others follow it
		follower = 1
	}
	time.Sleep(time.Second)
	start := time.Now()
	// The first machine to go is one that has redirected the operator. The others follow in
	// order.
	seeds := []int{follower, (follower + 1) % replicas, (follower + 2) % replicas}
	switch {
	case r.trouble && os.Getenv("PLANNED") != "":
		if seeds, err = r.replacePlanned(seeds); err != nil {
			return failed, err
		}
	case r.trouble:
		for lost := range 2 {
			time.Sleep(time.Until(start.Add(time.Duration(lost) * secondAfter)))
			r.printf("machine %d is gone for good", seeds[0])
			r.killMachine(seeds[0])
			time.Sleep(successorAfter)
			next := replicas + lost
			r.addMachine(next)
			seeds = append(slices.Clone(seeds[1:]), next)
			if err := r.writeSettings(next, seeds, false); err != nil {
				return failed, err
			}
			r.printf("machine %d takes its place", next)
			if err := r.startMachine(next); err != nil {
				return failed, err
			}
			now := seeds
			time.AfterFunc(seedLag, func() { r.rewriteSeeds(now) })
		}
	}
	time.Sleep(recovery + seedLag)
	newest := r.readBack(seeds, readFor)
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	for _, i := range seeds {
		answers := make(map[int]int)
		for n := range 20 {
			answers[r.send(c, i, "/order/", fmt.Sprintf("end-%d-%d", i, n)).status]++
		}
		r.printf("gateway-%d: answers by status: %v", i, answers)
	}
	r.printf("acknowledged: manifest %d; read back for %v, %v after the last machine came: manifest %d (0: none)", r.version, readFor, recovery+seedLag, newest)
	if newest < r.version {
		return broken, nil
	}
	return held, nil
}

// replacePlanned replaces two machines one after the other as planned work does: the new one
// comes first and has more than catch_up_s, then the old one gets SIGTERM.
func (r *rig) replacePlanned(seeds []int) ([]int, error) {
	const newFirst = 5500 * time.Millisecond
	var ended sync.WaitGroup
	defer ended.Wait()
	for n := range 2 {
		old, next := seeds[0], replicas+n
		r.addMachine(next)
		seeds = append(slices.Clone(seeds[1:]), next)
		r.printf("machine %d comes", next)
		if err := r.writeSettings(next, seeds, false); err != nil {
			return nil, err
		}
		if err := r.startMachine(next); err != nil {
			return nil, err
		}
		r.rewriteSeeds(seeds)
		time.Sleep(newFirst)
		for _, p := range []*process{r.registries[old], r.gateways[old]} {
			r.signal(p, syscall.SIGTERM)
			ended.Go(func() { <-p.done })
		}
	}
	return seeds, nil
}

// change has the operator send a new manifest to all machines, which must be acknowledged. It
// returns their first answers, without redirects.
func (r *rig) change() (answers []int, err error) {
	r.version++
	text := manifest(r.version)
	c := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for i := range replicas {
		q, err := http.NewRequestWithContext(r.ctx, http.MethodPost, "http://"+r.operators[i]+names["replace"], bytes.NewReader(text))
		if err != nil {
			return nil, err
		}
		a, err := c.Do(q)
		if err != nil {
			return nil, err
		}
		_ = a.Body.Close()
		r.printf("operator: machine %d answers %d to manifest %d", i, a.StatusCode, r.version)
		answers = append(answers, a.StatusCode)
		if a.StatusCode == http.StatusOK {
			break // the others would not redirect any more
		}
	}
	if status, err := r.put(text); err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("manifest %d answered %d: %w", r.version, status, err)
	}
	return answers, nil
}

// rewriteSeeds writes the settings of the given machines anew, with these as seeds.
func (r *rig) rewriteSeeds(machines []int) {
	for _, i := range machines {
		if err := r.writeSettings(i, machines, false); err != nil {
			r.printf("settings of machine %d: %v", i, err)
		}
	}
}

// readBack reads the manifest at the given machines for a time, and returns the highest
// version that was answered.
func (r *rig) readBack(machines []int, d time.Duration) (newest uint64) {
	answers := make(map[int]int)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, i := range machines {
			status, body := call(r.ctx, http.MethodGet, r.operators[i], names["show"], nil)
			answers[status]++
			var in struct{ Version uint64 }
			if status == http.StatusOK && json.Unmarshal(body, &in) == nil {
				newest = max(newest, in.Version)
			}
		}
	}
	r.printf("operator: reads of the manifest by status: %v", answers)
	return newest
}
