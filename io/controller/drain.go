package controller

import (
	"time"

	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/io/operator"
)

// checkDrain refuses a drain that may end before the requests at the target: a
// request may run as long as its route promises, and at its deadline the target
// is stopped or changed.
func checkDrain(x *config.Index, c operator.Change) error {
	switch c.Action {
	case operator.DrainTarget, operator.ReplaceTarget, operator.SetRole:
	default:
		return nil
	}
	t, ok := x.Target(fleet.TargetName(c.Target))
	if !ok {
		return nil // refused with the change
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
