package authority

import "papayarock/core/fleet"

// Verdict is what a Fence says to an order or a read.
type Verdict uint8

// Verdicts. Only Begin allows the order to be carried out.
const (
	Begin            Verdict = iota
	Running                  // the same order is being carried out
	Kept                     // carried out before; the kept result is returned
	Old                      // a higher number was seen
	OtherContent             // the number was seen with other content
	OtherIncarnation         // meant for another run of the agent
	Busy                     // another order is being carried out
)

// String returns the kebab-case name of the verdict.
func (v Verdict) String() string {
	names := [...]string{"begin", "running", "kept", "old", "other-content", "other-incarnation", "busy"}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// Fence admits orders to one target for one run of its agent. C is what an
// order asks for and R its result. A Fence with its Incarnation set is ready
// for use; it is not safe for concurrent use.
type Fence[C comparable, R any] struct {
	Incarnation fleet.Incarnation

	highest fleet.OrderNumber
	order   bool // highest is an order; otherwise a read, or nothing yet
	content C
	running bool
	result  R
}

// Offer presents an order. On Begin the caller carries it out and then calls
// Finish; on Kept the result of the first time is returned.
func (f *Fence[C, R]) Offer(i fleet.Incarnation, n fleet.OrderNumber, content C) (Verdict, R) {
	var none R
	if i != f.Incarnation {
		return OtherIncarnation, none
	}
	switch c := n.Compare(f.highest); {
	case c < 0:
		return Old, none
	case c == 0 && (!f.order || f.content != content):
		return OtherContent, none
	case c == 0 && f.running:
		return Running, none
	case c == 0:
		return Kept, f.result
	case f.running:
		return Busy, none
	}
	f.highest, f.order, f.content, f.running, f.result = n, true, content, true, none
	return Begin, none
}

// Finish keeps the result of the order that is being carried out. A result for
// another number is ignored and reported as false.
func (f *Fence[C, R]) Finish(n fleet.OrderNumber, result R) bool {
	if !f.running || n != f.highest {
		return false
	}
	f.running, f.result = false, result
	return true
}

// Read presents a request for the actual state of the target under a number.
// On Begin every order with a lower number is shut out, so the state that is
// then read cannot be changed by one that is still on the way.
func (f *Fence[C, R]) Read(i fleet.Incarnation, n fleet.OrderNumber) Verdict {
	if i != f.Incarnation {
		return OtherIncarnation
	}
	switch c := n.Compare(f.highest); {
	case c < 0:
		return Old
	case f.running:
		return Busy
	case c == 0 && f.order:
		return OtherContent
	}
	f.highest, f.order = n, false
	return Begin
}

// Highest returns the highest number admitted.
func (f *Fence[C, R]) Highest() fleet.OrderNumber { return f.highest }
