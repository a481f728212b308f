package state

import (
	"encoding/hex"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// fullDocument has no zero field.
func fullDocument() config.Document {
	return config.Document{
		Team:      "team",
		Customers: []config.Customer{{Name: "b", Weight: 2, TokensPerSecond: 3, RequestsPerSec: 4, Large: true}},
		Routes: []config.Route{{
			Name: "r", Prefix: "/", Protocol: config.Language, Pool: "p", Class: fleet.Urgent, Open: true,
			Idempotent: true, SafeReads: true, Promise: 2 * time.Second, FirstToken: time.Second,
		}},
		Models:    []config.Model{{Name: "m", Version: "v", Bytes: 5}},
		PoolModel: map[string]string{"p": "m"},
		Windows:   []config.Window{{Name: "w", Opens: start, Closes: start.Add(time.Hour), Reserved: 0.5}},
		Budget: config.Budget{
			HourlyCap: 6, PricePerHour: map[string]float64{"p": 1}, StartDelay: time.Minute,
			MinimumPerPool: map[string]int{"p": 1}, MaximumPerPool: map[string]int{"p": 2}, RoleChangeDelay: time.Second,
		},
	}
}

// fullEdit leads from document("a", "b") to fullDocument and has no zero field.
func fullEdit() config.Edit {
	d := fullDocument()
	g := d.General()
	return config.Edit{General: &g, PutCustomers: d.Customers, RemoveCustomers: []fleet.Customer{"a"}}
}

// zeros lists the fields below v that are zero.
func zeros(path string, v reflect.Value) []string {
	if _, ok := v.Interface().(time.Time); ok || v.IsZero() {
		if v.IsZero() {
			return []string{path}
		}
		return nil
	}
	var out []string
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		return zeros(path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			out = append(out, zeros(path+"."+v.Type().Field(i).Name, v.Field(i))...)
		}
	case reflect.Slice:
		for i := range v.Len() {
			out = append(out, zeros(path, v.Index(i))...)
		}
	}
	return out
}

// pinned is a machine with the customers a and b, the key k and the engine e1.
func pinned(t *testing.T) *testMachine {
	t.Helper()
	is := is.New(t)
	tm := newTestMachine()
	is.Equal(tm.change("c1", 0, ReplaceDocument{document("a", "b")}).Outcome, ChangeAccepted)
	key := IssueKey{ID: "k", Digest: config.Digest{1}, Customer: "b"}
	is.Equal(tm.change("c2", 1, key).Outcome, ChangeAccepted)
	tm.ready("e1", 1)
	return tm
}

