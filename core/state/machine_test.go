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

// rig applies commands with rising indexes.
type rig struct {
	*Machine
	next uint64
}

func newRig() *rig { return &rig{Machine: New()} }

func apply[R Result](r *rig, c Command) R {
	r.next++
	return r.Apply(r.next, c).(R)
}

func (r *rig) change(id string, base uint64, a Action) ChangeResult {
	return apply[ChangeResult](r, Change{ID: id, Base: base, Operator: "op", Time: start, Action: a})
}

func engine(name string, i fleet.Incarnation) fleet.Target {
	return fleet.Target{Name: fleet.TargetName(name), Incarnation: i, Kind: fleet.Engine, Pool: "p", DataCentre: "dc"}
}

// ready brings an engine into service.
func (r *rig) ready(name string, i fleet.Incarnation) {
	apply[TargetResult](r, Announce{Target: engine(name, i), Until: start.Add(time.Minute), Time: start})
	apply[TargetResult](r, TargetPhase{Target: fleet.TargetName(name), Incarnation: i, Phase: fleet.Ready, Time: start})
}

func document(customers ...fleet.Customer) config.Document {
	d := config.Document{Routes: []config.Route{{Name: "r", Prefix: "/", Pool: "p"}}}
	for _, c := range customers {
		d.Customers = append(d.Customers, config.Customer{Name: c, Weight: 1})
	}
	return d
}

// Guards against two racing operators who both believe they won, and against a
// resent change that is applied or answered anew.
func TestChangeRaces(t *testing.T) {
	is := is.New(t)
	r := newRig()
	first := r.change("c1", 0, ReplaceDocument{document("a", "b")})
	is.Equal(first, ChangeResult{Outcome: ChangeAccepted, Revision: 1})
	lost := r.change("c2", 0, ReplaceDocument{document("z")})
	is.Equal(lost.Outcome, ChangeConflict)
	is.Equal(lost.Winner.ID, "c1")
	is.Equal(r.change("c1", 0, ReplaceDocument{document("a", "b")}), first)
	reused := r.change("c1", 0, ReplaceDocument{document("z")})
	is.Equal(reused.Outcome, ChangeIDReused)
	is.Equal(reused.Winner.ID, "c1")
	r.ready("e1", 1) // targets raise the revision without refusing operators
	key := IssueKey{ID: "k", Digest: sha256.Sum256([]byte("s")), Customer: "a"}
	is.Equal(r.change("c3", 1, key).Outcome, ChangeAccepted)
	is.Equal(r.change("c4", 99, key).Outcome, ChangeInvalid)
	is.Equal(len(r.Image().Audit), 2)
	_, ok := r.Config().Key("s")
	is.True(ok)
}

// Guards against a change with a deadline that is refused as another change
// when it is sent again after a lost answer: control reckons the deadline from
// the time it received the change.
func TestResentDeadline(t *testing.T) {
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
			r := newRig()
			r.ready("e1", 1)
			base := r.Config().Revision
			send := func(now time.Time, a Action) ChangeResult {
				return apply[ChangeResult](r, Change{ID: "c1", Base: base, Operator: "op", Time: now, Action: a})
			}
			first := send(start, action(start))
			is.Equal(first.Outcome, ChangeAccepted)
			later := start.Add(3 * time.Second)
			is.Equal(send(later, action(later)), first)
			is.Equal(send(later, action(later.Add(time.Minute))).Outcome, ChangeIDReused)
		})
	}
}

// Guards against keys that outlive their customer or their withdrawal.
func TestKeysEnd(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.change("c1", 0, ReplaceDocument{document("a", "b")})
	for i, c := range []fleet.Customer{"a", "b"} {
		id := fmt.Sprintf("k%d", i)
		r.change(id, r.Config().Revision, IssueKey{ID: id, Digest: sha256.Sum256([]byte(id)), Customer: c})
	}
	before := r.Config()
	is.Equal(r.change("w", r.Config().Revision, WithdrawKey{ID: "k0", Cut: true}).Outcome, ChangeAccepted)
	is.Equal(r.change("d", r.Config().Revision, ReplaceDocument{document("a")}).Outcome, ChangeAccepted)
	is.Equal(r.Config().KeyCount(), 0)
	is.True(r.Config().WasCut("k0"))
	d, ok := r.Delta(before.Revision)
	is.True(ok)
	after, err := before.Apply(d)
	is.NoErr(err)
	is.Equal(after.Snapshot(), r.Config().Snapshot())
}

