package fake_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"papayarock/internal/fake"
)

func roleOrder(term, sequence uint64, role string) fake.Order {
	return fake.Order{Term: term, Sequence: sequence, Kind: "change-role", Role: role}
}

// Guards against an outdated order that is executed in spite of ChecksFencing, and
// against one that is executed without ChecksFencing, but not counted.
func TestEngineFencing(t *testing.T) {
	tests := map[string]struct {
		checks bool
		status int
		role   string
		counts fake.EngineCounts
	}{
		"with ChecksFencing":    {true, http.StatusPreconditionFailed, "decode", fake.EngineCounts{OrdersRun: 1, RoleChanges: 1, OrdersRefused: 1}},
		"without ChecksFencing": {false, http.StatusOK, "prefill", fake.EngineCounts{OrdersRun: 2, RoleChanges: 2, OldOrdersRun: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := &fake.Engine{ChecksFencing: tt.checks, RoleChangeTime: 3 * time.Second}
			runWithServer(t, e, func(t *testing.T, c testClient) {
				is := is.New(t)
				start := time.Now()
				status, _, err := c.post("/order", "", "", roleOrder(2, 1, "decode"))
				is.NoErr(err)
				is.Equal(status, http.StatusOK)
				is.Equal(time.Since(start), 3*time.Second)
				status, _, err = c.post("/order", "", "", roleOrder(1, 9, "prefill"))
				is.NoErr(err)
				is.Equal(status, tt.status)
				is.Equal(e.State().Role, tt.role)
				is.Equal(e.Counts(), tt.counts)
			})
		})
	}
}

// Guards against an engine that executes two orders at the same time, or two orders
// with the same number and different content.
func TestEngineOrderConflicts(t *testing.T) {
	e := &fake.Engine{ChecksFencing: true, RoleChangeTime: 3 * time.Second}
	runWithServer(t, e, func(t *testing.T, c testClient) {
		is := is.New(t)
		go func() { _, _, _ = c.post("/order", "", "", roleOrder(1, 1, "decode")) }()
		time.Sleep(time.Second)
		status, _, err := c.post("/order", "", "", roleOrder(1, 2, "prefill"))
		is.NoErr(err)
		is.Equal(status, http.StatusConflict)
		status, _, err = c.post("/v1/completions", "a", "", completionBody("x", 1, false))
		is.NoErr(err)
		is.Equal(status, http.StatusServiceUnavailable)
		time.Sleep(5 * time.Second)
		status, _, err = c.post("/order", "", "", roleOrder(1, 1, "prefill"))
		is.NoErr(err)
		is.Equal(status, http.StatusConflict)
		status, _, err = c.post("/order", "", "", roleOrder(1, 1, "decode"))
		is.NoErr(err)
		is.Equal(status, http.StatusOK) // repeated, not executed again
		is.Equal(e.Counts(), fake.EngineCounts{OrdersRun: 1, RoleChanges: 1, OrderConflicts: 1, ContentConflict: 1})
	})
}

// Guards against an engine that, after a crash during an order, does not report its
// state or applies the order against the setting of CrashKeepsChange.
func TestEngineCrashDuringOrder(t *testing.T) {
	for name, applied := range map[string]bool{"before the change": false, "after the change": true} {
		t.Run(name, func(t *testing.T) {
			e := &fake.Engine{RoleChangeTime: 4 * time.Second}
			e.UpdateFaults(func(f *fake.EngineFaults) { f.CrashInOrder, f.CrashKeepsChange = true, applied })
			runWithServer(t, e, func(t *testing.T, c testClient) {
				is := is.New(t)
				start := time.Now()
				_, _, err := c.post("/order", "", "", roleOrder(1, 1, "decode"))
				is.True(err != nil)
				is.Equal(time.Since(start), 2*time.Second)
				e.Restart()
				var s fake.EngineState
				c.get("/state", &s)
				is.Equal(s.Role == "decode", applied)
				is.Equal(s.Changing, false)
				is.Equal(s.Term, uint64(0)) // a crash clears the order numbers
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// Guards against an order that has no effect because its response is lost.
func TestEngineLosesOrderResponse(t *testing.T) {
	e := &fake.Engine{Model: "notes", LoadTime: time.Second}
	e.UpdateFaults(func(f *fake.EngineFaults) { f.LoseOrderAnswers = 1 })
	runWithServer(t, e, func(t *testing.T, c testClient) {
		is := is.New(t)
		load := fake.Order{Term: 1, Sequence: 1, Kind: "load-adapter", Name: "klang", Version: "3"}
		_, _, err := c.post("/order", "", "", load)
		is.True(err != nil)
		is.Equal(e.State().Adapters["klang"], "3")
		status, _, err := c.post("/order", "", "", load)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(e.Counts().OrdersRepeated, 1) // the engine does not check numbers
		// An order of an unknown kind is rejected.
		status, _, err = c.post("/order", "", "", fake.Order{Term: 1, Sequence: 2, Kind: "melt"})
		is.NoErr(err)
		is.Equal(status, http.StatusBadRequest)
		is.Equal(len(e.Orders()), 2)
		synctest.Wait()
	})
}
