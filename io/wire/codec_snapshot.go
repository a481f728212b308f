package wire

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/state"
)

// EncodeStateSnapshot encodes a snapshot of the state machine. Equal snapshots are
// encoded as equal bytes.
func EncodeStateSnapshot(s *state.Snapshot) ([]byte, error) {
	return marshal(&StateImage{
		Index: s.Index, Term: s.Term, Sequence: s.Sequence, Now: unixNanos(s.Now),
		Config: encodeConfigSnapshot(s.Config), OperatorRevision: s.OperatorRevision,
		Changes:  mapSlice(s.Changes, encodeChangeRecord),
		Audit:    mapSlice(s.Audit, encodeAuditEntry),
		Targets:  mapSlice(s.Targets, encodeTargetRecord),
		Platform: mapSlice(s.Platform, encodePlatformRecord),
		Claims:   mapSlice(s.Claims, encodeClaimRecord),
		Usage:    encodeUsageSnapshot(s.Usage),
		Shares:   mapSlice(s.Shares, encodeShare),
		Staged:   encodeStaging(s.Staged),
	})
}

// DecodeStateSnapshot decodes the output of EncodeStateSnapshot.
func DecodeStateSnapshot(b []byte) (*state.Snapshot, error) {
	var m StateImage
	if err := unmarshal(b, &m); err != nil {
		return nil, err
	}
	var dec decoder
	s := &state.Snapshot{
		Index: m.GetIndex(), Term: m.GetTerm(), Sequence: m.GetSequence(), Now: fromUnixNanos(m.GetNow()),
		Config: dec.configSnapshot(m.GetConfig()), OperatorRevision: m.GetOperatorRevision(),
		Changes:  mapSlice(m.GetChanges(), dec.changeRecord),
		Audit:    mapSlice(m.GetAudit(), decodeAuditEntry),
		Targets:  mapSlice(m.GetTargets(), dec.targetRecord),
		Platform: mapSlice(m.GetPlatform(), dec.platformRecord),
		Claims:   mapSlice(m.GetClaims(), dec.claimRecord),
		Usage:    decodeUsageSnapshot(m.GetUsage()),
		Shares:   mapSlice(m.GetShares(), decodeShare),
		Staged:   dec.staging(m.GetStaged()),
	}
	if dec.err != nil {
		return nil, dec.err
	}
	return s, nil
}

func encodeStaging(s *state.Staging) *StateStaging {
	if s == nil {
		return nil
	}
	return &StateStaging{
		Id: s.ID, Bytes: uint64(s.Bytes), Until: unixNanos(s.Until),
		Edit: encodeEdit(state.EditDocument{Edit: s.Edit, Digest: s.Content, Pieces: s.Pieces}),
	}
}

func (dec *decoder) staging(m *StateStaging) *state.Staging {
	if m == nil {
		return nil
	}
	e := dec.edit(m.GetEdit())
	return &state.Staging{
		ID: m.GetId(), Content: e.Digest, Pieces: e.Pieces, Edit: e.Edit, Bytes: int(m.GetBytes()), Until: fromUnixNanos(m.GetUntil()),
	}
}

func encodeChangeRef(c state.ChangeRef) *StateChangeRef {
	if c == (state.ChangeRef{}) {
		return nil
	}
	return &StateChangeRef{Id: c.ID, Operator: c.Operator, Revision: c.Revision, Time: unixNanos(c.Time)}
}

func decodeChangeRef(m *StateChangeRef) state.ChangeRef {
	return state.ChangeRef{
		ID: m.GetId(), Operator: m.GetOperator(), Revision: m.GetRevision(), Time: fromUnixNanos(m.GetTime()),
	}
}

func encodeChangeRecord(c state.ChangeRecord) *StateChangeRecord {
	return &StateChangeRecord{
		Id: c.ID, Digest: c.Digest[:], Outcome: uint32(c.Result.Outcome), Revision: c.Result.Revision,
		Winner: encodeChangeRef(c.Result.Winner), Reason: c.Result.Reason, Ref: encodeChangeRef(c.Ref),
	}
}

func (dec *decoder) changeRecord(m *StateChangeRecord) state.ChangeRecord {
	return state.ChangeRecord{
		ID: m.GetId(), Digest: dec.bytes32("change digest", m.GetDigest()), Ref: decodeChangeRef(m.GetRef()),
		Result: state.ChangeResult{
			Outcome:  decodeEnum(dec, "change outcome", m.GetOutcome(), state.ChangeInvalid),
			Revision: m.GetRevision(), Winner: decodeChangeRef(m.GetWinner()), Reason: m.GetReason(),
		},
	}
}