// Guards against a renamed type or field of an action, which changes the digest
// of a resent change, so that replicas of two builds disagree. The audit text of
// an accepted change is stored as well and must not change either.
func TestContentDigest(t *testing.T) {
	digest, err := fullDocument().Digest()
	is.New(t).NoErr(err)
	edit := func(pieces uint32) Action { return EditDocument{Edit: fullEdit(), Digest: digest, Pieces: pieces} }
	stage := func(piece uint32) Action { return StageDocument{Piece: piece, Edit: fullEdit(), Digest: digest} }
	tests := map[string]struct {
		action Action
		before []Action // of the same change
		digest string
		audit  string
	}{
		"replace document": {
			action: ReplaceDocument{Document: fullDocument()},
			digest: "370f84a188c0875cd7c94ef52fefa0743d86aaca6fdd892c4c7c7f886204cc0d",
			audit:  `replace document: 1 customers, 1 routes`,
		},
		"edit document": {
			action: edit(2), before: []Action{stage(0), stage(1)},
			digest: "9b4409af859dc8f82592224b0110a3230629ad6c015ea37d65511d22d2124b2e",
			audit:  `replace document: 1 customers, 1 routes; 1 customers put, 1 removed`,
		},
		"stage document": {
			action: stage(1), before: []Action{stage(0)},
			digest: "9b4409af859dc8f82592224b0110a3230629ad6c015ea37d65511d22d2124b2e",
		},
		"issue key": {
			action: IssueKey{ID: "k2", Digest: config.Digest{2}, Customer: "b"},
			digest: "4bb42fee3a081ebdb29d8a9ad6c86b48cbe5c60bc9edeb51366c4cb939d43fa5",
			audit:  `issue key "k2" to "b"`,
		},
		"withdraw key": {
			action: WithdrawKey{ID: "k", Cut: true},
			digest: "d99afa788b5cfa4edfd1bb36fd9e089af31073328eeee7c55c154193bd15e2f1",
			audit:  `withdraw key "k", cut=true`,
		},
		"revoke host": {
			action: RevokeHost{Host: "h"},
			digest: "63bda967a15c227c8e6c1d35038d46a58f98e96aedf0f5fb9b4e29974a7e8387",
			audit:  `revoke certificates of host "h" issued so far`,
		},
		"drain target": {
			action: DrainTarget{Target: "e1", Until: start.Add(time.Minute), Leave: true},
			digest: "9fb05a0aff99d6e6f180a80d94c977df731540d3daec277e57d6da32fc53d4a9",
			audit:  `drain target "e1", leave=true`,
		},
		"replace target": {
			action: ReplaceTarget{Target: "e1", DrainFor: time.Second, Deadline: start.Add(time.Hour)},
			digest: "39f283b05a13639acb1fa1249583bb11f4bd5289550c03828ef3c1917ef410c2",
			audit:  `replace target "e1"`,
		},
		"set role": {
			action: SetRole{Target: "e1", Role: fleet.Decode, Until: start.Add(time.Minute)},
			digest: "9069dfbb82f57ba1ba355af89e99340a3bb95379aadb74fe7eb262ff189fa3c8",
			audit:  `set role of target "e1" to decode`,
		},
		"cancel drain": {
			action: CancelDrain{Target: "e1"},
			digest: "3f18e994612d91c1de4728e720460509dda09cbf9c648861e53368323e09cd42",
			audit:  `cancel drain of target "e1"`,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(zeros("", reflect.ValueOf(tt.action)), nil) // every field is covered
			tm := pinned(t)
			base, audits := tm.Config().Revision, len(tm.Snapshot().Audit)
			for _, a := range tt.before {
				is.Equal(tm.change("pinned", base, a).Outcome, ChangeStaged)
			}
			outcome := tm.change("pinned", base, tt.action).Outcome
			snapshot := tm.Snapshot()
			if tt.audit == "" { // a piece is kept, but not recorded as a change
				is.Equal(outcome, ChangeStaged)
				is.Equal(hex.EncodeToString(snapshot.Staged.Content[:]), tt.digest)
				is.Equal(len(snapshot.Audit), audits)
				return
			}
			is.Equal(outcome, ChangeAccepted)
			record := snapshot.Changes[len(snapshot.Changes)-1]
			is.Equal(record.ID, "pinned")
			is.Equal(hex.EncodeToString(record.Digest[:]), tt.digest)
			is.Equal(snapshot.Audit[len(snapshot.Audit)-1].What, tt.audit)
		})
	}
}

// Guards against a renamed type that changes the audit text of an action that
// auditText does not describe.
func TestAuditOfUnknownAction(t *testing.T) {
	tm := newTestMachine()
	is.New(t).Equal(auditText(tm.Config(), config.Delta{}, StageDocument{}), "state.StageDocument")
}

// Guards against a renamed field of a document, which changes how many bytes a
// staged piece counts, so that replicas of two builds refuse different pieces.
func TestStagedBytes(t *testing.T) {
	tests := map[string]struct {
		edit config.Edit
		want int
	}{
		"nothing": {config.Edit{}, 40},
		"zero":    {config.Edit{General: &config.General{}}, 235},
		"full":    {fullEdit(), 625},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm := pinned(t)
			is.Equal(tm.change("c", tm.Config().Revision, StageDocument{Edit: tt.edit, Digest: [32]byte{1}}).Outcome, ChangeStaged)
			is.Equal(tm.Snapshot().Staged.Bytes, tt.want)
		})
	}
}

