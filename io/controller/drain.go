package controller

import (
	"time"

	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/io/operator"
)

// checkDrain refuses a drain that is shorter than the time limit, Route.Promise,
// of any route to the target's pool. The target is stopped or changed when the drain ends,
// which would interrupt requests that may still run.
func checkDrain(x *config.Index, c operator.Change) error {
	switch c.Action {
	case operator.DrainTarget, operator.ReplaceTarget, operator.SetRole:
	default:
		return nil
	}
	t, ok := x.Target(fleet.TargetName(c.Target))
	if !ok {
		return nil // refused when the change is applied
	}
	drain := time.Duration(c.ForSeconds) * time.Second
	for _, r := range x.General.Routes {
		if r.Pool == t.Pool && r.Promise > drain {
			return errors.Errorf("a drain of %s is shorter than the %s that route %q promises, and would interrupt requests",
				drain, r.Promise, r.Name)
		}
	}
	return nil
}
