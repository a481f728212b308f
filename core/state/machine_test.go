package state

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

var start = time.Unix(1_700_000_000, 0).UTC()

// testMachine applies commands with increasing indexes.
type testMachine struct {
	*Machine
	nextIndex uint64
}

func newTestMachine() *testMachine { return &testMachine{Machine: New()} }

func apply[R Result](tm *testMachine, c Command) R {
	tm.nextIndex++
	return tm.Apply(tm.nextIndex, c).(R)
}

func (tm *testMachine) change(id string, base uint64, a Action) ChangeResult {
	return apply[ChangeResult](tm, Change{ID: id, Base: base, Operator: "op", Time: start, Action: a})
}

func engine(name string, i fleet.Incarnation) fleet.Target {
	return fleet.Target{Name: fleet.TargetName(name), Incarnation: i, Kind: fleet.Engine, Pool: "p", DataCentre: "dc"}
}

// ready registers an engine and brings it into service.
func (tm *testMachine) ready(name string, i fleet.Incarnation) {
	apply[TargetResult](tm, Announce{Target: engine(name, i), Until: start.Add(time.Minute), Time: start})
	apply[TargetResult](tm, TargetPhase{Target: fleet.TargetName(name), Incarnation: i, Phase: fleet.Ready, Time: start})
}

func document(customers ...fleet.Customer) config.Document {
	d := config.Document{Routes: []config.Route{{Name: "r", Prefix: "/", Pool: "p"}}}
	for _, c := range customers {
		d.Customers = append(d.Customers, config.Customer{Name: c, Weight: 1})
	}
	return d
}

// Guards against two concurrent changes that are both accepted on the same
// base, and against a resent change that is applied again or gets another
// result.
func TestConcurrentChanges(t *testing.T) {
	is := is.New(t)
	tm := newTestMachine()
	first := tm.change("c1", 0, ReplaceDocument{document("a", "b")})
	is.Equal(first, ChangeResult{Outcome: ChangeAccepted, Revision: 1})
	lost := tm.change("c2", 0, ReplaceDocument{document("z")})
	is.Equal(lost.Outcome, ChangeConflict)
	is.Equal(lost.Winner.ID, "c1")
	is.Equal(tm.change("c1", 0, ReplaceDocument{document("a", "b")}), first)
	reused := tm.change("c1", 0, ReplaceDocument{document("z")})
	is.Equal(reused.Outcome, ChangeIDReused)
	is.Equal(reused.Winner.ID, "c1")
	tm.ready("e1", 1) // targets increase the revision without causing conflicts for operators
	key := IssueKey{ID: "k", Digest: sha256.Sum256([]byte("s")), Customer: "a"}
	is.Equal(tm.change("c3", 1, key).Outcome, ChangeAccepted)
	is.Equal(tm.change("c4", 99, key).Outcome, ChangeInvalid)
	is.Equal(len(tm.Snapshot().Audit), 2)
	_, ok := tm.Config().KeyBySecret("s")
	is.True(ok)
}

// Guards against a change with a deadline that is refused as a different change
// when it is sent again after its result was lost: control calculates the
// deadline from the time at which it received the change.
func TestResentChangeWithDeadline(t *testing.T) {
	tests := map[string]func(now time.Time) Action{
		"drain": func(now time.Time) Action { return DrainTarget{Target: "e1", Until: now.Add(time.Minute)} },
		"role": func(now time.Time) Action {
			return SetRole{Target: "e1", Role: fleet.Decode, Until: now.Add(time.Minute)}
		},
		"replace": func(now time.Time) Action {
			return ReplaceTarget{Target: "e1", DrainFor: 1, Deadline: now.Add(time.Hour)}
		},
	}
	for name, action := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm := newTestMachine()
			tm.ready("e1", 1)
			base := tm.Config().Revision
			send := func(now time.Time, a Action) ChangeResult {
				return apply[ChangeResult](tm, Change{ID: "c1", Base: base, Operator: "op", Time: now, Action: a})
			}
			first := send(start, action(start))
			is.Equal(first.Outcome, ChangeAccepted)
			later := start.Add(3 * time.Second)
			is.Equal(send(later, action(later)), first)
			is.Equal(send(later, action(later.Add(time.Minute))).Outcome, ChangeIDReused)
		})
	}
}