// Guards against a renamed type that changes what operators find in logs, which
// show the type names of commands, actions and results.
func TestTypeNames(t *testing.T) {
	tests := map[string]struct{ value any }{
		"state.Change":              {Change{}},
		"state.Announce":            {Announce{}},
		"state.TargetPhase":         {TargetPhase{}},
		"state.Observed":            {Observed{}},
		"state.Tick":                {Tick{}},
		"state.PlaceOrder":          {PlaceOrder{}},
		"state.AcknowledgeOrder":    {AcknowledgeOrder{}},
		"state.AbandonOrder":        {AbandonOrder{}},
		"state.PlacePlatformOrder":  {PlacePlatformOrder{}},
		"state.AcknowledgePlatform": {AcknowledgePlatform{}},
		"state.Adapt":               {Adapt{}},
		"state.Claim":               {Claim{}},
		"state.Settle":              {Settle{}},
		"state.ReportUsage":         {ReportUsage{}},
		"state.SealUsage":           {SealUsage{}},
		"state.AcknowledgeUsage":    {AcknowledgeUsage{}},
		"state.RegisterEntry":       {RegisterEntry{}},

		"state.ReplaceDocument": {ReplaceDocument{}},
		"state.EditDocument":    {EditDocument{}},
		"state.StageDocument":   {StageDocument{}},
		"state.IssueKey":        {IssueKey{}},
		"state.WithdrawKey":     {WithdrawKey{}},
		"state.RevokeHost":      {RevokeHost{}},
		"state.DrainTarget":     {DrainTarget{}},
		"state.ReplaceTarget":   {ReplaceTarget{}},
		"state.SetRole":         {SetRole{}},
		"state.CancelDrain":     {CancelDrain{}},

		"state.ChangeResult":   {ChangeResult{}},
		"state.TargetResult":   {TargetResult{}},
		"state.TickResult":     {TickResult{}},
		"state.OrderResult":    {OrderResult{}},
		"state.PlatformResult": {PlatformResult{}},
		"state.ClaimResult":    {ClaimResult{}},
		"state.SettleResult":   {SettleResult{}},
		"state.UsageResult":    {UsageResult{}},
		"state.WindowResult":   {WindowResult{}},
		"state.ShareResult":    {ShareResult{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(fmt.Sprintf("%T", tt.value), name)
		})
	}
}

