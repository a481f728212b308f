package authority

import (
	"time"

	"github.com/pkg/errors"
)

// ErrNoAuthority reports an external action that must not begin.
var ErrNoAuthority = errors.New("no authority for an external action")

// Gate is a quorum lease as the process that may hold it knows it. The zero
// Gate allows nothing.
type Gate struct {
	Held      bool
	Term      uint64
	NotBefore time.Time // end of the former lease and so of every action under it
	Expires   time.Time // less the margin for clock rates
}

// Begin says whether an action that ends by its deadline in any case may begin
// now. The caller must enforce the deadline, on a connection as its write
// deadline: then no action outlasts the lease it began under.
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