// Guards against a revocation that is lost in a delta or a snapshot, that moves
// back in time, or that makes the list grow without bound.
func TestRevokeHost(t *testing.T) {
	is := is.New(t)
	r := newRig()
	before := r.Config()
	is.Equal(r.change("r1", before.Revision, RevokeHost{"h1"}).Outcome, ChangeAccepted)
	is.True(r.Config().IsRevoked("h1", start.Add(-time.Second)))
	is.True(!r.Config().IsRevoked("h1", start.Add(time.Hour)))
	is.Equal(r.change("r2", r.Config().Revision, RevokeHost{""}).Outcome, ChangeInvalid)
	d, ok := r.Delta(before.Revision)
	is.True(ok)
	after, err := before.Apply(d)
	is.NoErr(err)
	is.Equal(after.Snapshot(), r.Config().Snapshot())
	restored := New()
	restored.Restore(r.Image())
	is.Equal(restored.Config().Revoked, r.Config().Revoked)
	for i := len(r.Config().Revoked); i < config.MaxRevocations; i++ {
		id := fmt.Sprint("many", i)
		is.Equal(r.change(id, r.Config().Revision, RevokeHost{fleet.Host(id)}).Outcome, ChangeAccepted)
	}
	is.Equal(r.change("full", r.Config().Revision, RevokeHost{"full"}).Outcome, ChangeInvalid)
	is.Equal(r.change("again", r.Config().Revision, RevokeHost{"h1"}).Outcome, ChangeAccepted)
}

// Guards against a replacement that takes the old target out of service before
// the new one serves, or that orders two targets.
func TestReplaceTarget(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.ready("e1", 1)
	c := ReplaceTarget{Target: "e1", DrainFor: time.Minute, Deadline: start.Add(time.Hour)}
	is.Equal(r.change("c1", r.Config().Revision, c).Outcome, ChangeAccepted)
	is.Equal(r.change("c2", r.Config().Revision, c).Outcome, ChangeInvalid)
	orders := r.OpenPlatform()
	is.Equal(len(orders), 1)
	old, _ := r.Config().Target("e1")
	is.Equal(old.Phase, fleet.Ready)
	r.ready(string(orders[0].Target), 5)
	old, _ = r.Config().Target("e1")
	is.Equal(old.Phase, fleet.Leaving)
	apply[TickResult](r, Tick{Now: start.Add(2 * time.Minute)})
	old, _ = r.Config().Target("e1")
	is.Equal(old.Phase, fleet.Gone)
}

// Guards against an operator's drain that a restarted agent undoes, and against
// a role change of an engine that is not drained.
func TestDrainSurvivesRestart(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.ready("e1", 1)
	role := PlaceOrder{Term: 1, Target: "e1", Incarnation: 1, Kind: OrderRole, Content: Content{Role: fleet.Decode}}
	is.Equal(apply[OrderResult](r, role).Outcome, OrderNotAllowed)
	r.change("c1", r.Config().Revision, SetRole{Target: "e1", Role: fleet.Decode, Until: start.Add(time.Minute)})
	up := TargetPhase{Target: "e1", Incarnation: 1, Phase: fleet.Ready, Time: start}
	is.Equal(apply[TargetResult](r, up).Outcome, TargetNotAllowed)
	o := apply[OrderResult](r, role)
	is.Equal(o.Outcome, OrderPlaced)
	restarted := apply[TargetResult](r, Announce{Target: engine("e1", 2), Time: start})
	is.Equal(restarted.Target.Phase, fleet.Unknown)
	role.Incarnation = 2
	is.Equal(apply[OrderResult](r, role).Outcome, OrderMustRead)
	apply[TargetResult](r, Observed{Target: "e1", Incarnation: 2, Number: restarted.Read, Role: fleet.Mixed})
	o = apply[OrderResult](r, role)
	is.Equal(o.Outcome, OrderPlaced)
	is.Equal(apply[OrderResult](r, AcknowledgeOrder{Number: o.Order.Number, Target: "e1", Incarnation: 2, Done: true}).Outcome, OrderClosed)
	e, _ := r.Config().Target("e1")
	is.Equal(e.Phase, fleet.Ready)
	is.Equal(e.Role, fleet.Decode)
}

// Guards against one customer that fills the claim memory, and against an
// unsettled claim that becomes free when its retention ends.
func TestClaimBounds(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.limits.claims = 12
	claim := func(customer, key string, id byte) ClaimOutcome {
		return apply[ClaimResult](r, Claim{
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
	apply[TickResult](r, Tick{Now: start.Add(2 * time.Hour)})
	is.Equal(claim("small", "x", 2), ClaimUnknown)
}

// Guards against shares that together exceed the limits while an entry has not
// heard of its smaller share.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	is := is.New(t)
	r := newRig()
	until := start.Add(10 * time.Second)
	register := func(name string, until time.Time) ShareResult {
		return apply[ShareResult](r, RegisterEntry{Entry: fleet.Host(name), Time: start, Until: until})
	}
	is.Equal(register("e1", until).Share.Parts, uint32(ShareUnit))
	is.Equal(register("e2", until).Granted, false)
	is.Equal(register("e1", until.Add(time.Second)).Share.Parts, uint32(ShareUnit/2))
	is.Equal(register("e2", until).Granted, false) // the whole share is still in force
	apply[TickResult](r, Tick{Now: until.Add(shareGrace)})
	is.Equal(register("e2", until.Add(time.Minute)).Share.Parts, uint32(ShareUnit/2))
}
