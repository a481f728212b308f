package authority

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
)

// Guards against an action that outlasts its lease or begins under the former
// one.
func TestGateBegin(t *testing.T) {
	now := time.Unix(1000, 0)
	held := Gate{Held: true, Term: 3, NotBefore: now.Add(-time.Second), Expires: now.Add(2 * time.Second)}
	early := held
	early.NotBefore = now.Add(time.Nanosecond)
	for name, c := range map[string]struct {
		gate     Gate
		deadline time.Time
		ok       bool
	}{
		"within the lease":     {held, now.Add(time.Second), true},
		"up to the lease":      {held, now.Add(2 * time.Second), false},
		"past the lease":       {held, now.Add(3 * time.Second), false},
		"deadline passed":      {held, now, false},
		"former lease not out": {early, now.Add(time.Second), false},
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

func number(sequence uint64) fleet.OrderNumber { return fleet.OrderNumber{Term: 1, Sequence: sequence} }

// Guards against an order that is carried out twice, out of order, under
// another content or by another incarnation, and against two at once.
func TestFenceOffer(t *testing.T) {
	is := is.New(t)
	f := Fence[string, string]{Incarnation: 7}
	offer := func(i fleet.Incarnation, n fleet.OrderNumber, c string) Verdict {
		v, _ := f.Offer(i, n, c)
		return v
	}
	is.Equal(offer(6, number(5), "a"), OtherIncarnation)
	is.Equal(offer(7, number(5), "a"), Begin)
	is.Equal(offer(7, number(5), "a"), Running)
	is.Equal(offer(7, number(5), "b"), OtherContent)
	is.Equal(offer(7, number(4), "a"), Old)
	is.Equal(offer(7, number(6), "b"), Busy)
	is.Equal(f.Finish(number(4), "x"), false)
	is.True(f.Finish(number(5), "done"))
	v, r := f.Offer(7, number(5), "a")
	is.Equal(v, Kept)
	is.Equal(r, "done")
	is.Equal(offer(7, fleet.OrderNumber{Term: 2, Sequence: 1}, "c"), Begin)
	is.Equal(offer(7, number(6), "b"), Old)
}

// Guards against an abandoned order that changes the target after it was read.
func TestFenceRead(t *testing.T) {
	is := is.New(t)
	f := Fence[string, string]{Incarnation: 7}
	is.Equal(f.Read(6, number(9)), OtherIncarnation)
	_, _ = f.Offer(7, number(3), "a")
	is.Equal(f.Read(7, number(4)), Busy)
	is.True(f.Finish(number(3), "done"))
	is.Equal(f.Read(7, number(4)), Begin)
	is.Equal(f.Read(7, number(4)), Begin)
	v, _ := f.Offer(7, number(3), "a")
	is.Equal(v, Old)
	v, _ = f.Offer(7, number(4), "a")
	is.Equal(v, OtherContent)
	is.Equal(f.Read(7, number(2)), Old)
	is.Equal(f.Highest(), number(4))
}
