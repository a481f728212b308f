package state

import (
	"encoding/hex"
	"fmt"
	"reflect"
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
	r := newTestMachine()
	is.Equal(r.change("c1", 0, ReplaceDocument{document("a", "b")}).Outcome, ChangeAccepted)
	key := IssueKey{ID: "k", Digest: config.Digest{1}, Customer: "b"}
	is.Equal(r.change("c2", 1, key).Outcome, ChangeAccepted)
	r.ready("e1", 1)
	return r
}

// Guards against a renamed type or field of an action, which changes the digest
// of a resent change, so that replicas of two builds disagree. The audit text of
// an accepted change is kept as long and must not change either.
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
			r := pinned(t)
			base, audits := r.Config().Revision, len(r.Image().Audit)
			for _, a := range tt.before {
				is.Equal(r.change("pinned", base, a).Outcome, ChangeStaged)
			}
			outcome := r.change("pinned", base, tt.action).Outcome
			image := r.Image()
			if tt.audit == "" { // a piece is kept, but not recorded as a change
				is.Equal(outcome, ChangeStaged)
				is.Equal(hex.EncodeToString(image.Staged.Content[:]), tt.digest)
				is.Equal(len(image.Audit), audits)
				return
			}
			is.Equal(outcome, ChangeAccepted)
			record := image.Changes[len(image.Changes)-1]
			is.Equal(record.ID, "pinned")
			is.Equal(hex.EncodeToString(record.Digest[:]), tt.digest)
			is.Equal(image.Audit[len(image.Audit)-1].What, tt.audit)
		})
	}
}

// Guards against a renamed type that changes the audit text of an action
// without words of its own.
func TestAuditOfUnknownAction(t *testing.T) {
	r := newTestMachine()
	is.New(t).Equal(auditText(r.Config(), config.Delta{}, StageDocument{}), "state.StageDocument")
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
			r := pinned(t)
			is.Equal(r.change("c", r.Config().Revision, StageDocument{Edit: tt.edit, Digest: [32]byte{1}}).Outcome, ChangeStaged)
			is.Equal(r.Image().Staged.Bytes, tt.want)
		})
	}
}

// Guards against a renamed type that changes what operators find in logs, where
// the name of a command's, action's or result's type is written by itself.
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
