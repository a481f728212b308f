package wire_test

import (
	"testing"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/wire"
)

// Guards against a conversion that drops a field of a result which the submitter of the
// command needs.
func TestResultRoundTrip(t *testing.T) {
	tests := map[string]state.Result{
		"claim granted": state.ClaimResult{Outcome: state.ClaimGranted, Index: 9, Holder: fleet.RequestID{1}, Target: "t1"},
		"claim unknown": state.ClaimResult{Outcome: state.ClaimUnknown, Holder: fleet.RequestID{1}},
		"claim replayed": state.ClaimResult{Outcome: state.ClaimReplayed, Holder: fleet.RequestID{2}, Answer: state.StoredAnswer{
			Status: 201, Headers: []state.Header{{Name: "Content-Type", Value: "text/plain"}}, Body: []byte("booked"),
		}},
		"change conflict": state.ChangeResult{Outcome: state.ChangeConflict, Winner: state.ChangeRef{ID: "c1", Operator: "ana", Revision: 4}},
		"change mismatch": state.ChangeResult{Outcome: state.ChangeMismatch, Reason: "digest"},
		"change invalid":  state.ChangeResult{Outcome: state.ChangeInvalid, Reason: "no such key"},
		"target":          state.TargetResult{Outcome: state.TargetStale, Target: fleet.Target{Name: "t1", Incarnation: 3}, Revision: 8},
		"usage":           state.UsageResult{Refused: []state.UsageID{{Node: "h1", Incarnation: 1, Sequence: 2}}, TooLate: []state.UsageID{{Node: "h2", Incarnation: 3, Sequence: 4}}},
		"share":           state.ShareResult{Granted: true, Share: state.Share{Entry: "e1", Parts: 7}},
		"settle":          state.SettleResult{Outcome: state.AlreadySettled},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m, err := wire.EncodeResult(want)
			is.NoErr(err)
			got, err := wire.DecodeResult(m)
			is.NoErr(err)
			is.Equal(got, want)
		})
	}
}

// Guards against a message without a result that is accepted as the result of a command.
func TestDecodeResultRejectsEmpty(t *testing.T) {
	is := is.New(t)
	_, err := wire.DecodeResult(&wire.ControlResult{})
	is.True(err != nil) // DecodeResult must return an error
}
