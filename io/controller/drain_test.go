package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/io/operator"
)

// Guards against a planned change that interrupts requests because its drain
// ends before they do.
func TestCheckDrain(t *testing.T) {
	x := config.NewIndex(config.Snapshot{
		Revision: 1,
		Document: config.Document{Routes: []config.Route{
			{Name: "grades", Prefix: "/grades", Pool: "language", Promise: 10 * time.Second},
			{Name: "orders", Prefix: "/orders", Pool: "repair-log", Promise: time.Minute},
		}},
		Targets: []fleet.Target{{Name: "t1", Pool: "language"}},
	})
	tests := map[string]struct {
		change operator.Change
		ok     bool
	}{
		"long enough":                  {operator.Change{Action: operator.DrainTarget, Target: "t1", ForSeconds: 10}, true},
		"too short to drain":           {operator.Change{Action: operator.DrainTarget, Target: "t1", ForSeconds: 9}, false},
		"too short to replace":         {operator.Change{Action: operator.ReplaceTarget, Target: "t1", ForSeconds: 9}, false},
		"too short for a role change":  {operator.Change{Action: operator.SetRole, Target: "t1"}, false},
		"nothing to drain":             {operator.Change{Action: operator.CancelDrain, Target: "t1"}, true},
		"target does not exist":        {operator.Change{Action: operator.DrainTarget, Target: "t2"}, true},
		"longer limit of another pool": {operator.Change{Action: operator.DrainTarget, Target: "t1", ForSeconds: 30}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(checkDrain(x, tt.change) == nil, tt.ok)
		})
	}
}
