package wire

import (
	"time"

	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
)

// EncodeCommand encodes a command for the log. Equal commands are encoded as equal
// bytes.
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
		m.Command = &StateCommand_ReportUsage{ReportUsage: &StateReportUsage{Records: mapSlice(c.Records, encodeUsageRecord)}}
	case state.SealUsage:
		m.Command = &StateCommand_SealUsage{SealUsage: &StateSealUsage{Window: c.Window, Until: unixNanos(c.Until)}}
	case state.AcknowledgeUsage:
		m.Command = &StateCommand_AcknowledgeUsage{AcknowledgeUsage: &StateAcknowledgeUsage{Window: c.Window}}
	case state.RegisterEntry:
		m.Command = &StateCommand_RegisterEntry{RegisterEntry: &StateRegisterEntry{
			Entry: string(c.Entry), Time: unixNanos(c.Time), Until: unixNanos(c.Until), Held: c.CurrentParts,
		}}
	case state.Tick:
		m.Command = &StateCommand_Tick{Tick: &StateTick{Now: unixNanos(c.Now)}}
	default:
		if !encodeTargetCommand(m, c) && !encodeOrderCommand(m, c) {
			return nil, errors.Wrapf(ErrCodec, "command of type %T", c)
		}
	}
	return marshal(m)
}

// encodeTargetCommand sets the command of m if c is a command about a target. It
// returns whether it did.
func encodeTargetCommand(m *StateCommand, c state.Command) bool {
	switch c := c.(type) {
	case state.Announce:
		m.Command = &StateCommand_Announce{Announce: &StateAnnounce{
			Target: encodeTarget(c.Target), Until: unixNanos(c.Until), Time: unixNanos(c.Time),
		}}
	case state.TargetPhase:
		m.Command = &StateCommand_TargetPhase{TargetPhase: &StateTargetPhase{
			Target: string(c.Target), Incarnation: uint64(c.Incarnation), Phase: uint32(c.Phase),
			Until: unixNanos(c.Until), Time: unixNanos(c.Time),
		}}
	case state.Observed:
		m.Command = &StateCommand_Observed{Observed: &StateObserved{
			Target: string(c.Target), Incarnation: uint64(c.Incarnation), Number: encodeOrderNumber(c.Number),
			Role: uint32(c.Role), Loaded: encodeOrderContent(c.Loaded), Until: unixNanos(c.Until), Time: unixNanos(c.Time),
		}}
	case state.Adapt:
		m.Command = &StateCommand_Adapt{Adapt: &StateAdapt{
			Term: c.Term, Target: string(c.Target), Incarnation: uint64(c.Incarnation), Kind: uint32(c.Kind),
			Role: uint32(c.Role), Until: unixNanos(c.Until), Time: unixNanos(c.Time),
		}}
	default:
		return false
	}
	return true
}

// encodeOrderCommand sets the command of m if c is a command about an order. It
// returns whether it did.
func encodeOrderCommand(m *StateCommand, c state.Command) bool {
	switch c := c.(type) {
	case state.PlaceOrder:
		m.Command = &StateCommand_PlaceOrder{PlaceOrder: &StatePlaceOrder{
			Term: c.Term, Target: string(c.Target), Incarnation: uint64(c.Incarnation), Kind: uint32(c.Kind),
			Content: encodeOrderContent(c.Content), Deadline: unixNanos(c.Deadline), Time: unixNanos(c.Time),
		}}
	case state.AcknowledgeOrder:
		m.Command = &StateCommand_AcknowledgeOrder{AcknowledgeOrder: &StateAcknowledgeOrder{
			Number: encodeOrderNumber(c.Number), Target: string(c.Target), Incarnation: uint64(c.Incarnation),
			Done: c.Done, Detail: c.Detail, Time: unixNanos(c.Time),
		}}
	case state.AbandonOrder:
		m.Command = &StateCommand_AbandonOrder{AbandonOrder: &StateAbandonOrder{
			Term: c.Term, Number: encodeOrderNumber(c.Number), Target: string(c.Target), Time: unixNanos(c.Time),
		}}
	case state.PlacePlatformOrder:
		m.Command = &StateCommand_PlacePlatform{PlacePlatform: &StatePlacePlatform{
			Id: c.ID, Term: c.Term, Kind: uint32(c.Kind), DataCentre: string(c.DataCentre), Region: string(c.Region),
			Pool: c.Pool, Target: string(c.Target), Deadline: unixNanos(c.Deadline), Time: unixNanos(c.Time),
		}}
	case state.AcknowledgePlatform:
		m.Command = &StateCommand_AcknowledgePlatform{AcknowledgePlatform: &StateAcknowledgePlatform{
			Number: encodeOrderNumber(c.Number), Done: c.Done, Detail: c.Detail, Time: unixNanos(c.Time),
		}}
	default:
		return false
	}
	return true
}

