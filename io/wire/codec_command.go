package wire

import (
	"time"

	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
)

// EncodeCommand writes a command for the log. Equal commands have equal bytes.
func EncodeCommand(c state.Command) ([]byte, error) {
	m := &StateCommand{}
	switch c := c.(type) {
	case state.Change:
		change, err := encodeChange(c)
		if err != nil {
			return nil, err
		}
		m.Command = &StateCommand_Change{Change: change}
	case state.Claim:
		m.Command = &StateCommand_Claim{Claim: encodeClaim(c)}
	case state.Settle:
		m.Command = &StateCommand_Settle{Settle: encodeSettle(c)}
	case state.ReportUsage:
		m.Command = &StateCommand_ReportUsage{ReportUsage: &StateReportUsage{Records: mapped(c.Records, encodeUsageRecord)}}
	case state.SealUsage:
		m.Command = &StateCommand_SealUsage{SealUsage: &StateSealUsage{Window: c.Window, Until: nanos(c.Until)}}
	case state.AcknowledgeUsage:
		m.Command = &StateCommand_AcknowledgeUsage{AcknowledgeUsage: &StateAcknowledgeUsage{Window: c.Window}}
	case state.RegisterEntry:
		m.Command = &StateCommand_RegisterEntry{RegisterEntry: &StateRegisterEntry{
			Entry: string(c.Entry), Time: nanos(c.Time), Until: nanos(c.Until), Held: c.CurrentParts,
		}}
	case state.Tick:
		m.Command = &StateCommand_Tick{Tick: &StateTick{Now: nanos(c.Now)}}
	default:
		if !encodeTargetCommand(m, c) && !encodeOrderCommand(m, c) {
			return nil, errors.Wrapf(ErrCodec, "command of type %T", c)
		}
	}
	return marshal(m)
}

func encodeTargetCommand(m *StateCommand, c state.Command) bool {
	switch c := c.(type) {
	case state.Announce:
		m.Command = &StateCommand_Announce{Announce: &StateAnnounce{
			Target: encodeTarget(c.Target), Until: nanos(c.Until), Time: nanos(c.Time),
		}}
	case state.TargetPhase:
		m.Command = &StateCommand_TargetPhase{TargetPhase: &StateTargetPhase{
			Target: string(c.Target), Incarnation: uint64(c.Incarnation), Phase: uint32(c.Phase),
			Until: nanos(c.Until), Time: nanos(c.Time),
		}}
	case state.Observed:
		m.Command = &StateCommand_Observed{Observed: &StateObserved{
			Target: string(c.Target), Incarnation: uint64(c.Incarnation), Number: encodeNumber(c.Number),
			Role: uint32(c.Role), Loaded: encodeContent(c.Loaded), Until: nanos(c.Until), Time: nanos(c.Time),
		}}
	case state.Adapt:
		m.Command = &StateCommand_Adapt{Adapt: &StateAdapt{
			Term: c.Term, Target: string(c.Target), Incarnation: uint64(c.Incarnation), Kind: uint32(c.Kind),
			Role: uint32(c.Role), Until: nanos(c.Until), Time: nanos(c.Time),
		}}
	default:
		return false
	}
	return true
}

