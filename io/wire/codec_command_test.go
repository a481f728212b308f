package wire

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
)

var testTime = time.Unix(1_700_000_000, 5).UTC()

func sampleTarget() fleet.Target {
	return fleet.Target{
		Name: "e1", Host: "h1", Region: "r", DataCentre: "dc", Agent: netip.MustParseAddrPort("127.0.0.1:7000"),
		Incarnation: 4, Kind: fleet.Engine, Pool: "notes", Role: fleet.Decode, Phase: fleet.Draining,
		PhaseUntil: testTime, ChecksFencing: true, Slots: 8,
	}
}

func sampleDocument() config.Document {
	return config.Document{
		Team:      "team",
		Customers: []config.Customer{{Name: "a", Weight: 2, TokensPerSecond: 1.5, RequestsPerSec: 3, Large: true}},
		Routes: []config.Route{{
			Name: "r", Prefix: "/v1", Protocol: config.Language, Pool: "notes", Class: fleet.Urgent, Open: true,
			Idempotent: true, SafeReads: true, Promise: time.Second, FirstToken: time.Millisecond,
		}},
		Models:  []config.Model{{Name: "m", Version: "1", Bytes: 9}},
		Windows: []config.Window{{Name: "tide", Opens: testTime, Closes: testTime.Add(time.Hour), Reserved: 0.5}},
		Budget: config.Budget{
			HourlyCap: 4, PricePerHour: map[string]float64{"notes": 2}, StartDelay: time.Minute,
			MinimumPerPool: map[string]int{"notes": 1}, MaximumPerPool: map[string]int{"notes": 3}, RoleChangeDelay: 5,
		},
	}
}

func sampleCommands() map[string]state.Command {
	key := state.ClaimKey{Customer: "a", IdempotencyKey: "k\xff"}
	change := func(a state.Action) state.Command {
		return state.Change{ID: "c1", Base: 3, Operator: "op", Time: testTime, Action: a}
	}
	number := fleet.OrderNumber{Term: 2, Sequence: 9}
	general := sampleDocument().General()
	content := state.OrderContent{Model: "m", Version: "1", Adapter: "x", Role: fleet.Prefill}
	return map[string]state.Command{
		"replace document": change(state.ReplaceDocument{Document: sampleDocument()}),
		"stage document":   change(state.StageDocument{Piece: 2, Digest: [32]byte{4}, Edit: config.Edit{RemoveCustomers: []fleet.Customer{"b"}}}),
		"first piece":      change(state.StageDocument{Digest: [32]byte{4}, Edit: config.Edit{General: &general}}),
		"last piece":       change(state.EditDocument{Pieces: 3, Digest: [32]byte{4}, Edit: config.Edit{PutCustomers: sampleDocument().Customers}}),
		"edit document": change(state.EditDocument{Digest: [32]byte{4}, Edit: config.Edit{
			General: &general, PutCustomers: sampleDocument().Customers, RemoveCustomers: []fleet.Customer{"b"},
		}}),
		"issue key":            change(state.IssueKey{ID: "k", Digest: config.Digest{1}, Customer: "a"}),
		"revoke host":          change(state.RevokeHost{Host: "h"}),
		"withdraw key":         change(state.WithdrawKey{ID: "k", Cut: true}),
		"drain target":         change(state.DrainTarget{Target: "e1", Until: testTime, Leave: true}),
		"replace target":       change(state.ReplaceTarget{Target: "e1", DrainFor: 7, Deadline: testTime}),
		"set role":             change(state.SetRole{Target: "e1", Role: fleet.Prefill, Until: testTime}),
		"cancel drain":         change(state.CancelDrain{Target: "e1"}),
		"announce":             state.Announce{Target: sampleTarget(), Until: testTime, Time: testTime},
		"target phase":         state.TargetPhase{Target: "e1", Incarnation: 4, Phase: fleet.Ready, Until: testTime, Time: testTime},
		"observed":             state.Observed{Target: "e1", Incarnation: 4, Number: number, Role: fleet.Decode, Loaded: content, Until: testTime, Time: testTime},
		"tick":                 state.Tick{Now: testTime},
		"place order":          state.PlaceOrder{Term: 2, Target: "e1", Incarnation: 4, Kind: state.OrderRole, Content: content, Deadline: testTime, Time: testTime},
		"acknowledge order":    state.AcknowledgeOrder{Number: number, Target: "e1", Incarnation: 4, Done: true, Detail: "d", Time: testTime},
		"abandon order":        state.AbandonOrder{Term: 2, Number: number, Target: "e1", Time: testTime},
		"place platform order": state.PlacePlatformOrder{ID: "p", Term: 2, Kind: state.PlatformStop, DataCentre: "dc", Region: "r", Pool: "notes", Target: "e1", Deadline: testTime, Time: testTime},
		"acknowledge platform": state.AcknowledgePlatform{Number: number, Done: true, Detail: "d", Time: testTime},
		"adapt":                state.Adapt{Term: 2, Target: "e1", Incarnation: 4, Kind: state.AdaptRelease, Role: fleet.Prefill, Until: testTime, Time: testTime},
		"claim":                state.Claim{Key: key, Request: fleet.RequestID{1}, Body: [32]byte{2}, Target: "e1", Expires: testTime},
		"settle": state.Settle{Key: key, Request: fleet.RequestID{1}, Settlement: state.SettledUnknown, Answer: &state.StoredAnswer{
			Status: 200, Headers: []state.Header{{Name: "A", Value: "b"}}, Body: []byte("x"),
		}},
		"report usage": state.ReportUsage{Records: []state.UsageRecord{{
			ID: state.UsageID{Node: "h1", Incarnation: 4, Sequence: 5}, Customer: "a", Route: "r", PromptTokens: 6, OutputTokens: 7, Ended: testTime,
		}}},
		"seal usage":        state.SealUsage{Window: 3, Until: testTime},
		"acknowledge usage": state.AcknowledgeUsage{Window: 3},
		"register entry":    state.RegisterEntry{Entry: "h2", Time: testTime, Until: testTime, CurrentParts: 7},
	}
}

// Guards against a conversion that drops a field of a command, and against a command
// whose bytes change when it is encoded again.
func TestCommandRoundTrip(t *testing.T) {
	for name, c := range sampleCommands() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, err := EncodeCommand(c)
			is.NoErr(err)
			got, err := DecodeCommand(b)
			is.NoErr(err)
			is.Equal(got, c)
			again, err := EncodeCommand(got)
			is.NoErr(err)
			is.True(bytes.Equal(b, again))
		})
	}
}

// Guards against damaged commands that are decoded as if they were valid.
func TestDecodeCommandRejectsInvalid(t *testing.T) {
	claim, _ := marshal(&StateCommand{Command: &StateCommand_Claim{Claim: &StateClaim{RequestId: []byte{1}}}})
	phase, _ := marshal(&StateCommand{Command: &StateCommand_TargetPhase{TargetPhase: &StateTargetPhase{Phase: 7}}})
	change, _ := marshal(&StateCommand{Command: &StateCommand_Change{Change: &StateChange{Id: "x"}}})
	for name, b := range map[string][]byte{
		"empty": nil, "garbage": {0xff, 0xff}, "short request id": claim, "phase out of range": phase, "no action": change,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeCommand(b)
			is.New(t).True(err != nil) // DecodeCommand must return an error
		})
	}
}
