package state

import (
	"testing"

	"github.com/matryer/is"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

func (r *rig) edit(customers ...fleet.Customer) EditDocument {
	a, err := Edit(r.Config(), document(customers...))
	if err != nil {
		panic(err)
	}
	return a.(EditDocument)
}

// Guards against an edit that leads to another document than the whole would,
// and against one that carries more than the differences.
func TestEditDocument(t *testing.T) {
	is := is.New(t)
	r, whole := newRig(), newRig()
	for i, customers := range [][]fleet.Customer{{"b", "a"}, {"a", "b", "c"}, {"c", "a"}, {}} {
		id, base := string(rune('a'+i)), r.Config().Revision
		is.Equal(r.change(id, base, r.edit(customers...)).Outcome, ChangeAccepted)
		is.Equal(whole.change(id, base, ReplaceDocument{document(customers...)}).Outcome, ChangeAccepted)
		is.Equal(r.Config().Snapshot(), whole.Config().Snapshot())
	}
	is.Equal(r.change("e", r.Config().Revision, r.edit("a", "b")).Outcome, ChangeAccepted)
	is.Equal(r.edit("a", "c").Edit, config.Edit{PutCustomers: document("c").Customers, RemoveCustomers: []fleet.Customer{"b"}})
}

// Guards against a resent change that is answered anew, or refused as reused,
// because its edit was computed against a later configuration, and against
// another document that passes for the same change.
func TestEditResent(t *testing.T) {
	is := is.New(t)
	r := newRig()
	first := r.change("c1", 0, r.edit("a", "b"))
	is.Equal(first.Outcome, ChangeAccepted)
	is.Equal(r.change("c1", 0, r.edit("a", "b")), first)
	is.Equal(r.change("c2", first.Revision, r.edit("a", "z")).Outcome, ChangeAccepted)
	is.Equal(r.change("c1", 0, r.edit("a", "b")), first)
	is.Equal(r.change("c1", 0, r.edit("a", "z")).Outcome, ChangeIDReused)
	is.Equal(r.change("c3", 0, r.edit("q")).Outcome, ChangeConflict)
}

// Guards against an edit that is applied to another document than the one it
// was computed against, and against a refused id that can't be used again.
func TestEditOfAnotherState(t *testing.T) {
	is := is.New(t)
	other, r := newRig(), newRig()
	is.Equal(other.change("c1", 0, other.edit("a", "b", "c")).Outcome, ChangeAccepted)
	wrong := other.edit("a", "b")
	before := r.change("c1", 0, r.edit("a", "d"))
	is.Equal(r.change("c2", before.Revision, wrong).Outcome, ChangeMismatch)
	wrong.Edit, wrong.Digest = r.edit("a", "b").Edit, [32]byte{1}
	is.Equal(r.change("c2", before.Revision, wrong).Outcome, ChangeMismatch)
	is.Equal(r.Config().Revision, before.Revision)
	is.Equal(r.change("c2", before.Revision, r.edit("a", "b")).Outcome, ChangeAccepted)
}