// Guards against keys that remain valid after their customer was removed or
// they were withdrawn.
func TestKeyRemoval(t *testing.T) {
	is := is.New(t)
	tm := newTestMachine()
	tm.change("c1", 0, ReplaceDocument{document("a", "b")})
	for i, c := range []fleet.Customer{"a", "b"} {
		id := fmt.Sprintf("k%d", i)
		tm.change(id, tm.Config().Revision, IssueKey{ID: id, Digest: sha256.Sum256([]byte(id)), Customer: c})
	}
	before := tm.Config()
	is.Equal(tm.change("w", tm.Config().Revision, WithdrawKey{ID: "k0", Cut: true}).Outcome, ChangeAccepted)
	is.Equal(tm.change("d", tm.Config().Revision, ReplaceDocument{document("a")}).Outcome, ChangeAccepted)
	is.Equal(tm.Config().KeyCount(), 0)
	is.True(tm.Config().IsInterrupted("k0"))
	d, ok := tm.Delta(before.Revision)
	is.True(ok)
	after, err := before.Apply(d)
	is.NoErr(err)
	is.Equal(after.Snapshot(), tm.Config().Snapshot())
}

// Guards against a revocation that is missing from a delta or a snapshot, that
// moves back in time, or that makes the list grow without limit.
func TestRevokeHost(t *testing.T) {
	is := is.New(t)
	tm := newTestMachine()
	before := tm.Config()
	is.Equal(tm.change("r1", before.Revision, RevokeHost{"h1"}).Outcome, ChangeAccepted)
	is.True(tm.Config().IsRevoked("h1", start.Add(-time.Second)))
	is.True(!tm.Config().IsRevoked("h1", start.Add(time.Hour)))
	is.Equal(tm.change("r2", tm.Config().Revision, RevokeHost{""}).Outcome, ChangeInvalid)
	d, ok := tm.Delta(before.Revision)
	is.True(ok)
	after, err := before.Apply(d)
	is.NoErr(err)
	is.Equal(after.Snapshot(), tm.Config().Snapshot())
	restored := New()
	restored.Restore(tm.Snapshot())
	is.Equal(restored.Config().Revoked, tm.Config().Revoked)
	for i := len(tm.Config().Revoked); i < config.MaxRevocations; i++ {
		id := fmt.Sprint("many", i)
		is.Equal(tm.change(id, tm.Config().Revision, RevokeHost{fleet.Host(id)}).Outcome, ChangeAccepted)
	}
	is.Equal(tm.change("full", tm.Config().Revision, RevokeHost{"full"}).Outcome, ChangeInvalid)
	is.Equal(tm.change("again", tm.Config().Revision, RevokeHost{"h1"}).Outcome, ChangeAccepted)
}

// Guards against a replacement that takes the old target out of service before
// the new one is ready, or that orders two targets.
func TestReplaceTarget(t *testing.T) {
	is := is.New(t)
	tm := newTestMachine()
	tm.ready("e1", 1)
	c := ReplaceTarget{Target: "e1", DrainFor: time.Minute, Deadline: start.Add(time.Hour)}
	is.Equal(tm.change("c1", tm.Config().Revision, c).Outcome, ChangeAccepted)
	is.Equal(tm.change("c2", tm.Config().Revision, c).Outcome, ChangeInvalid)
	orders := tm.OpenPlatformOrders()
	is.Equal(len(orders), 1)
	old, _ := tm.Config().Target("e1")
	is.Equal(old.Phase, fleet.Ready)
	tm.ready(string(orders[0].Target), 5)
	old, _ = tm.Config().Target("e1")
	is.Equal(old.Phase, fleet.Leaving)
	apply[TickResult](tm, Tick{Now: start.Add(2 * time.Minute)})
	old, _ = tm.Config().Target("e1")
	is.Equal(old.Phase, fleet.Gone)
}