func encodeOrderCommand(m *StateCommand, c state.Command) bool {
	switch c := c.(type) {
	case state.PlaceOrder:
		m.Command = &StateCommand_PlaceOrder{PlaceOrder: &StatePlaceOrder{
			Term: c.Term, Target: string(c.Target), Incarnation: uint64(c.Incarnation), Kind: uint32(c.Kind),
			Content: encodeContent(c.Content), Deadline: nanos(c.Deadline), Time: nanos(c.Time),
		}}
	case state.AcknowledgeOrder:
		m.Command = &StateCommand_AcknowledgeOrder{AcknowledgeOrder: &StateAcknowledgeOrder{
			Number: encodeNumber(c.Number), Target: string(c.Target), Incarnation: uint64(c.Incarnation),
			Done: c.Done, Detail: c.Detail, Time: nanos(c.Time),
		}}
	case state.AbandonOrder:
		m.Command = &StateCommand_AbandonOrder{AbandonOrder: &StateAbandonOrder{
			Term: c.Term, Number: encodeNumber(c.Number), Target: string(c.Target), Time: nanos(c.Time),
		}}
	case state.PlacePlatformOrder:
		m.Command = &StateCommand_PlacePlatform{PlacePlatform: &StatePlacePlatform{
			Id: c.ID, Term: c.Term, Kind: uint32(c.Kind), DataCentre: string(c.DataCentre), Region: string(c.Region),
			Pool: c.Pool, Target: string(c.Target), Deadline: nanos(c.Deadline), Time: nanos(c.Time),
		}}
	case state.AcknowledgePlatform:
		m.Command = &StateCommand_AcknowledgePlatform{AcknowledgePlatform: &StateAcknowledgePlatform{
			Number: encodeNumber(c.Number), Done: c.Done, Detail: c.Detail, Time: nanos(c.Time),
		}}
	default:
		return false
	}
	return true
}

func encodeChange(c state.Change) (*StateChange, error) {
	m := &StateChange{Id: c.ID, Base: c.Base, Operator: c.Operator, Time: nanos(c.Time)}
	switch a := c.Action.(type) {
	case state.ReplaceDocument:
		m.Action = &StateChange_ReplaceDocument{ReplaceDocument: encodeDocument(a.Document)}
	case state.EditDocument:
		m.Action = &StateChange_EditDocument{EditDocument: encodeEdit(a)}
	case state.StageDocument:
		m.Action = &StateChange_StageDocument{StageDocument: encodeEdit(state.EditDocument{Edit: a.Edit, Digest: a.Digest, Pieces: a.Piece})}
	case state.IssueKey:
		m.Action = &StateChange_IssueKey{IssueKey: &StateIssueKey{Id: a.ID, Digest: a.Digest[:], Customer: string(a.Customer)}}
	case state.WithdrawKey:
		m.Action = &StateChange_WithdrawKey{WithdrawKey: &StateWithdrawKey{Id: a.ID, Cut: a.Cut}}
	case state.RevokeHost:
		m.Action = &StateChange_RevokeHost{RevokeHost: &StateRevokeHost{Host: string(a.Host)}}
	case state.DrainTarget:
		m.Action = &StateChange_DrainTarget{DrainTarget: &StateDrainTarget{
			Target: string(a.Target), Until: nanos(a.Until), Leave: a.Leave,
		}}
	case state.ReplaceTarget:
		m.Action = &StateChange_ReplaceTarget{ReplaceTarget: &StateReplaceTarget{
			Target: string(a.Target), DrainFor: int64(a.DrainFor), Deadline: nanos(a.Deadline),
		}}
	case state.SetRole:
		m.Action = &StateChange_SetRole{SetRole: &StateSetRole{
			Target: string(a.Target), Role: uint32(a.Role), Until: nanos(a.Until),
		}}
	case state.CancelDrain:
		m.Action = &StateChange_CancelDrain{CancelDrain: &StateCancelDrain{Target: string(a.Target)}}
	default:
		return nil, errors.Wrapf(ErrCodec, "change %q: action of type %T", c.ID, a)
	}
	return m, nil
}

func encodeEdit(a state.EditDocument) *StateEditDocument {
	m := &StateEditDocument{
		PutCustomers:    mapped(a.Edit.PutCustomers, encodeCustomer),
		RemoveCustomers: mapped(a.Edit.RemoveCustomers, text[fleet.Customer]),
		Digest:          a.Digest[:],
		Pieces:          a.Pieces,
	}
	if a.Edit.General != nil {
		m.General = encodeGeneral(*a.Edit.General)
	}
	return m
}

func encodeContent(c state.OrderContent) *StateContent {
	if c == (state.OrderContent{}) {
		return nil
	}
	return &StateContent{Model: c.Model, Version: c.Version, Adapter: c.Adapter, Role: uint32(c.Role)}
}

