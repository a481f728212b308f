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
	r.Result = m.decide(c)
	if r.Result.Outcome == ChangeAccepted {
		r.Ref.Revision = r.Result.Revision
		m.changes.revision = r.Result.Revision
		m.changes.audit = appendBounded(m.changes.audit, m.limits.audit, AuditEntry{
			Change: c.ID, Operator: c.Operator, What: describe(c.Action), Time: c.Time, Revision: r.Result.Revision,
		})
	}
	m.changes.remember(r, m.limits.changes)
	return r.Result
}

func (m *Machine) decide(c Change) ChangeResult {
	switch {
	case c.Base > m.config.Revision:
		return invalid(errors.Errorf("base revision %d is above the current revision %d", c.Base, m.config.Revision))
	case c.Base < m.changes.revision:
		return ChangeResult{Outcome: ChangeConflict, Winner: m.changes.after(c.Base)}
	}
	if err := m.act(c); err != nil {
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
	b, err := json.Marshal(struct {
		Base           uint64
		Operator, Kind string
		Action         Action
	}{c.Base, c.Operator, fmt.Sprintf("%T", c.Action), undated(c.Action, c.Time)})
	if err != nil {
		return [32]byte{}, errors.Wrap(err, "content of the change")
	}
	return sha256.Sum256(b), nil
}

// undated replaces each deadline of an action by its distance from now.
func undated(a Action, now time.Time) Action {
	relative := func(t time.Time) time.Time {
		if t.IsZero() {
			return t
		}
		return time.Unix(0, 0).UTC().Add(t.Sub(now))
	}
	switch a := a.(type) {
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
	present := make(map[fleet.Customer]bool, len(d.Customers))
	for _, c := range d.Customers {
		present[c.Name] = true
		if old, ok := m.config.Customer(c.Name); !ok || old != c {
			m.pending.PutCustomers = append(m.pending.PutCustomers, c)
		}
	}
	removed := make(map[fleet.Customer]bool)
	for _, c := range m.config.Customers() {
		if !present[c.Name] {
			removed[c.Name] = true
			m.pending.RemoveCustomers = append(m.pending.RemoveCustomers, c.Name)
		}
	}
	if len(removed) > 0 {
		for _, k := range m.config.Keys() {
			if removed[k.Customer] {
				m.pending.RemoveKeys = append(m.pending.RemoveKeys, k.ID)
			}
		}
	}
	g := config.General{Team: d.Team, Routes: d.Routes, Models: d.Models, PoolModel: d.PoolModel, Windows: d.Windows, Budget: d.Budget}
	if !m.config.General.Equal(g) {
		m.pending.General = &g
	}
	return nil
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

func describe(a Action) string {
	switch a := a.(type) {
	case ReplaceDocument:
		return fmt.Sprintf("replace document: %d customers, %d routes", len(a.Document.Customers), len(a.Document.Routes))
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