// Guards against an agent restart that undoes an operator's drain, and against
// a role change of an engine that is not drained.
func TestDrainSurvivesRestart(t *testing.T) {
	is := is.New(t)
	tm := newTestMachine()
	tm.ready("e1", 1)
	role := PlaceOrder{Term: 1, Target: "e1", Incarnation: 1, Kind: OrderRole, Content: OrderContent{Role: fleet.Decode}}
	is.Equal(apply[OrderResult](tm, role).Outcome, OrderNotAllowed)
	tm.change("c1", tm.Config().Revision, SetRole{Target: "e1", Role: fleet.Decode, Until: start.Add(time.Minute)})
	up := TargetPhase{Target: "e1", Incarnation: 1, Phase: fleet.Ready, Time: start}
	is.Equal(apply[TargetResult](tm, up).Outcome, TargetNotAllowed)
	o := apply[OrderResult](tm, role)
	is.Equal(o.Outcome, OrderPlaced)
	restarted := apply[TargetResult](tm, Announce{Target: engine("e1", 2), Time: start})
	is.Equal(restarted.Target.Phase, fleet.Unknown)
	role.Incarnation = 2
	is.Equal(apply[OrderResult](tm, role).Outcome, OrderReadRequired)
	apply[TargetResult](tm, Observed{Target: "e1", Incarnation: 2, Number: restarted.ReadNumber, Role: fleet.Mixed})
	o = apply[OrderResult](tm, role)
	is.Equal(o.Outcome, OrderPlaced)
	is.Equal(apply[OrderResult](tm, AcknowledgeOrder{Number: o.Order.Number, Target: "e1", Incarnation: 2, Done: true}).Outcome, OrderClosed)
	e, _ := tm.Config().Target("e1")
	is.Equal(e.Phase, fleet.Ready)
	is.Equal(e.Role, fleet.Decode)
}

// Guards against one customer that uses up the space for claims, and against an
// unsettled claim that becomes free when it expires.
func TestClaimBounds(t *testing.T) {
	is := is.New(t)
	tm := newTestMachine()
	tm.limits.claims = 12
	claim := func(customer, key string, id byte) ClaimOutcome {
		return apply[ClaimResult](tm, Claim{
			Key: ClaimKey{fleet.Customer(customer), key}, Request: fleet.RequestID{id}, Expires: start.Add(time.Hour),
		}).Outcome
	}
	granted := 0
	for i := range 12 {
		if claim("large", fmt.Sprint(i), 1) == ClaimGranted {
			granted++
		}
	}
	is.Equal(granted, 6)
	is.Equal(claim("small", "x", 1), ClaimGranted)
	apply[TickResult](tm, Tick{Now: start.Add(2 * time.Hour)})
	is.Equal(claim("small", "x", 2), ClaimUnknown)
}

// Guards against shares whose sum exceeds the limits while an entry has
// not yet received its smaller share.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	is := is.New(t)
	tm := newTestMachine()
	until := start.Add(10 * time.Second)
	register := func(name string, until time.Time) ShareResult {
		return apply[ShareResult](tm, RegisterEntry{Entry: fleet.Host(name), Time: start, Until: until})
	}
	is.Equal(register("e1", until).Share.Parts, uint32(ShareUnit))
	is.Equal(register("e2", until).Granted, false)
	is.Equal(register("e1", until.Add(time.Second)).Share.Parts, uint32(ShareUnit/2))
	is.Equal(register("e2", until).Granted, false) // the share of the whole limit is still in use
	apply[TickResult](tm, Tick{Now: until.Add(shareGrace)})
	is.Equal(register("e2", until.Add(time.Minute)).Share.Parts, uint32(ShareUnit/2))
}
