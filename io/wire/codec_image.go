package wire

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/state"
)

// EncodeImage writes a snapshot of the state machine. Equal images have equal
// bytes.
func EncodeImage(i *state.Snapshot) ([]byte, error) {
	return marshal(&StateImage{
		Index: i.Index, Term: i.Term, Sequence: i.Sequence, Now: nanos(i.Now),
		Config: encodeSnapshot(i.Config), OperatorRevision: i.OperatorRevision,
		Changes:  mapped(i.Changes, encodeChangeRecord),
		Audit:    mapped(i.Audit, encodeAudit),
		Targets:  mapped(i.Targets, encodeTargetRecord),
		Platform: mapped(i.Platform, encodePlatformRecord),
		Claims:   mapped(i.Claims, encodeClaimRecord),
		Usage:    encodeUsage(i.Usage),
		Shares:   mapped(i.Shares, encodeShare),
		Staged:   encodeStaging(i.Staged),
	})
}

// DecodeImage reads what EncodeImage wrote.
func DecodeImage(b []byte) (*state.Snapshot, error) {
	var m StateImage
	if err := unmarshal(b, &m); err != nil {
		return nil, err
	}
	var r reader
	i := &state.Snapshot{
		Index: m.GetIndex(), Term: m.GetTerm(), Sequence: m.GetSequence(), Now: fromNanos(m.GetNow()),
		Config: r.snapshot(m.GetConfig()), OperatorRevision: m.GetOperatorRevision(),
		Changes:  mapped(m.GetChanges(), r.changeRecord),
		Audit:    mapped(m.GetAudit(), decodeAudit),
		Targets:  mapped(m.GetTargets(), r.targetRecord),
		Platform: mapped(m.GetPlatform(), r.platformRecord),
		Claims:   mapped(m.GetClaims(), r.claimRecord),
		Usage:    decodeUsage(m.GetUsage()),
		Shares:   mapped(m.GetShares(), decodeShare),
		Staged:   r.staging(m.GetStaged()),
	}
	if r.err != nil {
		return nil, r.err
	}
	return i, nil
}

func encodeStaging(s *state.Staging) *StateStaging {
	if s == nil {
		return nil
	}
	return &StateStaging{
		Id: s.ID, Bytes: uint64(s.Bytes), Until: nanos(s.Until),
		Edit: encodeEdit(state.EditDocument{Edit: s.Edit, Digest: s.Content, Pieces: s.Pieces}),
	}
}

func (r *reader) staging(m *StateStaging) *state.Staging {
	if m == nil {
		return nil
	}
	e := r.edit(m.GetEdit())
	return &state.Staging{
		ID: m.GetId(), Content: e.Digest, Pieces: e.Pieces, Edit: e.Edit, Bytes: int(m.GetBytes()), Until: fromNanos(m.GetUntil()),
	}
}

func encodeRef(c state.ChangeRef) *StateChangeRef {
	if c == (state.ChangeRef{}) {
		return nil
	}
	return &StateChangeRef{Id: c.ID, Operator: c.Operator, Revision: c.Revision, Time: nanos(c.Time)}
}

func decodeRef(m *StateChangeRef) state.ChangeRef {
	return state.ChangeRef{
		ID: m.GetId(), Operator: m.GetOperator(), Revision: m.GetRevision(), Time: fromNanos(m.GetTime()),
	}
}

func encodeChangeRecord(c state.ChangeRecord) *StateChangeRecord {
	return &StateChangeRecord{
		Id: c.ID, Digest: c.Digest[:], Outcome: uint32(c.Result.Outcome), Revision: c.Result.Revision,
		Winner: encodeRef(c.Result.Winner), Reason: c.Result.Reason, Ref: encodeRef(c.Ref),
	}
}

func (r *reader) changeRecord(m *StateChangeRecord) state.ChangeRecord {
	return state.ChangeRecord{
		ID: m.GetId(), Digest: r.bytes32("change digest", m.GetDigest()), Ref: decodeRef(m.GetRef()),
		Result: state.ChangeResult{
			Outcome:  enum(r, "change outcome", m.GetOutcome(), state.ChangeInvalid),
			Revision: m.GetRevision(), Winner: decodeRef(m.GetWinner()), Reason: m.GetReason(),
		},
	}
}

