package authority

import "papayarock/core/fleet"

// Verdict is the response of a Fence to an order or a read.
type Verdict uint8

// Verdicts. Only Begin permits carrying out the order or read.
const (
	Begin            Verdict = iota
	Running                  // the same order is in progress
	Completed                // already carried out; the stored result is returned
	Old                      // a higher number was seen
	OtherContent             // the number was seen with different content
	OtherIncarnation         // meant for another run of the agent
	Busy                     // another order is in progress
)

// String returns the name of the verdict in kebab case.
func (v Verdict) String() string {
	names := [...]string{"begin", "running", "kept", "old", "other-content", "other-incarnation", "busy"}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// Fence admits orders to one target during one run of its agent. C is the
// content of an order and R its result. A Fence is ready for use once
// Incarnation is set. It is not safe for concurrent use.
type Fence[C comparable, R any] struct {
	Incarnation fleet.Incarnation

	highest fleet.OrderNumber
	isOrder bool // whether highest is an order; otherwise it is a read or unset
	content C
	running bool
	result  R
}

// Admit decides whether an order may be carried out. After Begin the caller must
// carry it out and then call Finish. With Completed, Admit also returns the
// stored result of the order.
func (f *Fence[C, R]) Admit(i fleet.Incarnation, n fleet.OrderNumber, content C) (Verdict, R) {
	var none R
	if i != f.Incarnation {
		return OtherIncarnation, none
	}
	switch c := n.Compare(f.highest); {
	case c < 0:
		return Old, none
	case c == 0 && (!f.isOrder || f.content != content):
		return OtherContent, none
	case c == 0 && f.running:
		return Running, none
	case c == 0:
		return Completed, f.result
	case f.running:
		return Busy, none
	}
	f.highest, f.isOrder, f.content, f.running, f.result = n, true, content, true, none
	return Begin, none
}

// Finish stores the result of the order in progress. It returns false, and
// ignores the result, if n is not the number of that order.
func (f *Fence[C, R]) Finish(n fleet.OrderNumber, result R) bool {
	if !f.running || n != f.highest {
		return false
	}
	f.running, f.result = false, result
	return true
}

// AdmitRead decides whether the actual state of the target may be read under a
// number. After Begin all orders with lower numbers are rejected, so that no
// delayed order can change the state after it was read.
func (f *Fence[C, R]) AdmitRead(i fleet.Incarnation, n fleet.OrderNumber) Verdict {
	if i != f.Incarnation {
		return OtherIncarnation
	}
	switch c := n.Compare(f.highest); {
	case c < 0:
		return Old
	case f.running:
		return Busy
	case c == 0 && f.isOrder:
		return OtherContent
	}
	f.highest, f.isOrder = n, false
	return Begin
}

// Highest returns the highest number of an admitted order or read.
func (f *Fence[C, R]) Highest() fleet.OrderNumber { return f.highest }