func encodeChange(c state.Change) (*StateChange, error) {
	m := &StateChange{Id: c.ID, Base: c.Base, Operator: c.Operator, Time: unixNanos(c.Time)}
	switch a := c.Action.(type) {
	case state.ReplaceDocument:
		m.Action = &StateChange_ReplaceDocument{ReplaceDocument: encodeDocument(a.Document)}
	case state.EditDocument:
		m.Action = &StateChange_EditDocument{EditDocument: encodeEdit(a)}
	case state.StageDocument:
		// A piece is encoded as an edit whose field pieces holds the index of the piece.
		m.Action = &StateChange_StageDocument{StageDocument: encodeEdit(state.EditDocument{Edit: a.Edit, Digest: a.Digest, Pieces: a.Piece})}
	case state.IssueKey:
		m.Action = &StateChange_IssueKey{IssueKey: &StateIssueKey{Id: a.ID, Digest: a.Digest[:], Customer: string(a.Customer)}}
	case state.WithdrawKey:
		m.Action = &StateChange_WithdrawKey{WithdrawKey: &StateWithdrawKey{Id: a.ID, Cut: a.Cut}}
	case state.RevokeHost:
		m.Action = &StateChange_RevokeHost{RevokeHost: &StateRevokeHost{Host: string(a.Host)}}
	case state.DrainTarget:
		m.Action = &StateChange_DrainTarget{DrainTarget: &StateDrainTarget{
			Target: string(a.Target), Until: unixNanos(a.Until), Leave: a.Leave,
		}}
	case state.ReplaceTarget:
		m.Action = &StateChange_ReplaceTarget{ReplaceTarget: &StateReplaceTarget{
			Target: string(a.Target), DrainFor: int64(a.DrainFor), Deadline: unixNanos(a.Deadline),
		}}
	case state.SetRole:
		m.Action = &StateChange_SetRole{SetRole: &StateSetRole{
			Target: string(a.Target), Role: uint32(a.Role), Until: unixNanos(a.Until),
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
		PutCustomers:    mapSlice(a.Edit.PutCustomers, encodeCustomer),
		RemoveCustomers: mapSlice(a.Edit.RemoveCustomers, toString[fleet.Customer]),
		Digest:          a.Digest[:],
		Pieces:          a.Pieces,
	}
	if a.Edit.General != nil {
		m.General = encodeGeneral(*a.Edit.General)
	}
	return m
}

func encodeOrderContent(c state.OrderContent) *StateContent {
	if c == (state.OrderContent{}) {
		return nil
	}
	return &StateContent{Model: c.Model, Version: c.Version, Adapter: c.Adapter, Role: uint32(c.Role)}
}

func encodeClaim(c state.Claim) *StateClaim {
	return &StateClaim{
		Customer: string(c.Key.Customer), IdempotencyKey: []byte(c.Key.IdempotencyKey), RequestId: c.Request[:],
		Body: c.Body[:], Target: string(c.Target), Expires: unixNanos(c.Expires),
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
	return &StateAnswer{Status: uint32(a.Status), Body: a.Body, Headers: mapSlice(a.Headers, func(h state.Header) *StateHeader {
		return &StateHeader{Name: []byte(h.Name), Value: []byte(h.Value)}
	})}
}

func encodeUsageRecord(u state.UsageRecord) *StateUsageRecord {
	return &StateUsageRecord{
		Node: string(u.ID.Node), Incarnation: uint64(u.ID.Incarnation), Sequence: u.ID.Sequence,
		Customer: string(u.Customer), Route: u.Route,
		PromptTokens: u.PromptTokens, OutputTokens: u.OutputTokens, Ended: unixNanos(u.Ended),
	}
}

// DecodeCommand decodes the output of EncodeCommand.
func DecodeCommand(b []byte) (state.Command, error) {
	var m StateCommand
	if err := unmarshal(b, &m); err != nil {
		return nil, err
	}
	var dec decoder
	c := dec.command(&m)
	if dec.err != nil {
		return nil, dec.err
	}
	return c, nil
}

func (dec *decoder) command(m *StateCommand) state.Command {
	switch c := m.GetCommand().(type) {
	case *StateCommand_Change:
		return dec.change(c.Change)
	case *StateCommand_Claim:
		return dec.claim(c.Claim)
	case *StateCommand_Settle:
		return dec.settle(c.Settle)
	case *StateCommand_ReportUsage:
		return state.ReportUsage{Records: mapSlice(c.ReportUsage.GetRecords(), decodeUsageRecord)}
	case *StateCommand_SealUsage:
		return state.SealUsage{Window: c.SealUsage.GetWindow(), Until: fromUnixNanos(c.SealUsage.GetUntil())}
	case *StateCommand_AcknowledgeUsage:
		return state.AcknowledgeUsage{Window: c.AcknowledgeUsage.GetWindow()}
	case *StateCommand_RegisterEntry:
		e := c.RegisterEntry
		return state.RegisterEntry{Entry: fleet.Host(e.GetEntry()), Time: fromUnixNanos(e.GetTime()), Until: fromUnixNanos(e.GetUntil()), CurrentParts: e.GetHeld()}
	case *StateCommand_Tick:
		return state.Tick{Now: fromUnixNanos(c.Tick.GetNow())}
	}
	if c := dec.targetCommand(m); c != nil {
		return c
	}
	return dec.orderCommand(m)
}

// targetCommand returns nil if m holds no command about a target.
func (dec *decoder) targetCommand(m *StateCommand) state.Command {
	switch c := m.GetCommand().(type) {
	case *StateCommand_Announce:
		a := c.Announce
		return state.Announce{Target: dec.target(a.GetTarget()), Until: fromUnixNanos(a.GetUntil()), Time: fromUnixNanos(a.GetTime())}
	case *StateCommand_TargetPhase:
		p := c.TargetPhase
		return state.TargetPhase{
			Target: targetName(p.GetTarget()), Incarnation: fleet.Incarnation(p.GetIncarnation()),
			Phase: decodeEnum(dec, "phase", p.GetPhase(), fleet.Unknown),
			Until: fromUnixNanos(p.GetUntil()), Time: fromUnixNanos(p.GetTime()),
		}
	case *StateCommand_Observed:
		o := c.Observed
		return state.Observed{
			Target: targetName(o.GetTarget()), Incarnation: fleet.Incarnation(o.GetIncarnation()),
			Number: decodeOrderNumber(o.GetNumber()), Role: decodeEnum(dec, "role", o.GetRole(), fleet.Decode),
			Loaded: dec.orderContent(o.GetLoaded()), Until: fromUnixNanos(o.GetUntil()), Time: fromUnixNanos(o.GetTime()),
		}
	case *StateCommand_Adapt:
		a := c.Adapt
		return state.Adapt{
			Term: a.GetTerm(), Target: targetName(a.GetTarget()), Incarnation: fleet.Incarnation(a.GetIncarnation()),
			Kind: decodeEnum(dec, "kind of adaptation", a.GetKind(), state.AdaptRelease),
			Role: decodeEnum(dec, "role", a.GetRole(), fleet.Decode), Until: fromUnixNanos(a.GetUntil()), Time: fromUnixNanos(a.GetTime()),
		}
	}
	return nil
}

// orderCommand records an error if m holds no command about an order.
func (dec *decoder) orderCommand(m *StateCommand) state.Command {
	switch c := m.GetCommand().(type) {
	case *StateCommand_PlaceOrder:
		o := c.PlaceOrder
		return state.PlaceOrder{
			Term: o.GetTerm(), Target: targetName(o.GetTarget()), Incarnation: fleet.Incarnation(o.GetIncarnation()),
			Kind: decodeEnum(dec, "order kind", o.GetKind(), state.OrderDrain), Content: dec.orderContent(o.GetContent()),
			Deadline: fromUnixNanos(o.GetDeadline()), Time: fromUnixNanos(o.GetTime()),
		}
	case *StateCommand_AcknowledgeOrder:
		a := c.AcknowledgeOrder
		return state.AcknowledgeOrder{
			Number: decodeOrderNumber(a.GetNumber()), Target: targetName(a.GetTarget()),
			Incarnation: fleet.Incarnation(a.GetIncarnation()), Done: a.GetDone(), Detail: a.GetDetail(),
			Time: fromUnixNanos(a.GetTime()),
		}
	case *StateCommand_AbandonOrder:
		a := c.AbandonOrder
		return state.AbandonOrder{
			Term: a.GetTerm(), Number: decodeOrderNumber(a.GetNumber()), Target: targetName(a.GetTarget()),
			Time: fromUnixNanos(a.GetTime()),
		}
	case *StateCommand_PlacePlatform:
		p := c.PlacePlatform
		return state.PlacePlatformOrder{
			ID: p.GetId(), Term: p.GetTerm(), Kind: decodeEnum(dec, "platform order kind", p.GetKind(), state.PlatformStop),
			DataCentre: fleet.DataCentre(p.GetDataCentre()), Region: fleet.Region(p.GetRegion()), Pool: p.GetPool(),
			Target: targetName(p.GetTarget()), Deadline: fromUnixNanos(p.GetDeadline()), Time: fromUnixNanos(p.GetTime()),
		}
	case *StateCommand_AcknowledgePlatform:
		a := c.AcknowledgePlatform
		return state.AcknowledgePlatform{
			Number: decodeOrderNumber(a.GetNumber()), Done: a.GetDone(), Detail: a.GetDetail(), Time: fromUnixNanos(a.GetTime()),
		}
	}
	dec.fail("no command")
	return nil
}

func (dec *decoder) change(m *StateChange) state.Change {
	return state.Change{
		ID: m.GetId(), Base: m.GetBase(), Operator: m.GetOperator(), Time: fromUnixNanos(m.GetTime()), Action: dec.action(m),
	}
}

func (dec *decoder) action(m *StateChange) state.Action {
	switch a := m.GetAction().(type) {
	case *StateChange_ReplaceDocument:
		return state.ReplaceDocument{Document: dec.document(a.ReplaceDocument)}
	case *StateChange_EditDocument:
		return dec.edit(a.EditDocument)
	case *StateChange_StageDocument:
		e := dec.edit(a.StageDocument)
		return state.StageDocument{Piece: e.Pieces, Edit: e.Edit, Digest: e.Digest}
	case *StateChange_IssueKey:
		k := a.IssueKey
		return state.IssueKey{ID: k.GetId(), Digest: dec.bytes32("key digest", k.GetDigest()), Customer: customerName(k.GetCustomer())}
	case *StateChange_WithdrawKey:
		return state.WithdrawKey{ID: a.WithdrawKey.GetId(), Cut: a.WithdrawKey.GetCut()}
	case *StateChange_RevokeHost:
		return state.RevokeHost{Host: fleet.Host(a.RevokeHost.GetHost())}
	case *StateChange_DrainTarget:
		d := a.DrainTarget
		return state.DrainTarget{Target: targetName(d.GetTarget()), Until: fromUnixNanos(d.GetUntil()), Leave: d.GetLeave()}
	case *StateChange_ReplaceTarget:
		t := a.ReplaceTarget
		return state.ReplaceTarget{
			Target: targetName(t.GetTarget()), DrainFor: time.Duration(t.GetDrainFor()), Deadline: fromUnixNanos(t.GetDeadline()),
		}
	case *StateChange_SetRole:
		s := a.SetRole
		return state.SetRole{
			Target: targetName(s.GetTarget()), Role: decodeEnum(dec, "role", s.GetRole(), fleet.Decode), Until: fromUnixNanos(s.GetUntil()),
		}
	case *StateChange_CancelDrain:
		return state.CancelDrain{Target: targetName(a.CancelDrain.GetTarget())}
	}
	dec.fail("change %q has no action", m.GetId())
	return nil
}

func (dec *decoder) edit(m *StateEditDocument) state.EditDocument {
	a := state.EditDocument{Digest: dec.bytes32("document digest", m.GetDigest()), Pieces: m.GetPieces(), Edit: config.Edit{
		PutCustomers:    mapSlice(m.GetPutCustomers(), decodeCustomer),
		RemoveCustomers: mapSlice(m.GetRemoveCustomers(), customerName),
	}}
	if m.GetGeneral() != nil {
		g := dec.general(m.GetGeneral())
		a.Edit.General = &g
	}
	return a
}

func (dec *decoder) orderContent(m *StateContent) state.OrderContent {
	return state.OrderContent{
		Model: m.GetModel(), Version: m.GetVersion(), Adapter: m.GetAdapter(),
		Role: decodeEnum(dec, "role", m.GetRole(), fleet.Decode),
	}
}

func (dec *decoder) claim(m *StateClaim) state.Claim {
	return state.Claim{
		Key:     state.ClaimKey{Customer: customerName(m.GetCustomer()), IdempotencyKey: string(m.GetIdempotencyKey())},
		Request: dec.requestID(m.GetRequestId()), Body: dec.bytes32("body digest", m.GetBody()),
		Target: targetName(m.GetTarget()), Expires: fromUnixNanos(m.GetExpires()),
	}
}

func (dec *decoder) settle(m *StateSettle) state.Settle {
	return state.Settle{
		Key:     state.ClaimKey{Customer: customerName(m.GetCustomer()), IdempotencyKey: string(m.GetIdempotencyKey())},
		Request: dec.requestID(m.GetRequestId()), Answer: decodeAnswer(m.GetAnswer()),
		Settlement: decodeEnum(dec, "settlement", m.GetSettlement(), state.SettledUnknown),
	}
}

func decodeAnswer(m *StateAnswer) *state.StoredAnswer {
	if m == nil {
		return nil
	}
	return &state.StoredAnswer{
		Status: int(m.GetStatus()), Body: m.GetBody(),
		Headers: mapSlice(m.GetHeaders(), func(h *StateHeader) state.Header {
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
		PromptTokens: m.GetPromptTokens(), OutputTokens: m.GetOutputTokens(), Ended: fromUnixNanos(m.GetEnded()),
	}
}
