package wire

import (
	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/core/state"
)

// EncodeResult converts the result of a command to the message for the process that
// submitted the command. Fields that no submitter needs are omitted. EncodeResult
// returns an error for a result that only the leader itself receives.
func EncodeResult(r state.Result) (*ControlResult, error) {
	switch r := r.(type) {
	case state.ClaimResult:
		return &ControlResult{Result: &ControlResult_Claim{Claim: encodeClaimResult(r)}}, nil
	case state.ChangeResult:
		return &ControlResult{Result: &ControlResult_Change{Change: &ControlChangeResult{
			Outcome: uint32(r.Outcome), Revision: r.Revision, Winner: encodeChangeRef(r.Winner), Reason: r.Reason,
		}}}, nil
	case state.TargetResult:
		return &ControlResult{Result: &ControlResult_Target{Target: &ControlTargetResult{
			Outcome: uint32(r.Outcome), Target: encodeTarget(r.Target), Revision: r.Revision,
		}}}, nil
	case state.UsageResult:
		return &ControlResult{Result: &ControlResult_Usage{Usage: &ControlUsageResult{
			Refused: mapSlice(r.Refused, encodeUsageID), TooLate: mapSlice(r.TooLate, encodeUsageID),
		}}}, nil
	case state.ShareResult:
		return &ControlResult{Result: &ControlResult_Share{Share: &ControlShareResult{
			Granted: r.Granted, Share: encodeShare(r.Share),
		}}}, nil
	case state.SettleResult:
		return &ControlResult{Result: &ControlResult_Settle{Settle: uint32(r.Outcome)}}, nil
	}
	return nil, errors.Wrapf(ErrCodec, "result %T is not sent to other processes", r)
}

// DecodeResult converts a message to the result of a command. It returns an error if
// the message holds no result or an invalid value.
func DecodeResult(m *ControlResult) (state.Result, error) {
	var dec decoder
	out := dec.result(m)
	return out, dec.err
}

func (dec *decoder) result(m *ControlResult) state.Result {
	switch x := m.GetResult().(type) {
	case *ControlResult_Claim:
		return dec.claimResult(x.Claim)
	case *ControlResult_Change:
		return state.ChangeResult{
			Outcome:  decodeEnum(dec, "change outcome", x.Change.GetOutcome(), state.ChangeStaged),
			Revision: x.Change.GetRevision(), Winner: decodeChangeRef(x.Change.GetWinner()), Reason: x.Change.GetReason(),
		}
	case *ControlResult_Target:
		return state.TargetResult{
			Outcome: decodeEnum(dec, "target outcome", x.Target.GetOutcome(), state.TargetLimit),
			Target:  dec.target(x.Target.GetTarget()), Revision: x.Target.GetRevision(),
		}
	case *ControlResult_Usage:
		return state.UsageResult{
			Refused: mapSlice(x.Usage.GetRefused(), decodeUsageID), TooLate: mapSlice(x.Usage.GetTooLate(), decodeUsageID),
		}
	case *ControlResult_Share:
		return state.ShareResult{Granted: x.Share.GetGranted(), Share: decodeShare(x.Share.GetShare())}
	case *ControlResult_Settle:
		return state.SettleResult{Outcome: decodeEnum(dec, "settle outcome", x.Settle, state.SettleNotHolder)}
	}
	dec.fail("result is missing")
	return nil
}

func encodeClaimResult(c state.ClaimResult) *ControlClaimResult {
	m := &ControlClaimResult{
		Outcome: uint32(c.Outcome), Index: c.Index, Holder: c.Holder[:], Target: string(c.Target),
	}
	if c.Outcome == state.ClaimReplayed {
		m.Answer = encodeAnswer(&c.Answer)
	}
	return m
}

func (dec *decoder) claimResult(m *ControlClaimResult) state.ClaimResult {
	c := state.ClaimResult{
		Outcome: decodeEnum(dec, "claim outcome", m.GetOutcome(), state.ClaimUnknown),
		Index:   m.GetIndex(), Holder: dec.requestID(m.GetHolder()), Target: targetName(m.GetTarget()),
	}
	if a := decodeAnswer(m.GetAnswer()); a != nil {
		c.Answer = *a
	}
	return c
}

func encodeUsageID(u state.UsageID) *ControlUsageID {
	return &ControlUsageID{Node: string(u.Node), Incarnation: uint64(u.Incarnation), Sequence: u.Sequence}
}

func decodeUsageID(m *ControlUsageID) state.UsageID {
	return state.UsageID{
		Node: fleet.Host(m.GetNode()), Incarnation: fleet.Incarnation(m.GetIncarnation()), Sequence: m.GetSequence(),
	}
}