func encodeAuditEntry(a state.AuditEntry) *StateAuditEntry {
	return &StateAuditEntry{Change: a.Change, Operator: a.Operator, What: a.What, Time: unixNanos(a.Time), Revision: a.Revision}
}

func decodeAuditEntry(m *StateAuditEntry) state.AuditEntry {
	return state.AuditEntry{
		Change: m.GetChange(), Operator: m.GetOperator(), What: m.GetWhat(),
		Time: fromUnixNanos(m.GetTime()), Revision: m.GetRevision(),
	}
}

func encodeOrder(o state.Order) *StateOrder {
	return &StateOrder{
		Number: encodeOrderNumber(o.Number), Target: string(o.Target), Incarnation: uint64(o.Incarnation),
		Kind: uint32(o.Kind), Content: encodeOrderContent(o.Content), Deadline: unixNanos(o.Deadline),
	}
}

func (dec *decoder) order(m *StateOrder) state.Order {
	return state.Order{
		Number: decodeOrderNumber(m.GetNumber()), Target: targetName(m.GetTarget()),
		Incarnation: fleet.Incarnation(m.GetIncarnation()),
		Kind:        decodeEnum(dec, "order kind", m.GetKind(), state.OrderDrain),
		Content:     dec.orderContent(m.GetContent()), Deadline: fromUnixNanos(m.GetDeadline()),
	}
}

