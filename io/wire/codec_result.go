package wire

import (
	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/core/state"
)

// EncodeResult writes the answer to a command that was forwarded.
func EncodeResult(v state.Result) ([]byte, error) {
	m := &StateResult{}
	switch v := v.(type) {
	case state.ChangeResult:
		m.Result = &StateResult_Change{Change: &StateChangeResult{
			Outcome: uint32(v.Outcome), Revision: v.Revision, Winner: encodeRef(v.Winner), Reason: v.Reason,
		}}
	case state.TargetResult:
		m.Result = &StateResult_Target{Target: &StateTargetResult{
			Outcome: uint32(v.Outcome), Target: encodeTarget(v.Target), Read: encodeNumber(v.Read), Revision: v.Revision,
		}}
	case state.TickResult:
		m.Result = &StateResult_Tick{Tick: &StateTickResult{Now: nanos(v.Now), Revision: v.Revision, Expired: uint64(v.Expired)}}
	case state.OrderResult:
		m.Result = &StateResult_Order{Order: &StateOrderResult{
			Outcome: uint32(v.Outcome), Order: encodeOrder(v.Order), Done: v.Done, Detail: v.Detail, Read: encodeNumber(v.Read),
		}}
	case state.PlatformResult:
		m.Result = &StateResult_Platform{Platform: &StatePlatformResult{
			Outcome: uint32(v.Outcome), Order: encodePlatformOrder(v.Order), Done: v.Done, Detail: v.Detail,
		}}
	case state.ClaimResult:
		m.Result = &StateResult_Claim{Claim: encodeClaimResult(v)}
	case state.SettleResult:
		m.Result = &StateResult_Settle{Settle: &StateSettleResult{Outcome: uint32(v.Outcome)}}
	case state.UsageResult:
		m.Result = &StateResult_Usage{Usage: &StateUsageResult{
			Window: v.Window, Counted: uint64(v.Counted),
			Refused: mapped(v.Refused, encodeUsageID), TooLate: mapped(v.TooLate, encodeUsageID),
		}}
	case state.WindowResult:
		m.Result = &StateResult_Window{Window: &StateWindowResult{Outcome: uint32(v.Outcome), Window: encodeUsageWindow(v.Window)}}
	case state.ShareResult:
		m.Result = &StateResult_Share{Share: &StateShareResult{Granted: v.Granted, Share: encodeShare(v.Share)}}
	default:
		return nil, errors.Wrapf(ErrCodec, "result of type %T", v)
	}
	return marshal(m)
}

func encodeClaimResult(v state.ClaimResult) *StateClaimResult {
	m := &StateClaimResult{Outcome: uint32(v.Outcome), Index: v.Index, Holder: v.Holder[:], Target: string(v.Target)}
	if v.Outcome == state.ClaimAnswered {
		m.Answer = encodeAnswer(&v.Answer)
	}
	return m
}

func encodeUsageID(id state.UsageID) *StateUsageID {
	return &StateUsageID{Node: string(id.Node), Incarnation: uint64(id.Incarnation), Sequence: id.Sequence}
}

func decodeUsageID(m *StateUsageID) state.UsageID {
	return state.UsageID{
		Node: fleet.Host(m.GetNode()), Incarnation: fleet.Incarnation(m.GetIncarnation()), Sequence: m.GetSequence(),
	}
}

// DecodeResult reads what EncodeResult wrote.
func DecodeResult(b []byte) (state.Result, error) {
	var m StateResult
	if err := unmarshal(b, &m); err != nil {
		return nil, err
	}
	var r reader
	v := r.result(&m)
	if r.err != nil {
		return nil, r.err
	}
	return v, nil
}

func (r *reader) result(m *StateResult) state.Result {
	switch v := m.GetResult().(type) {
	case *StateResult_Change:
		c := v.Change
		return state.ChangeResult{
			Outcome:  enum(r, "change outcome", c.GetOutcome(), state.ChangeInvalid),
			Revision: c.GetRevision(), Winner: decodeRef(c.GetWinner()), Reason: c.GetReason(),
		}
	case *StateResult_Target:
		t := v.Target
		return state.TargetResult{
			Outcome: enum(r, "target outcome", t.GetOutcome(), state.TargetLimit), Target: r.target(t.GetTarget()),
			Read: decodeNumber(t.GetRead()), Revision: t.GetRevision(),
		}
	case *StateResult_Tick:
		t := v.Tick
		return state.TickResult{Now: fromNanos(t.GetNow()), Revision: t.GetRevision(), Expired: int(t.GetExpired())}
	case *StateResult_Order:
		o := v.Order
		return state.OrderResult{
			Outcome: enum(r, "order outcome", o.GetOutcome(), state.OrderNotAllowed), Order: r.order(o.GetOrder()),
			Done: o.GetDone(), Detail: o.GetDetail(), Read: decodeNumber(o.GetRead()),
		}
	case *StateResult_Platform:
		p := v.Platform
		return state.PlatformResult{
			Outcome: enum(r, "order outcome", p.GetOutcome(), state.OrderNotAllowed), Order: r.platformOrder(p.GetOrder()),
			Done: p.GetDone(), Detail: p.GetDetail(),
		}
	case *StateResult_Claim:
		return r.claimResult(v.Claim)
	}
	return r.countResult(m)
}

func (r *reader) claimResult(m *StateClaimResult) state.Result {
	v := state.ClaimResult{
		Outcome: enum(r, "claim outcome", m.GetOutcome(), state.ClaimUnknown), Index: m.GetIndex(),
		Holder: r.requestID(m.GetHolder()), Target: targetName(m.GetTarget()),
	}
	if a := decodeAnswer(m.GetAnswer()); a != nil {
		v.Answer = *a
	}
	return v
}

func (r *reader) countResult(m *StateResult) state.Result {
	switch v := m.GetResult().(type) {
	case *StateResult_Settle:
		return state.SettleResult{Outcome: enum(r, "settle outcome", v.Settle.GetOutcome(), state.SettleNotHolder)}
	case *StateResult_Usage:
		u := v.Usage
		return state.UsageResult{
			Window: u.GetWindow(), Counted: int(u.GetCounted()),
			Refused: mapped(u.GetRefused(), decodeUsageID), TooLate: mapped(u.GetTooLate(), decodeUsageID),
		}
	case *StateResult_Window:
		return state.WindowResult{
			Outcome: enum(r, "window outcome", v.Window.GetOutcome(), state.WindowLimit),
			Window:  decodeUsageWindow(v.Window.GetWindow()),
		}
	case *StateResult_Share:
		return state.ShareResult{Granted: v.Share.GetGranted(), Share: decodeShare(v.Share.GetShare())}
	}
	r.fail("no result")
	return nil
}