func encodeAudit(a state.AuditEntry) *StateAuditEntry {
	return &StateAuditEntry{Change: a.Change, Operator: a.Operator, What: a.What, Time: nanos(a.Time), Revision: a.Revision}
}

func decodeAudit(m *StateAuditEntry) state.AuditEntry {
	return state.AuditEntry{
		Change: m.GetChange(), Operator: m.GetOperator(), What: m.GetWhat(),
		Time: fromNanos(m.GetTime()), Revision: m.GetRevision(),
	}
}

func encodeOrder(o state.Order) *StateOrder {
	return &StateOrder{
		Number: encodeNumber(o.Number), Target: string(o.Target), Incarnation: uint64(o.Incarnation),
		Kind: uint32(o.Kind), Content: encodeContent(o.Content), Deadline: nanos(o.Deadline),
	}
}

func (r *reader) order(m *StateOrder) state.Order {
	return state.Order{
		Number: decodeNumber(m.GetNumber()), Target: targetName(m.GetTarget()),
		Incarnation: fleet.Incarnation(m.GetIncarnation()),
		Kind:        enum(r, "order kind", m.GetKind(), state.OrderDrain),
		Content:     r.content(m.GetContent()), Deadline: fromNanos(m.GetDeadline()),
	}
}

func encodeTargetRecord(t state.TargetRecord) *StateTargetRecord {
	m := &StateTargetRecord{
		Target: encodeTarget(t.Target), Wanted: uint32(t.Desired), WantedUntil: nanos(t.DesiredUntil),
		RoleWanted: t.RoleChangePending, Role: uint32(t.DesiredRole), Unread: t.ReadRequired, Read: encodeNumber(t.ReadNumber), Loaded: encodeContent(t.Loaded),
		Replaces: string(t.Replaces), DrainFor: int64(t.DrainFor),
	}
	if t.Open != nil {
		m.Open = encodeOrder(*t.Open)
	}
	if c := t.Closed; c != nil {
		m.Closed = &StateClosedOrder{Order: encodeOrder(c.Order), Done: c.Done, Abandoned: c.Abandoned, Detail: c.Detail}
	}
	return m
}

func (r *reader) targetRecord(m *StateTargetRecord) state.TargetRecord {
	t := state.TargetRecord{
		Target: r.target(m.GetTarget()), Desired: enum(r, "wanted", m.GetWanted(), state.DesiredGone),
		DesiredUntil: fromNanos(m.GetWantedUntil()), RoleChangePending: m.GetRoleWanted(),
		DesiredRole: enum(r, "role", m.GetRole(), fleet.Decode), ReadRequired: m.GetUnread(), ReadNumber: decodeNumber(m.GetRead()),
		Loaded: r.content(m.GetLoaded()), Replaces: targetName(m.GetReplaces()), DrainFor: time.Duration(m.GetDrainFor()),
	}
	if m.GetOpen() != nil {
		o := r.order(m.GetOpen())
		t.Open = &o
	}
	if c := m.GetClosed(); c != nil {
		t.Closed = &state.ClosedOrder{
			Order: r.order(c.GetOrder()), Done: c.GetDone(), Abandoned: c.GetAbandoned(), Detail: c.GetDetail(),
		}
	}
	return t
}

func encodePlatformOrder(o state.PlatformOrder) *StatePlatformOrder {
	return &StatePlatformOrder{
		Number: encodeNumber(o.Number), Id: o.ID, Kind: uint32(o.Kind), DataCentre: string(o.DataCentre),
		Region: string(o.Region), Pool: o.Pool, Target: string(o.Target), Deadline: nanos(o.Deadline),
	}
}

func (r *reader) platformOrder(m *StatePlatformOrder) state.PlatformOrder {
	return state.PlatformOrder{
		Number: decodeNumber(m.GetNumber()), ID: m.GetId(),
		Kind:       enum(r, "platform order kind", m.GetKind(), state.PlatformStop),
		DataCentre: fleet.DataCentre(m.GetDataCentre()), Region: fleet.Region(m.GetRegion()), Pool: m.GetPool(),
		Target: targetName(m.GetTarget()), Deadline: fromNanos(m.GetDeadline()),
	}
}

func encodePlatformRecord(p state.PlatformRecord) *StatePlatformRecord {
	return &StatePlatformRecord{
		Order:  encodePlatformOrder(p.Order),
		Closed: p.Closed, Done: p.Done, Detail: p.Detail, Expires: nanos(p.Expires),
	}
}

