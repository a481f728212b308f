package controller

import (
	"testing"
	"time"

	"papayarock/io/wire"
)

// Guards against a leader whose memory grows with each report of a relay: 405
// entries send 8,100 demand reports a second.
func TestReportedDemandIsBounded(t *testing.T) {
	c := &Controller{}
	m := &wire.ControlConfirm{Self: &wire.ControlSubscriber{}}
	for range 100 {
		m.Demand = append(m.Demand, &wire.ControlDemand{Pool: "language"})
	}
	for range 2 * maxDemand / len(m.Demand) {
		c.recordReport(time.Now(), "relay", m)
		if n := len(c.reports); n > maxDemand {
			t.Fatalf("%d demand reports are kept, the bound is %d", n, maxDemand)
		}
	}
	if n := len(c.reports); n < maxDemand/2 {
		t.Errorf("only %d of the newest demand reports are kept", n)
	}
}