// Guards against a reworded error, whose text is stored as the reason of a
// refused change, so that the states of replicas of two builds differ.
func TestStoredReasons(t *testing.T) {
	until := start.Add(time.Minute)
	replace := func(edit func(d *config.Document)) Action {
		d := document("a", "b")
		edit(&d)
		return ReplaceDocument{Document: d}
	}
	accept := func(a Action) func(*testing.T, *testMachine) {
		return func(t *testing.T, tm *testMachine) {
			revision := tm.Config().Revision
			is.New(t).Equal(tm.change(fmt.Sprint("before", revision), revision, a).Outcome, ChangeAccepted)
		}
	}
	leaving := accept(DrainTarget{Target: "e1", Until: until, Leave: true})
	openOrder := func(t *testing.T, tm *testMachine) {
		accept(SetRole{Target: "e1", Role: fleet.Decode, Until: until})(t, tm)
		o := PlaceOrder{Term: 7, Target: "e1", Incarnation: 1, Kind: OrderRole, Content: OrderContent{Role: fleet.Decode}, Time: start}
		is.New(t).Equal(apply[OrderResult](tm, o).Outcome, OrderPlaced)
	}
	tests := map[string]struct {
		before func(t *testing.T, tm *testMachine)
		ahead  uint64 // how far the base is above the current revision
		action Action
		reason string
	}{
		"customers": {
			action: replace(func(d *config.Document) { d.Customers = make([]config.Customer, config.MaxCustomers+1) }),
			reason: `16385 customers are more than 16384: document`,
		},
		"customer without a name": {
			action: replace(func(d *config.Document) { d.Customers[1].Name = "" }),
			reason: `customer "" is empty, too long or occurs twice: document`,
		},
		"customer with a long name": {
			action: replace(func(d *config.Document) { d.Customers[1].Name = fleet.Customer(strings.Repeat("n", 129)) }),
			reason: `customer "` + strings.Repeat("n", 129) + `" is empty, too long or occurs twice: document`,
		},
		"customer twice": {
			action: replace(func(d *config.Document) { d.Customers[1].Name = "a" }),
			reason: `customer "a" is empty, too long or occurs twice: document`,
		},
		"weight": {
			action: replace(func(d *config.Document) { d.Customers[0].Weight = 0 }),
			reason: `customer "a": weight 0 or a limit is out of range: document`,
		},
		"limit": {
			action: replace(func(d *config.Document) { d.Customers[0].TokensPerSecond = -1 }),
			reason: `customer "a": weight 1 or a limit is out of range: document`,
		},
		"route twice": {
			action: replace(func(d *config.Document) { d.Routes = append(d.Routes, d.Routes[0]) }),
			reason: `route "r": name or prefix "/" is empty or occurs twice: document`,
		},
		"prefix": {
			action: replace(func(d *config.Document) { d.Routes[0].Prefix = "" }),
			reason: `route "r": name or prefix "" is empty or occurs twice: document`,
		},
		"window": {
			action: replace(func(d *config.Document) {
				d.Windows = []config.Window{{Name: "w", Opens: start, Closes: start, Reserved: 0.5}}
			}),
			reason: `window "w": times or reserved share 0.5 are out of range: document`,
		},
		"hourly cap": {
			action: replace(func(d *config.Document) { d.Budget.HourlyCap = -1.5 }),
			reason: `hourly cap -1.5 is out of range: document`,
		},
		"price": {
			action: replace(func(d *config.Document) { d.Budget.PricePerHour = map[string]float64{"p": -1} }),
			reason: `price of pool "p" is out of range: document`,
		},
		"edited document without a digest": {
			action: EditDocument{Edit: config.Edit{General: &config.General{Budget: config.Budget{HourlyCap: math.NaN()}}}},
			reason: `json: unsupported value: NaN: document`,
		},
		"piece that can't be encoded": {
			action: StageDocument{Edit: config.Edit{General: &config.General{Budget: config.Budget{HourlyCap: math.NaN()}}}},
			reason: `general part: json: unsupported value: NaN`,
		},
		"pieces": {
			before: func(_ *testing.T, tm *testMachine) { tm.limits.stagedBytes = 100 },
			action: StageDocument{Edit: config.Edit{PutCustomers: document("a", "b").Customers}},
			reason: `the pieces of the document have more than 100 bytes`,
		},
		"base": {
			ahead:  2,
			action: RevokeHost{Host: "h"},
			reason: `base revision 6 is above the current revision 4`,
		},
		"no action": {
			reason: `action of type <nil>`,
		},
		"key id": {
			action: IssueKey{Digest: config.Digest{2}, Customer: "a"},
			reason: `key id "" is empty or too long`,
		},
		"key without a digest": {
			action: IssueKey{ID: "k2", Customer: "a"},
			reason: `key "k2" has no digest`,
		},
		"keys": {
			before: func(_ *testing.T, tm *testMachine) { tm.limits.keys = 1 },
			action: IssueKey{ID: "k2", Digest: config.Digest{2}, Customer: "a"},
			reason: `there are already 1 keys`,
		},
		"customer of a key": {
			action: IssueKey{ID: "k2", Digest: config.Digest{2}, Customer: "z"},
			reason: `customer "z" does not exist`,
		},
		"key id in use": {
			action: IssueKey{ID: "k", Digest: config.Digest{2}, Customer: "a"},
			reason: `key id "k" was used before`,
		},
		"key id of a withdrawn key": {
			before: accept(WithdrawKey{ID: "k", Cut: true}),
			action: IssueKey{ID: "k", Digest: config.Digest{2}, Customer: "a"},
			reason: `key id "k" was used before`,
		},
		"secret": {
			action: IssueKey{ID: "k2", Digest: config.Digest{1}, Customer: "a"},
			reason: `key "k2" has the secret of another key`,
		},
		"withdrawn key": {
			action: WithdrawKey{ID: "k2"},
			reason: `key "k2" does not exist`,
		},
		"host": {
			action: RevokeHost{},
			reason: `host "" is empty or too long`,
		},
		"revoked hosts": {
			before: func(t *testing.T, tm *testMachine) {
				for i := range config.MaxRevocations {
					accept(RevokeHost{Host: fleet.Host(fmt.Sprint("h", i))})(t, tm)
				}
			},
			action: RevokeHost{Host: "h"},
			reason: `the certificates of 1024 hosts are already revoked; a new authority is needed`,
		},
		"drain of no target": {
			action: DrainTarget{Target: "e2", Until: until},
			reason: `target "e2" does not exist or is gone`,
		},
		"drain without a deadline": {
			action: DrainTarget{Target: "e1"},
			reason: `drain of target "e1" has no deadline`,
		},
		"drain of a leaving target": {
			before: leaving,
			action: DrainTarget{Target: "e1", Until: until},
			reason: `target "e1" is leaving: cancel that first`,
		},
		"replacement of no target": {
			action: ReplaceTarget{Target: "e2", DrainFor: time.Second},
			reason: `target "e2" does not exist or is gone`,
		},
		"replacement without a drain": {
			action: ReplaceTarget{Target: "e1", DrainFor: -time.Second},
			reason: `target "e1" is leaving, or the drain of -1s is not positive`,
		},
		"replacement of a leaving target": {
			before: leaving,
			action: ReplaceTarget{Target: "e1", DrainFor: time.Second},
			reason: `target "e1" is leaving, or the drain of 1s is not positive`,
		},
		"second replacement": {
			before: accept(ReplaceTarget{Target: "e1", DrainFor: time.Second, Deadline: until}),
			action: ReplaceTarget{Target: "e1", DrainFor: time.Second, Deadline: until},
			reason: `target "e1" is being replaced by "dc-p-0.1"`,
		},
		"replacement beyond the orders": {
			before: func(_ *testing.T, tm *testMachine) { tm.limits.platformOrders = 0 },
			action: ReplaceTarget{Target: "e1", DrainFor: time.Second, Deadline: until},
			reason: `target "e1": no further platform order can be opened`,
		},
		"role of no target": {
			action: SetRole{Target: "e2", Role: fleet.Decode, Until: until},
			reason: `target "e2" does not exist or is gone`,
		},
		"role of another kind": {
			before: func(_ *testing.T, tm *testMachine) {
				c := engine("s1", 1)
				c.Kind = fleet.Service
				apply[TargetResult](tm, Announce{Target: c, Until: until, Time: start})
			},
			action: SetRole{Target: "s1", Role: fleet.Decode, Until: until},
			reason: `target "s1" is not an engine`,
		},
		"role of a leaving target": {
			before: leaving,
			action: SetRole{Target: "e1", Role: fleet.Decode, Until: until},
			reason: `target "e1" is leaving`,
		},
		"role without a deadline": {
			action: SetRole{Target: "e1", Role: fleet.Decode},
			reason: `role change of target "e1" has no drain deadline`,
		},
		"role during an order": {
			before: openOrder,
			action: SetRole{Target: "e1", Role: fleet.Mixed, Until: until},
			reason: `target "e1" has the open order 7.1`,
		},
		"cancelled drain of no target": {
			action: CancelDrain{Target: "e2"},
			reason: `target "e2" does not exist`,
		},
		"cancelled drain during an order": {
			before: openOrder,
			action: CancelDrain{Target: "e1"},
			reason: `target "e1" has the open order 7.1`,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm := pinned(t)
			if tt.before != nil {
				tt.before(t, tm)
			}
			out := tm.change("refused", tm.Config().Revision+tt.ahead, tt.action)
			is.Equal(out, ChangeResult{Outcome: ChangeInvalid, Reason: tt.reason})
			records := tm.Snapshot().Changes
			is.Equal(records[len(records)-1].ID, "refused")
			is.Equal(records[len(records)-1].Result, out)
		})
	}
}