func (r *reader) platformRecord(m *StatePlatformRecord) state.PlatformRecord {
	return state.PlatformRecord{
		Order:  r.platformOrder(m.GetOrder()),
		Closed: m.GetClosed(), Done: m.GetDone(), Detail: m.GetDetail(), Expires: fromNanos(m.GetExpires()),
	}
}

func encodeClaimRecord(c state.ClaimRecord) *StateClaimRecord {
	return &StateClaimRecord{
		Claim: encodeClaim(c.Claim), Index: c.Index, Phase: uint32(c.Phase), Answer: encodeAnswer(c.Answer),
		Barred: mapped(c.Barred, func(id fleet.RequestID) []byte { return id[:] }),
	}
}

func (r *reader) claimRecord(m *StateClaimRecord) state.ClaimRecord {
	return state.ClaimRecord{
		Claim: r.claim(m.GetClaim()), Index: m.GetIndex(), Phase: enum(r, "claim phase", m.GetPhase(), state.ClaimPhaseReleased),
		Answer: decodeAnswer(m.GetAnswer()), Barred: mapped(m.GetBarred(), r.requestID),
	}
}

func encodeUsageWindow(w state.UsageWindow) *StateUsageWindow {
	return &StateUsageWindow{
		Number: w.Number, From: nanos(w.From), Until: nanos(w.Until), Acknowledged: w.Acknowledged,
		Figures: mapped(w.Figures, func(f state.UsageFigure) *StateUsageFigure {
			return &StateUsageFigure{
				Customer: string(f.Customer), Route: f.Route, Requests: f.Requests,
				PromptTokens: f.PromptTokens, OutputTokens: f.OutputTokens,
			}
		}),
	}
}

func decodeUsageWindow(m *StateUsageWindow) state.UsageWindow {
	return state.UsageWindow{
		Number: m.GetNumber(), From: fromNanos(m.GetFrom()), Until: fromNanos(m.GetUntil()), Acknowledged: m.GetAcknowledged(),
		Figures: mapped(m.GetFigures(), func(f *StateUsageFigure) state.UsageFigure {
			return state.UsageFigure{
				Customer: customerName(f.GetCustomer()), Route: f.GetRoute(), Requests: f.GetRequests(),
				PromptTokens: f.GetPromptTokens(), OutputTokens: f.GetOutputTokens(),
			}
		}),
	}
}

func encodeUsage(u state.UsageSnapshot) *StateUsage {
	return &StateUsage{
		Open: encodeUsageWindow(u.Open), Sealed: mapped(u.Sealed, encodeUsageWindow),
		Sources: mapped(u.Sources, func(s state.UsageSource) *StateUsageSource {
			return &StateUsageSource{
				Node: string(s.Node), Incarnation: uint64(s.Incarnation), Watermark: s.Watermark,
				Above: s.OutOfOrder, Expires: nanos(s.Expires),
			}
		}),
		Floors: mapped(u.Floors, func(f state.UsageFloor) *StateUsageFloor {
			return &StateUsageFloor{Node: string(f.Node), Incarnation: uint64(f.Incarnation)}
		}),
	}
}

func decodeUsage(m *StateUsage) state.UsageSnapshot {
	return state.UsageSnapshot{
		Open: decodeUsageWindow(m.GetOpen()), Sealed: mapped(m.GetSealed(), decodeUsageWindow),
		Sources: mapped(m.GetSources(), func(s *StateUsageSource) state.UsageSource {
			return state.UsageSource{
				Node: fleet.Host(s.GetNode()), Incarnation: fleet.Incarnation(s.GetIncarnation()),
				Watermark: s.GetWatermark(), OutOfOrder: s.GetAbove(), Expires: fromNanos(s.GetExpires()),
			}
		}),
		Floors: mapped(m.GetFloors(), func(f *StateUsageFloor) state.UsageFloor {
			return state.UsageFloor{Node: fleet.Host(f.GetNode()), Incarnation: fleet.Incarnation(f.GetIncarnation())}
		}),
	}
}

func encodeShare(s state.Share) *StateShare {
	return &StateShare{Entry: string(s.Entry), Parts: s.Parts, Expires: nanos(s.Expires)}
}

func decodeShare(m *StateShare) state.Share {
	return state.Share{Entry: fleet.Host(m.GetEntry()), Parts: m.GetParts(), Expires: fromNanos(m.GetExpires())}
}
