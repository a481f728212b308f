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

// staged applies pieces and returns the last answer.
func (r *rig) staged(id string, base uint64, parts ...Action) (out ChangeResult) {
	for _, p := range parts {
		out = r.change(id, base, p)
	}
	return out
}

// Guards against a document in pieces that takes effect before it is whole, in
// another way than as a whole, or more than once, whatever happens between its
// pieces.
func TestPieces(t *testing.T) {
	restore := func(r *rig) { r.Restore(r.Image()) }
	tests := map[string]struct {
		between func(r *rig, parts []Action) // before the last piece
		want    ChangeOutcome
	}{
		"nothing":              {func(*rig, []Action) {}, ChangeAccepted},
		"a new term":           {func(r *rig, _ []Action) { r.EnterTerm(9) }, ChangeAccepted},
		"a target":             {func(r *rig, _ []Action) { r.ready("e1", 1) }, ChangeAccepted},
		"snapshot and restore": {func(r *rig, _ []Action) { restore(r) }, ChangeAccepted},
		"a repeated piece":     {func(r *rig, parts []Action) { r.staged("c", 0, parts[1], parts[2]) }, ChangeAccepted},
		"all sent again":       {func(r *rig, parts []Action) { r.staged("c", 0, parts[:3]...) }, ChangeAccepted},
		"the first repeated":   {func(r *rig, parts []Action) { r.staged("c", 0, parts[0]) }, ChangeMismatch},
		"a piece lost": {func(r *rig, parts []Action) {
			if out := r.staged("c", 0, parts[0], parts[2]); out.Outcome != ChangeMismatch {
				t.Errorf("a piece after a gap is answered %+v", out)
			}
		}, ChangeMismatch},
		"pieces of another": {func(r *rig, _ []Action) {
			r.staged("d", 0, r.edit("x", "y", "z").Split(1)[0])
		}, ChangeMismatch},
		"another document under the id": {func(r *rig, _ []Action) {
			r.staged("c", 0, r.edit("x", "y", "z").Split(1)[0])
		}, ChangeMismatch},
		"another change": {func(r *rig, _ []Action) { r.change("d", 0, r.edit("x")) }, ChangeConflict},
		"just before the deadline": {func(r *rig, _ []Action) {
			apply[TickResult](r, Tick{Now: start.Add(stagingTime - 1)})
		}, ChangeAccepted},
		"the deadline, after a restore": {func(r *rig, _ []Action) {
			restore(r)
			apply[TickResult](r, Tick{Now: start.Add(stagingTime)})
		}, ChangeMismatch},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig()
			apply[TickResult](r, Tick{Now: start})
			parts := r.edit("a", "b", "c").Split(1)
			is.Equal(len(parts), 4)
			is.Equal(r.staged("c", 0, parts[:3]...).Outcome, ChangeStaged)
			is.Equal(r.Config().Revision, uint64(0))
			x.between(r, parts)
			last := r.change("c", 0, parts[3])
			is.Equal(last.Outcome, x.want)
			if x.want == ChangeMismatch {
				last = r.staged("c", 0, parts...)
			}
			if x.want == ChangeConflict {
				is.Equal(r.change("c", 0, parts[0]), last)
				return
			}
			is.Equal(last.Outcome, ChangeAccepted)
			is.Equal(r.Config().CustomerCount(), 3)
			is.Equal(r.Image().Staged, nil)
			is.Equal(r.change("c", 0, parts[0]), last) // a repetition begins with the first piece
			is.Equal(r.change("c", 0, parts[3]), last)
			is.Equal(r.change("c", 0, r.edit("q").Split(1)[0]).Outcome, ChangeIDReused)
		})
	}
}

// Guards against pieces without bound in the state.
func TestPiecesAreBounded(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.limits.stagedBytes = 1000
	e := config.Edit{PutCustomers: document("a", "b", "c").Customers}
	out := ChangeResult{Outcome: ChangeStaged}
	n := uint32(0)
	for ; n < 100 && out.Outcome == ChangeStaged; n++ {
		out = r.change("c", 0, StageDocument{Piece: n, Edit: e})
		is.True(r.Image().Staged.Bytes <= 1000)
	}
	is.Equal(out.Outcome, ChangeInvalid)
	is.True(n > 2)
}