func encodeClaim(c state.Claim) *StateClaim {
	return &StateClaim{
		Customer: string(c.Key.Customer), IdempotencyKey: []byte(c.Key.IdempotencyKey), RequestId: c.Request[:],
		Body: c.Body[:], Target: string(c.Target), Expires: nanos(c.Expires),
	}
}

func encodeSettle(c state.Settle) *StateSettle {
	return &StateSettle{
		Customer: string(c.Key.Customer), IdempotencyKey: []byte(c.Key.IdempotencyKey), RequestId: c.Request[:],
		Settlement: uint32(c.Settlement), Answer: encodeAnswer(c.Answer),
	}
}

func encodeAnswer(a *state.StoredAnswer) *StateAnswer {
	if a == nil {
		return nil
	}
	return &StateAnswer{Status: uint32(a.Status), Body: a.Body, Headers: mapped(a.Headers, func(h state.Header) *StateHeader {
		return &StateHeader{Name: []byte(h.Name), Value: []byte(h.Value)}
	})}
}

func encodeUsageRecord(u state.UsageRecord) *StateUsageRecord {
	return &StateUsageRecord{
		Node: string(u.ID.Node), Incarnation: uint64(u.ID.Incarnation), Sequence: u.ID.Sequence,
		Customer: string(u.Customer), Route: u.Route,
		PromptTokens: u.PromptTokens, OutputTokens: u.OutputTokens, Ended: nanos(u.Ended),
	}
}

// DecodeCommand reads what EncodeCommand wrote.
func DecodeCommand(b []byte) (state.Command, error) {
	var m StateCommand
	if err := unmarshal(b, &m); err != nil {
		return nil, err
	}
	var r reader
	c := r.command(&m)
	if r.err != nil {
		return nil, r.err
	}
	return c, nil
}

func (r *reader) command(m *StateCommand) state.Command {
	switch c := m.GetCommand().(type) {
	case *StateCommand_Change:
		return r.change(c.Change)
	case *StateCommand_Claim:
		return r.claim(c.Claim)
	case *StateCommand_Settle:
		return r.settle(c.Settle)
	case *StateCommand_ReportUsage:
		return state.ReportUsage{Records: mapped(c.ReportUsage.GetRecords(), decodeUsageRecord)}
	case *StateCommand_SealUsage:
		return state.SealUsage{Window: c.SealUsage.GetWindow(), Until: fromNanos(c.SealUsage.GetUntil())}
	case *StateCommand_AcknowledgeUsage:
		return state.AcknowledgeUsage{Window: c.AcknowledgeUsage.GetWindow()}
	case *StateCommand_RegisterEntry:
		e := c.RegisterEntry
		return state.RegisterEntry{Entry: fleet.Host(e.GetEntry()), Time: fromNanos(e.GetTime()), Until: fromNanos(e.GetUntil()), CurrentParts: e.GetHeld()}
	case *StateCommand_Tick:
		return state.Tick{Now: fromNanos(c.Tick.GetNow())}
	}
	if c := r.targetCommand(m); c != nil {
		return c
	}
	return r.orderCommand(m)
}

