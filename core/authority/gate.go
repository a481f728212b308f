package authority

import (
	"time"

	"github.com/pkg/errors"
)

// ErrNoAuthority reports an external action that must not begin.
var ErrNoAuthority = errors.New("no authority for an external action")

// Gate is a process's view of the quorum lease that it may hold. The zero value
// permits nothing.
type Gate struct {
	Held      bool
	Term      uint64    // of the lease
	NotBefore time.Time // end of the previous lease, and thus of every action under it
	Expires   time.Time // reduced by the margin for clock drift
}

// Begin returns nil if an action that ends by deadline may begin now, and
// otherwise an error that wraps ErrNoAuthority. The caller must enforce the
// deadline, for example as the write deadline of a connection, so that no
// action outlasts the lease under which it began.
func (g Gate) Begin(now, deadline time.Time) error {
	switch {
	case !g.Held:
		return errors.Wrap(ErrNoAuthority, "no lease is held")
	case now.Before(g.NotBefore):
		return errors.Wrapf(ErrNoAuthority, "the former lease may last until %s", g.NotBefore)
	case !now.Before(deadline):
		return errors.Wrapf(ErrNoAuthority, "the deadline %s has passed", deadline)
	case !deadline.Before(g.Expires):
		return errors.Wrapf(ErrNoAuthority, "the deadline %s is not before the end of the lease %s", deadline, g.Expires)
	}
	return nil
}
