package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	// cutTime is how long the leader is cut off.
	cutTime = 5 * time.Second
	// thawTime is how long after the end of a cut calls do not count.
	thawTime = 300 * time.Millisecond
)

// staleReport cuts the leader off at the moment in which its usage report is on the way to the
// platform. The rule ONE is broken if the platform gets a call with a lower generation number than
// it has seen, later than thaw_ms after the end of the cut.
func staleReport(d *deployment, trouble bool) (bool, error) {
	if err := d.addNetwork(); err != nil {
		return false, fmt.Errorf("%w: %w", errNoRun, err)
	}
	if err := d.start(true, d.machines()...); err != nil {
		return false, fmt.Errorf("%w: %w", errNoRun, err)
	}
	if err := d.replace(7); err != nil {
		return false, err
	}
	for i := range 2 {
		if _, err := newServer(d, fmt.Sprintf("i-%d", i), "zone-a", 30+i); err != nil {
			return false, fmt.Errorf("%w: %w", errNoRun, err)
		}
	}
	for _, m := range d.machines() {
		if !until(15*time.Second, func() bool { return d.readyStatus(m) == http.StatusOK }) {
			return false, fmt.Errorf("%w: %s is not ready", errNoRun, m.name)
		}
	}
	startClients(d, 10)
	time.Sleep(d.contact)

	var leader *machine
	cutAt := make(chan time.Time, 1)
	if trouble {
		d.platform.onSend(func(m *machine) {
			d.network.cut(m)
			cutAt <- time.Now()
			leader = m
			d.record.linef("%s is cut off, its report is on the way", m.name)
			time.AfterFunc(cutTime, func() {
				d.network.heal()
				d.record.linef("%s is not cut off any more", m.name)
			})
		})
		select {
		case <-cutAt:
		case <-time.After(3 * usageWindow):
			return false, fmt.Errorf("%w: no usage report", errNoRun)
		}
	}
	time.Sleep(cutTime + 2*usageWindow)

	var highest, last uint64
	var healed time.Time
	if trouble {
		healed = d.network.lastHealed()
	}
	broken := false
	for {
		var c call
		select {
		case c = <-d.platform.calls:
		default:
			if last == 0 {
				return false, fmt.Errorf("%w: no usage report", errNoRun)
			}
			return broken, nil
		}
		n, err := strconv.ParseUint(c.generation, 10, 64)
		if err != nil {
			return false, errors.Join(errNoRun, err)
		}
		last = n
		if n < highest && c.at.After(healed.Add(thawTime)) {
			broken = true
			d.record.linef("call of %s with generation %d after one with %d, %.3f s after the end of the cut of %s", c.holder, n, highest, c.at.Sub(healed).Seconds(), leader.name)
		}
		highest = max(highest, n)
	}
}