func (r *reader) targetCommand(m *StateCommand) state.Command {
	switch c := m.GetCommand().(type) {
	case *StateCommand_Announce:
		a := c.Announce
		return state.Announce{Target: r.target(a.GetTarget()), Until: fromNanos(a.GetUntil()), Time: fromNanos(a.GetTime())}
	case *StateCommand_TargetPhase:
		p := c.TargetPhase
		return state.TargetPhase{
			Target: targetName(p.GetTarget()), Incarnation: fleet.Incarnation(p.GetIncarnation()),
			Phase: enum(r, "phase", p.GetPhase(), fleet.Unknown),
			Until: fromNanos(p.GetUntil()), Time: fromNanos(p.GetTime()),
		}
	case *StateCommand_Observed:
		o := c.Observed
		return state.Observed{
			Target: targetName(o.GetTarget()), Incarnation: fleet.Incarnation(o.GetIncarnation()),
			Number: decodeNumber(o.GetNumber()), Role: enum(r, "role", o.GetRole(), fleet.Decode),
			Loaded: r.content(o.GetLoaded()), Until: fromNanos(o.GetUntil()), Time: fromNanos(o.GetTime()),
		}
	case *StateCommand_Adapt:
		a := c.Adapt
		return state.Adapt{
			Term: a.GetTerm(), Target: targetName(a.GetTarget()), Incarnation: fleet.Incarnation(a.GetIncarnation()),
			Kind: enum(r, "kind of adaptation", a.GetKind(), state.AdaptRelease),
			Role: enum(r, "role", a.GetRole(), fleet.Decode), Until: fromNanos(a.GetUntil()), Time: fromNanos(a.GetTime()),
		}
	}
	return nil
}

func (r *reader) orderCommand(m *StateCommand) state.Command {
	switch c := m.GetCommand().(type) {
	case *StateCommand_PlaceOrder:
		o := c.PlaceOrder
		return state.PlaceOrder{
			Term: o.GetTerm(), Target: targetName(o.GetTarget()), Incarnation: fleet.Incarnation(o.GetIncarnation()),
			Kind: enum(r, "order kind", o.GetKind(), state.OrderDrain), Content: r.content(o.GetContent()),
			Deadline: fromNanos(o.GetDeadline()), Time: fromNanos(o.GetTime()),
		}
	case *StateCommand_AcknowledgeOrder:
		a := c.AcknowledgeOrder
		return state.AcknowledgeOrder{
			Number: decodeNumber(a.GetNumber()), Target: targetName(a.GetTarget()),
			Incarnation: fleet.Incarnation(a.GetIncarnation()), Done: a.GetDone(), Detail: a.GetDetail(),
			Time: fromNanos(a.GetTime()),
		}
	case *StateCommand_AbandonOrder:
		a := c.AbandonOrder
		return state.AbandonOrder{
			Term: a.GetTerm(), Number: decodeNumber(a.GetNumber()), Target: targetName(a.GetTarget()),
			Time: fromNanos(a.GetTime()),
		}
	case *StateCommand_PlacePlatform:
		p := c.PlacePlatform
		return state.PlacePlatformOrder{
			ID: p.GetId(), Term: p.GetTerm(), Kind: enum(r, "platform order kind", p.GetKind(), state.PlatformStop),
			DataCentre: fleet.DataCentre(p.GetDataCentre()), Region: fleet.Region(p.GetRegion()), Pool: p.GetPool(),
			Target: targetName(p.GetTarget()), Deadline: fromNanos(p.GetDeadline()), Time: fromNanos(p.GetTime()),
		}
	case *StateCommand_AcknowledgePlatform:
		a := c.AcknowledgePlatform
		return state.AcknowledgePlatform{
			Number: decodeNumber(a.GetNumber()), Done: a.GetDone(), Detail: a.GetDetail(), Time: fromNanos(a.GetTime()),
		}
	}
	r.fail("no command")
	return nil
}

func (r *reader) change(m *StateChange) state.Change {
	return state.Change{
		ID: m.GetId(), Base: m.GetBase(), Operator: m.GetOperator(), Time: fromNanos(m.GetTime()), Action: r.action(m),
	}
}

