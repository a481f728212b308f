package state

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// maxNameBytes bounds ids and names that operators choose.
const maxNameBytes = config.MaxNameBytes

// changes remembers the answers to operator changes.
type changes struct {
	revision uint64 // of the last accepted change
	records  []ChangeRecord
	byID     map[string]ChangeRecord
	audit    []AuditEntry
}

// applyChange accepts a change whose base is not older than the last accepted
// change. Revisions made by targets do not count against a base: they would
// refuse every operator while targets come and go.
func (m *Machine) applyChange(c Change) Result {
	if c.ID == "" || len(c.ID) > maxNameBytes || len(c.Operator) > maxNameBytes {
		return ChangeResult{Outcome: ChangeInvalid, Reason: "the change id is empty, or id or operator is too long"}
	}
	digest, err := contentDigest(c)
	if err != nil {
		return ChangeResult{Outcome: ChangeInvalid, Reason: err.Error()}
	}
	if r, ok := m.changes.byID[c.ID]; ok {
		if r.Digest == digest {
			return r.Result
		}
		return ChangeResult{Outcome: ChangeIDReused, Winner: r.Ref}
	}
	r := ChangeRecord{ID: c.ID, Digest: digest, Ref: ChangeRef{ID: c.ID, Operator: c.Operator, Time: c.Time}}
	r.Result = m.decide(c, digest)
	if r.Result.Outcome == ChangeMismatch || r.Result.Outcome == ChangeStaged {
		return r.Result // not remembered: the document has not been decided on
	}
	if r.Result.Outcome == ChangeAccepted {
		r.Ref.Revision = r.Result.Revision
		m.changes.revision = r.Result.Revision
		m.staged = nil // its base is older than this change
		m.changes.audit = appendBounded(m.changes.audit, m.limits.audit, AuditEntry{
			Change: c.ID, Operator: c.Operator, What: describe(m.config, m.history.last(), c.Action), Time: c.Time, Revision: r.Result.Revision,
		})
	}
	m.changes.remember(r, m.limits.changes)
	return r.Result
}

func (m *Machine) decide(c Change, content [32]byte) ChangeResult {
	switch {
	case c.Base > m.config.Revision:
		return invalid(errors.Errorf("base revision %d is above the current revision %d", c.Base, m.config.Revision))
	case c.Base < m.changes.revision:
		return ChangeResult{Outcome: ChangeConflict, Winner: m.changes.after(c.Base)}
	}
	if a, ok := c.Action.(StageDocument); ok {
		return m.stage(c.ID, content, a)
	}
	if a, ok := c.Action.(EditDocument); ok && a.Pieces > 0 {
		if !m.staged.holds(c.ID, content) || m.staged.Pieces != a.Pieces {
			return ChangeResult{Outcome: ChangeMismatch, Reason: errPieces.Error()}
		}
		a.Edit = m.staged.with(a.Edit)
		c.Action = a
	}
	if err := m.act(c); errors.Is(err, errMismatch) {
		return ChangeResult{Outcome: ChangeMismatch, Reason: err.Error()}
	} else if err != nil {
		return invalid(err)
	}
	m.commit()
	return ChangeResult{Outcome: ChangeAccepted, Revision: m.config.Revision}
}

func invalid(err error) ChangeResult {
	return ChangeResult{Outcome: ChangeInvalid, Reason: err.Error()}
}

// act puts the edits of a valid action into the pending delta. An action that
// is refused leaves no edits.
func (m *Machine) act(c Change) error {
	switch a := c.Action.(type) {
	case ReplaceDocument:
		return m.replaceDocument(a.Document)
	case EditDocument:
		return m.editDocument(a)
	case IssueKey:
		return m.issueKey(a, c.Time)
	case WithdrawKey:
		return m.withdrawKey(a)
	case RevokeHost:
		return m.revokeHost(a, c.Time)
	case DrainTarget:
		return m.drainTarget(a)
	case ReplaceTarget:
		return m.replaceTarget(c, a)
	case SetRole:
		return m.setRole(a)
	case CancelDrain:
		return m.cancelDrain(c, a)
	}
	return errors.Errorf("action of type %T", c.Action)
}

// contentDigest covers what makes two changes the same; the time may differ
// when a change is sent again, and with it the deadlines reckoned from it.
func contentDigest(c Change) ([32]byte, error) {
	action := undated(c.Action, c.Time)
	b, err := json.Marshal(struct {
		Base           uint64
		Operator, Kind string
		Action         Action
	}{c.Base, c.Operator, fmt.Sprintf("%T", action), action})
	if err != nil {
		return [32]byte{}, errors.Wrap(err, "content of the change")
	}
	return sha256.Sum256(b), nil
}

// undated replaces each deadline of an action by its distance from now, and
// leaves of an edited document only the digest.
func undated(a Action, now time.Time) Action {
	relative := func(t time.Time) time.Time {
		if t.IsZero() {
			return t
		}
		return time.Unix(0, 0).UTC().Add(t.Sub(now))
	}
	switch a := a.(type) {
	case EditDocument:
		return EditDocument{Digest: a.Digest} // the edit depends on the state it was made from
	case StageDocument:
		return EditDocument{Digest: a.Digest} // a piece is a part of the same change
	case DrainTarget:
		a.Until = relative(a.Until)
		return a
	case ReplaceTarget:
		a.Deadline = relative(a.Deadline)
		return a
	case SetRole:
		a.Until = relative(a.Until)
		return a
	}
	return a
}

