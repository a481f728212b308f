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

// maxNameBytes limits the length of ids and names, and of the details that
// agents and the platform report with a result.
const maxNameBytes = config.MaxNameBytes

// changes holds the results of operator changes, the revision that their bases
// are compared with, and the audit list.
type changes struct {
	revision uint64 // revision produced by the last accepted change
	records  []ChangeRecord
	byID     map[string]ChangeRecord
	audit    []AuditEntry
}

// applyChange accepts a valid change whose base is not older than the last
// accepted change. Revisions that result from target updates do not count;
// otherwise every change would be refused while targets register and leave. A
// change that is sent again gets its stored result.
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
	r.Result = m.applyNew(c, digest)
	if r.Result.Outcome == ChangeMismatch || r.Result.Outcome == ChangeStaged {
		return r.Result // not stored: the document has not been decided on
	}
	if r.Result.Outcome == ChangeAccepted {
		r.Ref.Revision = r.Result.Revision
		m.changes.revision = r.Result.Revision
		m.staged = nil // the base of the staged edit is now outdated
		m.changes.audit = appendBounded(m.changes.audit, m.limits.auditEntries, AuditEntry{
			Change: c.ID, Operator: c.Operator, What: auditText(m.config, m.history.last(), c.Action), Time: c.Time, Revision: r.Result.Revision,
		})
	}
	m.changes.add(r, m.limits.changes)
	return r.Result
}

// applyNew checks a change that has no stored result, and applies and commits it
// if it is valid. digest is its content digest.
func (m *Machine) applyNew(c Change, digest [32]byte) ChangeResult {
	switch {
	case c.Base > m.config.Revision:
		return invalid(errors.Errorf("base revision %d is above the current revision %d", c.Base, m.config.Revision))
	case c.Base < m.changes.revision:
		return ChangeResult{Outcome: ChangeConflict, Winner: m.changes.firstAfter(c.Base)}
	}
	if a, ok := c.Action.(StageDocument); ok {
		return m.stage(c.ID, digest, a)
	}
	if a, ok := c.Action.(EditDocument); ok && a.Pieces > 0 {
		if !m.staged.isFor(c.ID, digest) || m.staged.Pieces != a.Pieces {
			return ChangeResult{Outcome: ChangeMismatch, Reason: errMissingPieces.Error()}
		}
		a.Edit = m.staged.merged(a.Edit)
		c.Action = a
	}
	if err := m.applyAction(c); errors.Is(err, errDigestMismatch) {
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

// applyAction adds the edits of a valid action to the pending delta and updates
// the targets and platform orders that it concerns. A refused action changes
// nothing.
func (m *Machine) applyAction(c Change) error {
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

// contentDigest returns the digest by which two changes are recognised as the
// same. It covers neither the time nor absolute deadlines, since both may
// differ when a change is sent again.
func contentDigest(c Change) ([32]byte, error) {
	action := canonicalAction(c.Action, c.Time)
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

// canonicalAction replaces each deadline of an action by its distance from sent,
// the time of the change. An edit and each of its pieces become an EditDocument
// with only the digest of the resulting document.
func canonicalAction(a Action, sent time.Time) Action {
	relative := func(t time.Time) time.Time {
		if t.IsZero() {
			return t
		}
		return time.Unix(0, 0).UTC().Add(t.Sub(sent))
	}
	switch a := a.(type) {
	case EditDocument:
		return EditDocument{Digest: a.Digest} // the edit depends on the state it was computed from
	case StageDocument:
		return EditDocument{Digest: a.Digest} // all pieces belong to the same change
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

// add stores a result and evicts the oldest beyond limit. A change that is sent
// again after its eviction has an outdated base, so it is never applied twice.
func (c *changes) add(r ChangeRecord, limit int) {
	if len(c.records) >= limit {
		delete(c.byID, c.records[0].ID)
	}
	c.records = appendBounded(c.records, limit, r)
	c.byID[r.ID] = r
}

// firstAfter returns the first stored change that was accepted after a revision.
// If none is stored any more, the result holds only the revision of the last
// accepted change.
func (c *changes) firstAfter(base uint64) ChangeRef {
	for _, r := range c.records {
		if r.Ref.Revision > base {
			return r.Ref
		}
	}
	return ChangeRef{Revision: c.revision}
}

// appendBounded appends v and drops the oldest element of a list that has
// reached its limit. The element is cleared so that its memory can be freed
// before the slice is reallocated.
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
	e := m.config.Diff(d)
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

// EditAction returns the action that changes the document of x to d. An invalid
// document is sent in full, so that the state machine stores its refusal.
func EditAction(x *config.Index, d config.Document) (Action, error) {
	if config.Check(d) != nil {
		return ReplaceDocument{Document: d}, nil
	}
	digest, err := d.Digest()
	return EditDocument{Edit: x.Diff(d), Digest: digest}, err
}

// errDigestMismatch reports an edit that was computed from another document.
var errDigestMismatch = errors.New("the edited document does not match the digest of the change")

func (m *Machine) editDocument(a EditDocument) error {
	d := m.config.DocumentAfter(a.Edit)
	digest, err := d.Digest()
	if err != nil {
		return err
	}
	if digest != a.Digest {
		return errDigestMismatch
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
	if _, ok := m.config.KeyByID(a.ID); ok || m.config.IsInterrupted(a.ID) {
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
		m.pending.InterruptedKeys = []config.InterruptedKey{{ID: a.ID, Revision: m.config.Revision + 1}}
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

// auditText describes an accepted action for the audit list. x is the resulting
// configuration and d the delta that led to it.
func auditText(x *config.Index, d config.Delta, a Action) string {
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