func (r *reader) action(m *StateChange) state.Action {
	switch a := m.GetAction().(type) {
	case *StateChange_ReplaceDocument:
		return state.ReplaceDocument{Document: r.document(a.ReplaceDocument)}
	case *StateChange_EditDocument:
		return r.edit(a.EditDocument)
	case *StateChange_StageDocument:
		e := r.edit(a.StageDocument)
		return state.StageDocument{Piece: e.Pieces, Edit: e.Edit, Digest: e.Digest}
	case *StateChange_IssueKey:
		k := a.IssueKey
		return state.IssueKey{ID: k.GetId(), Digest: r.bytes32("key digest", k.GetDigest()), Customer: customerName(k.GetCustomer())}
	case *StateChange_WithdrawKey:
		return state.WithdrawKey{ID: a.WithdrawKey.GetId(), Cut: a.WithdrawKey.GetCut()}
	case *StateChange_RevokeHost:
		return state.RevokeHost{Host: fleet.Host(a.RevokeHost.GetHost())}
	case *StateChange_DrainTarget:
		d := a.DrainTarget
		return state.DrainTarget{Target: targetName(d.GetTarget()), Until: fromNanos(d.GetUntil()), Leave: d.GetLeave()}
	case *StateChange_ReplaceTarget:
		t := a.ReplaceTarget
		return state.ReplaceTarget{
			Target: targetName(t.GetTarget()), DrainFor: time.Duration(t.GetDrainFor()), Deadline: fromNanos(t.GetDeadline()),
		}
	case *StateChange_SetRole:
		s := a.SetRole
		return state.SetRole{
			Target: targetName(s.GetTarget()), Role: enum(r, "role", s.GetRole(), fleet.Decode), Until: fromNanos(s.GetUntil()),
		}
	case *StateChange_CancelDrain:
		return state.CancelDrain{Target: targetName(a.CancelDrain.GetTarget())}
	}
	r.fail("change %q has no action", m.GetId())
	return nil
}

func (r *reader) edit(m *StateEditDocument) state.EditDocument {
	a := state.EditDocument{Digest: r.bytes32("document digest", m.GetDigest()), Pieces: m.GetPieces(), Edit: config.Edit{
		PutCustomers:    mapped(m.GetPutCustomers(), decodeCustomer),
		RemoveCustomers: mapped(m.GetRemoveCustomers(), customerName),
	}}
	if m.GetGeneral() != nil {
		g := r.general(m.GetGeneral())
		a.Edit.General = &g
	}
	return a
}

func (r *reader) content(m *StateContent) state.OrderContent {
	return state.OrderContent{
		Model: m.GetModel(), Version: m.GetVersion(), Adapter: m.GetAdapter(),
		Role: enum(r, "role", m.GetRole(), fleet.Decode),
	}
}

func (r *reader) claim(m *StateClaim) state.Claim {
	return state.Claim{
		Key:     state.ClaimKey{Customer: customerName(m.GetCustomer()), IdempotencyKey: string(m.GetIdempotencyKey())},
		Request: r.requestID(m.GetRequestId()), Body: r.bytes32("body digest", m.GetBody()),
		Target: targetName(m.GetTarget()), Expires: fromNanos(m.GetExpires()),
	}
}

func (r *reader) settle(m *StateSettle) state.Settle {
	return state.Settle{
		Key:     state.ClaimKey{Customer: customerName(m.GetCustomer()), IdempotencyKey: string(m.GetIdempotencyKey())},
		Request: r.requestID(m.GetRequestId()), Answer: decodeAnswer(m.GetAnswer()),
		Settlement: enum(r, "settlement", m.GetSettlement(), state.SettledUnknown),
	}
}

func decodeAnswer(m *StateAnswer) *state.StoredAnswer {
	if m == nil {
		return nil
	}
	return &state.StoredAnswer{
		Status: int(m.GetStatus()), Body: m.GetBody(),
		Headers: mapped(m.GetHeaders(), func(h *StateHeader) state.Header {
			return state.Header{Name: string(h.GetName()), Value: string(h.GetValue())}
		}),
	}
}

func decodeUsageRecord(m *StateUsageRecord) state.UsageRecord {
	return state.UsageRecord{
		ID: state.UsageID{
			Node: fleet.Host(m.GetNode()), Incarnation: fleet.Incarnation(m.GetIncarnation()), Sequence: m.GetSequence(),
		},
		Customer: customerName(m.GetCustomer()), Route: m.GetRoute(),
		PromptTokens: m.GetPromptTokens(), OutputTokens: m.GetOutputTokens(), Ended: fromNanos(m.GetEnded()),
	}
}
