package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"papayarock/platform/standin"
)

// limitedCustomer sends half of its limit, and bursts beyond it.
var limitedCustomer = standin.Customer{Name: "c2", Key: "key-3", Rate: 10, Burst: 10}

const (
	limitWindow   = 8 * time.Second // default of the setting quota-window
	limitOverage  = 0.1             // default of the setting quota-overage; quota-slack is 0
	limitInterval = 200 * time.Millisecond
	// Each burstInterval, a burst takes the place of the ordinary request. A window without
	// a limit would have about 200 requests.
	limitBurst, burstInterval = 40, 10 // requests, and intervals
	hostileConnections        = 6      // for each port
	// minLimited is the number of requests of limitedCustomer that show that the limit is
	// usable. At the rate of the limit, they take 4 s.
	minLimited = 40
)

// maxLimitedWindow is the number of requests of limitedCustomer that may run in a window.
var maxLimitedWindow = (limitedCustomer.Rate*limitWindow.Seconds() + limitedCustomer.Burst) * (1 + limitOverage)

// sendLimited sends requests of limitedCustomer until ctx is done, without waiting for the
// responses to earlier ones.
func (r *soakRun) sendLimited(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 99))
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	var sending sync.WaitGroup
	defer sending.Wait()
	n := 0
	for i := 1; ctx.Err() == nil; i++ {
		time.Sleep(limitInterval)
		count := 1
		if i%burstInterval == 0 {
			count = limitBurst
		}
		for range count {
			id, gateway := fmt.Sprintf("limited-%d-%d", seed, n), r.gatewayAddresses[random.IntN(len(r.gatewayAddresses))]
			n++
			sending.Go(func() {
				o := standin.SendRequest(context.Background(), client, gateway, id, "/read/", limitedCustomer.Key)
				r.mu.Lock()
				defer r.mu.Unlock()
				r.outcomes = append(r.outcomes, o)
			})
		}
	}
}

// largestWindow returns the largest number of requests of limitedCustomer that were both sent
// and run in one window.
func (r *soakRun) largestWindow() (largest int) {
	type request struct{ sent, start time.Time }
	var requests []request
	for _, o := range r.outcomes {
		if runs := r.runLog.Executions(o.ID); o.Key == limitedCustomer.Key && len(runs) > 0 {
			first := slices.MinFunc(runs, func(a, b standin.Execution) int { return a.Start.Compare(b.Start) })
			requests = append(requests, request{o.Sent, first.Start})
		}
	}
	for _, from := range requests {
		n := 0
		for _, q := range requests {
			if !q.sent.Before(from.sent) && q.start.Before(from.sent.Add(limitWindow)) {
				n++
			}
		}
		largest = max(largest, n)
	}
	return largest
}

// awaitLimitUsable waits, for recoveryTimeout at most, until requests of limitedCustomer run
// again after the faults, and then for a window, so that checkOutcomes also sees one in which
// the limit is in full use.
func (r *soakRun) awaitLimitUsable() {
	from, n := time.Now(), 0
	for ; n < minLimited && time.Since(from) < recoveryTimeout; time.Sleep(100 * time.Millisecond) {
		n = r.limitedSince(from)
	}
	r.t.Logf("%d requests of customer %s ran within %v after the recovery", n, limitedCustomer.Name, time.Since(from))
	time.Sleep(limitWindow)
}

// limitedSince returns how many requests of limitedCustomer were sent after a time and ran.
func (r *soakRun) limitedSince(from time.Time) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.outcomes {
		if o.Key == limitedCustomer.Key && o.Sent.After(from) && len(r.runLog.Executions(o.ID)) > 0 {
			n++
		}
	}
	return n
}

// attack keeps one hostile connection to a port until ctx is done. The number selects what
// the connection sends. If the process closes it, attack opens another one.
func attack(ctx context.Context, address string, number int) {
	const retryInterval = 50 * time.Millisecond
	for ; ctx.Err() == nil; time.Sleep(retryInterval) {
		c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
		if err != nil {
			continue // the process is not running
		}
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		switch number % 3 {
		case 0: // an incomplete header section
			_, err = io.WriteString(c, "GET /read/a HTTP/1.1\r\nHost: "+standin.Host+"\r\nLong: "+strings.Repeat("a", 8<<10))
		case 1: // empty lines without end
			for err == nil {
				_, err = io.WriteString(c, strings.Repeat("\r\n", 256))
				time.Sleep(time.Millisecond)
			}
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, c) // until one side closes the connection
		}
		stop()
		_ = c.Close()
	}
}

// checkProcesses requires that each process is running after the faults.
func (r *soakRun) checkProcesses() {
	for _, p := range slices.Concat(r.replicas, r.gateways) {
		p.mu.Lock()
		select {
		case <-p.done:
			r.t.Errorf("%s has ended without a fault: %v", p.name, p.cmd.ProcessState)
		default:
		}
		p.mu.Unlock()
	}
}
