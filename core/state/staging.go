package state

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/config"
)

const (
	// stagingTimeout is how long incomplete pieces are kept. Control sends all
	// pieces within seconds.
	stagingTimeout = time.Minute
	// customerOverheadBytes is the size that is counted for each customer in
	// addition to its name, and once for each piece.
	customerOverheadBytes = 40
)

var errMissingPieces = errors.New("pieces of the document are missing")

// Staging holds the pieces of an edit until the last one arrives. At most one
// edit is staged at a time, and nodes do not see it.
type Staging struct {
	ID      string   // id of the change
	Content [32]byte // content digest of the change
	Pieces  uint32
	Edit    config.Edit // all pieces stored so far
	Bytes   int
	Until   time.Time // the pieces are dropped after this
}

// stage stores the next piece of an edit. Repeating a piece other than the
// first has no effect.
func (m *Machine) stage(id string, content [32]byte, a StageDocument) ChangeResult {
	next := &Staging{ID: id, Content: content}
	if a.Piece > 0 {
		if !m.staged.isFor(id, content) || a.Piece > m.staged.Pieces {
			return ChangeResult{Outcome: ChangeMismatch, Reason: errMissingPieces.Error()}
		}
		if a.Piece < m.staged.Pieces {
			return ChangeResult{Outcome: ChangeStaged}
		}
		next = m.staged
	}
	n, err := editBytes(a.Edit)
	if err == nil && next.Bytes+n > m.limits.stagedBytes {
		err = errors.Errorf("the pieces of the document have more than %d bytes", m.limits.stagedBytes)
	}
	if err != nil {
		return invalid(err)
	}
	next.Edit, next.Bytes = next.merged(a.Edit), next.Bytes+n
	next.Pieces++
	next.Until = m.now.Add(stagingTimeout)
	m.staged = next
	return ChangeResult{Outcome: ChangeStaged}
}

func (s *Staging) isFor(id string, content [32]byte) bool {
	return s != nil && s.ID == id && s.Content == content
}

// merged returns the edit of all stored pieces together with one more. It does
// not modify s.
func (s *Staging) merged(e config.Edit) config.Edit {
	out := config.Edit{
		General:         s.Edit.General,
		PutCustomers:    slices.Concat(s.Edit.PutCustomers, e.PutCustomers),
		RemoveCustomers: slices.Concat(s.Edit.RemoveCustomers, e.RemoveCustomers),
	}
	if e.General != nil {
		out.General = e.General
	}
	return out
}

// clone returns a shallow copy. The copies may share the edit, because merged
// does not modify it in place.
func (s *Staging) clone() *Staging {
	if s == nil {
		return nil
	}
	c := *s
	return &c
}

func editBytes(e config.Edit) (int, error) {
	n := customerOverheadBytes
	for _, c := range e.PutCustomers {
		n += customerOverheadBytes + len(c.Name)
	}
	for _, c := range e.RemoveCustomers {
		n += customerOverheadBytes + len(c)
	}
	if e.General == nil {
		return n, nil
	}
	b, err := json.Marshal(e.General)
	return n + len(b), errors.Wrap(err, "general part")
}

// expireStaged drops the pieces of an edit that was not completed in time.
func (m *Machine) expireStaged() int {
	if m.staged == nil || m.now.Before(m.staged.Until) {
		return 0
	}
	m.staged = nil
	return 1
}

// Split divides an edit into pieces of at most the given number of customers.
// The last piece is an EditDocument, the others are StageDocuments.
func (a EditDocument) Split(customers int) []Action {
	rest := a.Edit
	parts := []config.Edit{{General: rest.General}}
	for len(rest.RemoveCustomers) > 0 {
		n := min(customers, len(rest.RemoveCustomers))
		parts = append(parts, config.Edit{RemoveCustomers: rest.RemoveCustomers[:n]})
		rest.RemoveCustomers = rest.RemoveCustomers[n:]
	}
	for len(rest.PutCustomers) > 0 {
		n := min(customers, len(rest.PutCustomers))
		parts = append(parts, config.Edit{PutCustomers: rest.PutCustomers[:n]})
		rest.PutCustomers = rest.PutCustomers[n:]
	}
	last := len(parts) - 1
	var out []Action
	for i, e := range parts[:last] {
		out = append(out, StageDocument{Piece: uint32(i), Edit: e, Digest: a.Digest})
	}
	return append(out, EditDocument{Edit: parts[last], Digest: a.Digest, Pieces: uint32(last)})
}