func encodeTargetRecord(t state.TargetRecord) *StateTargetRecord {
	m := &StateTargetRecord{
		Target: encodeTarget(t.Target), Wanted: uint32(t.Desired), WantedUntil: unixNanos(t.DesiredUntil),
		RoleWanted: t.RoleChangePending, Role: uint32(t.DesiredRole), Unread: t.ReadRequired, Read: encodeOrderNumber(t.ReadNumber), Loaded: encodeOrderContent(t.Loaded),
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

func (dec *decoder) targetRecord(m *StateTargetRecord) state.TargetRecord {
	t := state.TargetRecord{
		Target: dec.target(m.GetTarget()), Desired: decodeEnum(dec, "wanted", m.GetWanted(), state.DesiredGone),
		DesiredUntil: fromUnixNanos(m.GetWantedUntil()), RoleChangePending: m.GetRoleWanted(),
		DesiredRole: decodeEnum(dec, "role", m.GetRole(), fleet.Decode), ReadRequired: m.GetUnread(), ReadNumber: decodeOrderNumber(m.GetRead()),
		Loaded: dec.orderContent(m.GetLoaded()), Replaces: targetName(m.GetReplaces()), DrainFor: time.Duration(m.GetDrainFor()),
	}
	if m.GetOpen() != nil {
		o := dec.order(m.GetOpen())
		t.Open = &o
	}
	if c := m.GetClosed(); c != nil {
		t.Closed = &state.ClosedOrder{
			Order: dec.order(c.GetOrder()), Done: c.GetDone(), Abandoned: c.GetAbandoned(), Detail: c.GetDetail(),
		}
	}
	return t
}

func encodePlatformOrder(o state.PlatformOrder) *StatePlatformOrder {
	return &StatePlatformOrder{
		Number: encodeOrderNumber(o.Number), Id: o.ID, Kind: uint32(o.Kind), DataCentre: string(o.DataCentre),
		Region: string(o.Region), Pool: o.Pool, Target: string(o.Target), Deadline: unixNanos(o.Deadline),
	}
}

func (dec *decoder) platformOrder(m *StatePlatformOrder) state.PlatformOrder {
	return state.PlatformOrder{
		Number: decodeOrderNumber(m.GetNumber()), ID: m.GetId(),
		Kind:       decodeEnum(dec, "platform order kind", m.GetKind(), state.PlatformStop),
		DataCentre: fleet.DataCentre(m.GetDataCentre()), Region: fleet.Region(m.GetRegion()), Pool: m.GetPool(),
		Target: targetName(m.GetTarget()), Deadline: fromUnixNanos(m.GetDeadline()),
	}
}

func encodePlatformRecord(p state.PlatformRecord) *StatePlatformRecord {
	return &StatePlatformRecord{
		Order:  encodePlatformOrder(p.Order),
		Closed: p.Closed, Done: p.Done, Detail: p.Detail, Expires: unixNanos(p.Expires),
	}
}

func (dec *decoder) platformRecord(m *StatePlatformRecord) state.PlatformRecord {
	return state.PlatformRecord{
		Order:  dec.platformOrder(m.GetOrder()),
		Closed: m.GetClosed(), Done: m.GetDone(), Detail: m.GetDetail(), Expires: fromUnixNanos(m.GetExpires()),
	}
}

func encodeClaimRecord(c state.ClaimRecord) *StateClaimRecord {
	return &StateClaimRecord{
		Claim: encodeClaim(c.Claim), Index: c.Index, Phase: uint32(c.Phase), Answer: encodeAnswer(c.Answer),
		Barred: mapSlice(c.Barred, func(id fleet.RequestID) []byte { return id[:] }),
	}
}

func (dec *decoder) claimRecord(m *StateClaimRecord) state.ClaimRecord {
	return state.ClaimRecord{
		Claim: dec.claim(m.GetClaim()), Index: m.GetIndex(), Phase: decodeEnum(dec, "claim phase", m.GetPhase(), state.ClaimPhaseReleased),
		Answer: decodeAnswer(m.GetAnswer()), Barred: mapSlice(m.GetBarred(), dec.requestID),
	}
}

func encodeUsageWindow(w state.UsageWindow) *StateUsageWindow {
	return &StateUsageWindow{
		Number: w.Number, From: unixNanos(w.From), Until: unixNanos(w.Until), Acknowledged: w.Acknowledged,
		Figures: mapSlice(w.Figures, func(f state.UsageFigure) *StateUsageFigure {
			return &StateUsageFigure{
				Customer: string(f.Customer), Route: f.Route, Requests: f.Requests,
				PromptTokens: f.PromptTokens, OutputTokens: f.OutputTokens,
			}
		}),
	}
}

func decodeUsageWindow(m *StateUsageWindow) state.UsageWindow {
	return state.UsageWindow{
		Number: m.GetNumber(), From: fromUnixNanos(m.GetFrom()), Until: fromUnixNanos(m.GetUntil()), Acknowledged: m.GetAcknowledged(),
		Figures: mapSlice(m.GetFigures(), func(f *StateUsageFigure) state.UsageFigure {
			return state.UsageFigure{
				Customer: customerName(f.GetCustomer()), Route: f.GetRoute(), Requests: f.GetRequests(),
				PromptTokens: f.GetPromptTokens(), OutputTokens: f.GetOutputTokens(),
			}
		}),
	}
}

func encodeUsageSnapshot(u state.UsageSnapshot) *StateUsage {
	return &StateUsage{
		Open: encodeUsageWindow(u.Open), Sealed: mapSlice(u.Sealed, encodeUsageWindow),
		Sources: mapSlice(u.Sources, func(s state.UsageSource) *StateUsageSource {
			return &StateUsageSource{
				Node: string(s.Node), Incarnation: uint64(s.Incarnation), Watermark: s.Watermark,
				Above: s.OutOfOrder, Expires: unixNanos(s.Expires),
			}
		}),
		Floors: mapSlice(u.Floors, func(f state.UsageFloor) *StateUsageFloor {
			return &StateUsageFloor{Node: string(f.Node), Incarnation: uint64(f.Incarnation)}
		}),
	}
}

func decodeUsageSnapshot(m *StateUsage) state.UsageSnapshot {
	return state.UsageSnapshot{
		Open: decodeUsageWindow(m.GetOpen()), Sealed: mapSlice(m.GetSealed(), decodeUsageWindow),
		Sources: mapSlice(m.GetSources(), func(s *StateUsageSource) state.UsageSource {
			return state.UsageSource{
				Node: fleet.Host(s.GetNode()), Incarnation: fleet.Incarnation(s.GetIncarnation()),
				Watermark: s.GetWatermark(), OutOfOrder: s.GetAbove(), Expires: fromUnixNanos(s.GetExpires()),
			}
		}),
		Floors: mapSlice(m.GetFloors(), func(f *StateUsageFloor) state.UsageFloor {
			return state.UsageFloor{Node: fleet.Host(f.GetNode()), Incarnation: fleet.Incarnation(f.GetIncarnation())}
		}),
	}
}

func encodeShare(s state.Share) *StateShare {
	return &StateShare{Entry: string(s.Entry), Parts: s.Parts, Expires: unixNanos(s.Expires)}
}

func decodeShare(m *StateShare) state.Share {
	return state.Share{Entry: fleet.Host(m.GetEntry()), Parts: m.GetParts(), Expires: fromUnixNanos(m.GetExpires())}
}
