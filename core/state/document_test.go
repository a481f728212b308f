package state

import (
	"testing"

	"github.com/matryer/is"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

func (tm *testMachine) edit(customers ...fleet.Customer) EditDocument {
	a, err := EditAction(tm.Config(), document(customers...))
	if err != nil {
		panic(err)
	}
	return a.(EditDocument)
}

// Guards against an edit whose result differs from replacing the whole
// document, and against one that carries more than the differences.
func TestEditDocument(t *testing.T) {
	is := is.New(t)
	tm, whole := newTestMachine(), newTestMachine()
	for i, customers := range [][]fleet.Customer{{"b", "a"}, {"a", "b", "c"}, {"c", "a"}, {}} {
		id, base := string(rune('a'+i)), tm.Config().Revision
		is.Equal(tm.change(id, base, tm.edit(customers...)).Outcome, ChangeAccepted)
		is.Equal(whole.change(id, base, ReplaceDocument{document(customers...)}).Outcome, ChangeAccepted)
		is.Equal(tm.Config().Snapshot(), whole.Config().Snapshot())
	}
	is.Equal(tm.change("e", tm.Config().Revision, tm.edit("a", "b")).Outcome, ChangeAccepted)
	is.Equal(tm.edit("a", "c").Edit, config.Edit{PutCustomers: document("c").Customers, RemoveCustomers: []fleet.Customer{"b"}})
}

// Guards against a resent change that gets another result, or is refused as
// reused, because its edit was computed from a later configuration, and against
// a different document that is accepted as the same change.
func TestEditResent(t *testing.T) {
	is := is.New(t)
	tm := newTestMachine()
	first := tm.change("c1", 0, tm.edit("a", "b"))
	is.Equal(first.Outcome, ChangeAccepted)
	is.Equal(tm.change("c1", 0, tm.edit("a", "b")), first)
	is.Equal(tm.change("c2", first.Revision, tm.edit("a", "z")).Outcome, ChangeAccepted)
	is.Equal(tm.change("c1", 0, tm.edit("a", "b")), first)
	is.Equal(tm.change("c1", 0, tm.edit("a", "z")).Outcome, ChangeIDReused)
	is.Equal(tm.change("c3", 0, tm.edit("q")).Outcome, ChangeConflict)
}

// Guards against an edit that is applied to a document other than the one it
// was computed from, and against a refused id that cannot be used again.
func TestEditDigestMismatch(t *testing.T) {
	is := is.New(t)
	other, tm := newTestMachine(), newTestMachine()
	is.Equal(other.change("c1", 0, other.edit("a", "b", "c")).Outcome, ChangeAccepted)
	wrong := other.edit("a", "b")
	before := tm.change("c1", 0, tm.edit("a", "d"))
	is.Equal(tm.change("c2", before.Revision, wrong).Outcome, ChangeMismatch)
	wrong.Edit, wrong.Digest = tm.edit("a", "b").Edit, [32]byte{1}
	is.Equal(tm.change("c2", before.Revision, wrong).Outcome, ChangeMismatch)
	is.Equal(tm.Config().Revision, before.Revision)
	is.Equal(tm.change("c2", before.Revision, tm.edit("a", "b")).Outcome, ChangeAccepted)
}

// applyPieces applies pieces and returns the last result.
func (tm *testMachine) applyPieces(id string, base uint64, parts ...Action) (out ChangeResult) {
	for _, p := range parts {
		out = tm.change(id, base, p)
	}
	return out
}

// Guards against a staged document that takes effect before it is complete,
// differs from the same document sent in one piece, or is applied more than
// once, whatever happens between its pieces.
func TestStagedDocument(t *testing.T) {
	restore := func(tm *testMachine) { tm.Restore(tm.Snapshot()) }
	tests := map[string]struct {
		between func(tm *testMachine, parts []Action) // runs before the last piece
		want    ChangeOutcome
	}{
		"nothing":              {func(*testMachine, []Action) {}, ChangeAccepted},
		"a new term":           {func(tm *testMachine, _ []Action) { tm.EnterTerm(9) }, ChangeAccepted},
		"a target":             {func(tm *testMachine, _ []Action) { tm.ready("e1", 1) }, ChangeAccepted},
		"snapshot and restore": {func(tm *testMachine, _ []Action) { restore(tm) }, ChangeAccepted},
		"a repeated piece":     {func(tm *testMachine, parts []Action) { tm.applyPieces("c", 0, parts[1], parts[2]) }, ChangeAccepted},
		"all sent again":       {func(tm *testMachine, parts []Action) { tm.applyPieces("c", 0, parts[:3]...) }, ChangeAccepted},
		"the first repeated":   {func(tm *testMachine, parts []Action) { tm.applyPieces("c", 0, parts[0]) }, ChangeMismatch},
		"a piece lost": {func(tm *testMachine, parts []Action) {
			if out := tm.applyPieces("c", 0, parts[0], parts[2]); out.Outcome != ChangeMismatch {
				t.Errorf("a piece after a gap gets the result %+v", out)
			}
		}, ChangeMismatch},
		"pieces of another": {func(tm *testMachine, _ []Action) {
			tm.applyPieces("d", 0, tm.edit("x", "y", "z").Split(1)[0])
		}, ChangeMismatch},
		"another document under the id": {func(tm *testMachine, _ []Action) {
			tm.applyPieces("c", 0, tm.edit("x", "y", "z").Split(1)[0])
		}, ChangeMismatch},
		"another change": {func(tm *testMachine, _ []Action) { tm.change("d", 0, tm.edit("x")) }, ChangeConflict},
		"just before the deadline": {func(tm *testMachine, _ []Action) {
			apply[TickResult](tm, Tick{Now: start.Add(stagingTimeout - 1)})
		}, ChangeAccepted},
		"the deadline, after a restore": {func(tm *testMachine, _ []Action) {
			restore(tm)
			apply[TickResult](tm, Tick{Now: start.Add(stagingTimeout)})
		}, ChangeMismatch},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm := newTestMachine()
			apply[TickResult](tm, Tick{Now: start})
			parts := tm.edit("a", "b", "c").Split(1)
			is.Equal(len(parts), 4)
			is.Equal(tm.applyPieces("c", 0, parts[:3]...).Outcome, ChangeStaged)
			is.Equal(tm.Config().Revision, uint64(0))
			x.between(tm, parts)
			last := tm.change("c", 0, parts[3])
			is.Equal(last.Outcome, x.want)
			if x.want == ChangeMismatch {
				last = tm.applyPieces("c", 0, parts...)
			}
			if x.want == ChangeConflict {
				is.Equal(tm.change("c", 0, parts[0]), last)
				return
			}
			is.Equal(last.Outcome, ChangeAccepted)
			is.Equal(tm.Config().CustomerCount(), 3)
			is.Equal(tm.Snapshot().Staged, nil)
			is.Equal(tm.change("c", 0, parts[0]), last) // a resent document starts with its first piece
			is.Equal(tm.change("c", 0, parts[3]), last)
			is.Equal(tm.change("c", 0, tm.edit("q").Split(1)[0]).Outcome, ChangeIDReused)
		})
	}
}

// Guards against staged pieces of unlimited size.
func TestStagedDocumentSizeLimit(t *testing.T) {
	is := is.New(t)
	tm := newTestMachine()
	tm.limits.stagedBytes = 1000
	e := config.Edit{PutCustomers: document("a", "b", "c").Customers}
	out := ChangeResult{Outcome: ChangeStaged}
	n := uint32(0)
	for ; n < 100 && out.Outcome == ChangeStaged; n++ {
		out = tm.change("c", 0, StageDocument{Piece: n, Edit: e})
		is.True(tm.Snapshot().Staged.Bytes <= 1000)
	}
	is.Equal(out.Outcome, ChangeInvalid)
	is.True(n > 2)
}
