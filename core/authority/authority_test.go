package authority

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
)

// An action must neither outlast its lease nor begin while the previous lease
// may be in force.
func TestGateBegin(t *testing.T) {
	now := time.Unix(1000, 0)
	held := Gate{Held: true, Term: 3, NotBefore: now.Add(-time.Second), Expires: now.Add(2 * time.Second)}
	notYetValid := held
	notYetValid.NotBefore = now.Add(time.Nanosecond)
	for name, c := range map[string]struct {
		gate     Gate
		deadline time.Time
		ok       bool
	}{
		"within the lease":     {held, now.Add(time.Second), true},
		"up to the lease":      {held, now.Add(2 * time.Second), false},
		"past the lease":       {held, now.Add(3 * time.Second), false},
		"deadline passed":      {held, now, false},
		"previous lease valid": {notYetValid, now.Add(time.Second), false},
		"no lease":             {Gate{Expires: now.Add(time.Hour)}, now.Add(time.Second), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := c.gate.Begin(now, c.deadline)
			is.Equal(err == nil, c.ok)
			is.True(err == nil || errors.Is(err, ErrNoAuthority))
		})
	}
}

func orderNumber(sequence uint64) fleet.OrderNumber {
	return fleet.OrderNumber{Term: 1, Sequence: sequence}
}

// An order must not be carried out twice, out of order, with different content,
// for another incarnation, or concurrently with another order.
func TestFenceOffer(t *testing.T) {
	is := is.New(t)
	f := Fence[string, string]{Incarnation: 7}
	admit := func(i fleet.Incarnation, n fleet.OrderNumber, c string) Verdict {
		v, _ := f.Admit(i, n, c)
		return v
	}
	is.Equal(admit(6, orderNumber(5), "a"), OtherIncarnation)
	is.Equal(admit(7, orderNumber(5), "a"), Begin)
	is.Equal(admit(7, orderNumber(5), "a"), Running)
	is.Equal(admit(7, orderNumber(5), "b"), OtherContent)
	is.Equal(admit(7, orderNumber(4), "a"), Old)
	is.Equal(admit(7, orderNumber(6), "b"), Busy)
	is.Equal(f.Finish(orderNumber(4), "x"), false)
	is.True(f.Finish(orderNumber(5), "done"))
	v, r := f.Admit(7, orderNumber(5), "a")
	is.Equal(v, Completed)
	is.Equal(r, "done")
	is.Equal(admit(7, fleet.OrderNumber{Term: 2, Sequence: 1}, "c"), Begin)
	is.Equal(admit(7, orderNumber(6), "b"), Old)
}

// An abandoned order must not change the target after its state was read.
func TestFenceRead(t *testing.T) {
	is := is.New(t)
	f := Fence[string, string]{Incarnation: 7}
	is.Equal(f.AdmitRead(6, orderNumber(9)), OtherIncarnation)
	_, _ = f.Admit(7, orderNumber(3), "a")
	is.Equal(f.AdmitRead(7, orderNumber(4)), Busy)
	is.True(f.Finish(orderNumber(3), "done"))
	is.Equal(f.AdmitRead(7, orderNumber(4)), Begin)
	is.Equal(f.AdmitRead(7, orderNumber(4)), Begin)
	v, _ := f.Admit(7, orderNumber(3), "a")
	is.Equal(v, Old)
	v, _ = f.Admit(7, orderNumber(4), "a")
	is.Equal(v, OtherContent)
	is.Equal(f.AdmitRead(7, orderNumber(2)), Old)
	is.Equal(f.Highest(), orderNumber(4))
}