// remember keeps a bounded number of answers. A change that was forgotten and
// comes again has an old base, so it is never applied twice.
func (h *changes) remember(r ChangeRecord, limit int) {
	if len(h.records) >= limit {
		delete(h.byID, h.records[0].ID)
	}
	h.records = appendBounded(h.records, limit, r)
	h.byID[r.ID] = r
}

// after returns the first remembered change accepted after a revision.
func (h *changes) after(base uint64) ChangeRef {
	for _, r := range h.records {
		if r.Ref.Revision > base {
			return r.Ref
		}
	}
	return ChangeRef{Revision: h.revision}
}

func appendBounded[T any](list []T, limit int, v T) []T {
	if len(list) >= limit {
		var zero T
		list[0] = zero
		list = list[1:]
	}
	return append(list, v)
}

func (m *Machine) replaceDocument(d config.Document) error {
	if err := config.Check(d); err != nil {
		return err
	}
	e := m.config.Edit(d)
	m.pending.General, m.pending.PutCustomers, m.pending.RemoveCustomers = e.General, e.PutCustomers, e.RemoveCustomers
	if len(e.RemoveCustomers) == 0 {
		return nil
	}
	removed := make(map[fleet.Customer]bool, len(e.RemoveCustomers))
	for _, c := range e.RemoveCustomers {
		removed[c] = true
	}
	for _, k := range m.config.Keys() {
		if removed[k.Customer] {
			m.pending.RemoveKeys = append(m.pending.RemoveKeys, k.ID)
		}
	}
	return nil
}

// Edit returns the command that leads from the document of x to d. A document
// that is refused goes as a whole, so that the machine's answer is remembered.
func Edit(x *config.Index, d config.Document) (Action, error) {
	if config.Check(d) != nil {
		return ReplaceDocument{Document: d}, nil
	}
	digest, err := d.Digest()
	return EditDocument{Edit: x.Edit(d), Digest: digest}, err
}

// errMismatch reports an edit that was computed against another document.
var errMismatch = errors.New("the edit leads to a document with another digest")

func (m *Machine) editDocument(a EditDocument) error {
	d := m.config.Edited(a.Edit)
	digest, err := d.Digest()
	if err != nil {
		return err
	}
	if digest != a.Digest {
		return errMismatch
	}
	return m.replaceDocument(d)
}

func (m *Machine) issueKey(a IssueKey, now time.Time) error {
	switch {
	case a.ID == "" || len(a.ID) > maxNameBytes:
		return errors.Errorf("key id %q is empty or too long", a.ID)
	case a.Digest == config.Digest{}:
		return errors.Errorf("key %q has no digest", a.ID)
	case m.config.KeyCount() >= m.limits.keys:
		return errors.Errorf("there are already %d keys", m.limits.keys)
	}
	if _, ok := m.config.Customer(a.Customer); !ok {
		return errors.Errorf("customer %q does not exist", a.Customer)
	}
	if _, ok := m.config.KeyByID(a.ID); ok || m.config.WasCut(a.ID) {
		return errors.Errorf("key id %q was used before", a.ID)
	}
	if m.config.HasDigest(a.Digest) {
		return errors.Errorf("key %q has the secret of another key", a.ID)
	}
	m.pending.PutKeys = []config.Key{{ID: a.ID, Digest: a.Digest, Customer: a.Customer, Issued: now}}
	return nil
}

func (m *Machine) withdrawKey(a WithdrawKey) error {
	if _, ok := m.config.KeyByID(a.ID); !ok {
		return errors.Errorf("key %q does not exist", a.ID)
	}
	m.pending.RemoveKeys = []string{a.ID}
	if a.Cut {
		m.pending.Cut = []config.CutKey{{ID: a.ID, Revision: m.config.Revision + 1}}
	}
	return nil
}

func (m *Machine) revokeHost(a RevokeHost, now time.Time) error {
	if a.Host == "" || len(a.Host) > maxNameBytes {
		return errors.Errorf("host %q is empty or too long", a.Host)
	}
	known := slices.ContainsFunc(m.config.Revoked, func(r config.Revocation) bool { return r.Host == a.Host })
	if !known && len(m.config.Revoked) >= config.MaxRevocations {
		return errors.Errorf("the certificates of %d hosts are already revoked; a new authority is needed", config.MaxRevocations)
	}
	m.pending.Revoked = []config.Revocation{{Host: a.Host, IssuedBefore: now}}
	return nil
}

// describe says in the audit what an action did that led to x by d.
func describe(x *config.Index, d config.Delta, a Action) string {
	switch a := a.(type) {
	case ReplaceDocument:
		return fmt.Sprintf("replace document: %d customers, %d routes", len(a.Document.Customers), len(a.Document.Routes))
	case EditDocument:
		return fmt.Sprintf("replace document: %d customers, %d routes; %d customers put, %d removed",
			x.CustomerCount(), len(x.General.Routes), len(d.PutCustomers), len(d.RemoveCustomers))
	case IssueKey:
		return fmt.Sprintf("issue key %q to %q", a.ID, a.Customer)
	case WithdrawKey:
		return fmt.Sprintf("withdraw key %q, cut=%t", a.ID, a.Cut)
	case RevokeHost:
		return fmt.Sprintf("revoke certificates of host %q issued so far", a.Host)
	case DrainTarget:
		return fmt.Sprintf("drain target %q, leave=%t", a.Target, a.Leave)
	case ReplaceTarget:
		return fmt.Sprintf("replace target %q", a.Target)
	case SetRole:
		return fmt.Sprintf("set role of target %q to %s", a.Target, a.Role)
	case CancelDrain:
		return fmt.Sprintf("cancel drain of target %q", a.Target)
	}
	return fmt.Sprintf("%T", a)
}
