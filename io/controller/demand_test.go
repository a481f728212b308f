package controller

import (
	"testing"
	"time"

	"papayarock/io/wire"
)

// Guards against unbounded memory use of a leader that queues the demand reports of
// relays: 405 entries send 8,100 reports a second.
func TestReportedDemandIsBounded(t *testing.T) {
	c := &Controller{}
	m := &wire.ControlConfirm{Self: &wire.ControlSubscriber{}}
	for range 100 {
		m.Demand = append(m.Demand, &wire.ControlDemand{Pool: "language"})
	}
	for range 2 * maxDemandReports / len(m.Demand) {
		c.recordReport(time.Now(), "relay", m)
		if n := len(c.demandReports); n > maxDemandReports {
			t.Fatalf("%d demand reports are kept, the bound is %d", n, maxDemandReports)
		}
	}
	if n := len(c.demandReports); n < maxDemandReports/2 {
		t.Errorf("only %d of the newest demand reports are kept", n)
	}
}
