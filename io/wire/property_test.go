package wire

import (
	"bytes"
	"flag"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
)

// init fixes the seed, so that every run of the tests has the same outcome. The flags
// -rapid.seed and -rapid.checks override these values.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// generator draws random commands. They refer to existing objects of the state
// machine often enough to reach states that require several valid commands.
type generator struct {
	t   *rapid.T
	m   *state.Machine
	now time.Time
}

func (g *generator) intN(n int, label string) int { return rapid.IntRange(0, n-1).Draw(g.t, label) }
func (g *generator) name(prefix string, n int) string {
	return fmt.Sprintf("%s%d", prefix, g.intN(n, prefix))
}
func (g *generator) deadline() time.Time {
	return g.now.Add(time.Duration(g.intN(90, "soon")) * time.Minute)
}

func (g *generator) incarnation() fleet.Incarnation {
	return fleet.Incarnation(1 + g.intN(3, "incarnation"))
}

// record returns the record of an existing target, or of the target "none" if there
// is none.
func (g *generator) record() state.TargetRecord {
	all := g.m.Targets()
	if len(all) == 0 {
		return state.TargetRecord{Target: fleet.Target{Name: "none"}}
	}
	return all[g.intN(len(all), "target")]
}

func (g *generator) orderNumber(r state.TargetRecord) fleet.OrderNumber {
	if r.Open != nil {
		return r.Open.Number
	}
	return fleet.OrderNumber{Term: 1, Sequence: uint64(g.intN(20, "sequence"))}
}

func (g *generator) action() state.Action {
	r := g.record()
	name := r.Target.Name
	switch g.intN(7, "action") {
	case 0:
		d := config.Document{Routes: []config.Route{{Name: "r", Prefix: "/"}}}
		for i := range 1 + g.intN(4, "customers") {
			d.Customers = append(d.Customers, config.Customer{Name: fleet.Customer(fmt.Sprintf("c%d", i)), Weight: uint32(1 + g.intN(2, "weight"))})
		}
		if g.intN(3, "whole") == 0 {
			return state.ReplaceDocument{Document: d}
		}
		a, err := state.EditAction(g.m.Config(), d)
		if err != nil {
			g.t.Fatal(err)
		}
		if e, ok := a.(state.EditDocument); ok && g.intN(2, "pieces") == 0 {
			parts := e.Split(1)
			return parts[g.intN(len(parts), "piece")]
		}
		return a
	case 1:
		return state.IssueKey{ID: g.name("k", 6), Digest: config.Digest{byte(1 + g.intN(6, "digest"))}, Customer: fleet.Customer(g.name("c", 4))}
	case 2:
		return state.WithdrawKey{ID: g.name("k", 6), Cut: g.intN(2, "cut") == 0}
	case 3:
		return state.DrainTarget{Target: name, Until: g.deadline(), Leave: g.intN(2, "leave") == 0}
	case 4:
		return state.ReplaceTarget{Target: name, DrainFor: time.Minute, Deadline: g.deadline()}
	case 5:
		return state.SetRole{Target: name, Role: fleet.Role(g.intN(3, "role")), Until: g.deadline()}
	}
	return state.CancelDrain{Target: name}
}

func (g *generator) command() state.Command {
	switch g.intN(6, "group") {
	case 0:
		// The base is the current revision or the one before, and never below 0.
		return state.Change{
			ID: g.name("change", 40), Base: g.m.Config().Revision - uint64(g.intN(2, "behind"))%(g.m.Config().Revision+1),
			Operator: g.name("op", 2), Time: g.now, Action: g.action(),
		}
	case 1:
		return g.target()
	case 2:
		return g.order()
	case 3:
		return g.claim()
	case 4:
		return g.usage()
	}
	// Up to 60 days, which exceeds the retention of superseded usage sources.
	maxHours := []int{1, 30, 30, 60 * 24}[g.intN(4, "longest")]
	g.now = g.now.Add(time.Duration(g.intN(maxHours*60, "minutes")) * time.Minute)
	return state.Tick{Now: g.now}
}

// target returns a command about a target, or the registration of an entry.
func (g *generator) target() state.Command {
	r := g.record()
	switch g.intN(5, "target command") {
	case 0:
		return state.Announce{Target: fleet.Target{
			Name: fleet.TargetName(g.name("e", 4)), Incarnation: g.incarnation(), Kind: fleet.Engine, Pool: "p", DataCentre: "dc",
		}, Until: g.deadline(), Time: g.now}
	case 1:
		return state.Observed{
			Target: r.Target.Name, Incarnation: r.Target.Incarnation, Number: r.ReadNumber,
			Role: fleet.Role(g.intN(3, "role")), Until: g.deadline(), Time: g.now,
		}
	case 3:
		return state.Adapt{
			Term: uint64(1 + g.intN(4, "term")), Target: r.Target.Name, Incarnation: r.Target.Incarnation,
			Kind: state.AdaptKind(g.intN(2, "kind")), Role: fleet.Role(g.intN(3, "role")), Until: g.deadline(), Time: g.now,
		}
	case 2:
		return state.RegisterEntry{Entry: fleet.Host(g.name("entry", 4)), Time: g.now, Until: g.deadline()}
	}
	return state.TargetPhase{
		Target: r.Target.Name, Incarnation: r.Target.Incarnation, Phase: fleet.Phase(g.intN(7, "phase")), Until: g.deadline(), Time: g.now,
	}
}

func (g *generator) order() state.Command {
	r := g.record()
	term := uint64(1 + g.intN(4, "term"))
	switch g.intN(5, "order command") {
	case 0:
		return state.PlaceOrder{
			Term: term, Target: r.Target.Name, Incarnation: r.Target.Incarnation, Kind: state.OrderKind(g.intN(3, "kind")),
			Content: state.OrderContent{Model: g.name("m", 2), Role: fleet.Role(g.intN(3, "role"))}, Deadline: g.deadline(), Time: g.now,
		}
	case 1:
		return state.AcknowledgeOrder{
			Number: g.orderNumber(r), Target: r.Target.Name, Incarnation: r.Target.Incarnation, Done: g.intN(2, "done") == 0, Time: g.now,
		}
	case 2:
		return state.AbandonOrder{Term: term, Number: g.orderNumber(r), Target: r.Target.Name, Time: g.now}
	case 3:
		return state.PlacePlatformOrder{
			ID: g.name("start", 8), Term: term, Kind: state.PlatformKind(g.intN(2, "kind")), DataCentre: "dc", Pool: "p",
			Target: r.Target.Name, Deadline: g.deadline(), Time: g.now,
		}
	}
	c := state.AcknowledgePlatform{Done: g.intN(2, "done") == 0, Time: g.now}
	if open := g.m.OpenPlatformOrders(); len(open) > 0 {
		c.Number = open[g.intN(len(open), "open")].Number
	}
	return c
}

func (g *generator) claim() state.Command {
	key := state.ClaimKey{Customer: fleet.Customer(g.name("c", 3)), IdempotencyKey: g.name("key", 4)}
	id := fleet.RequestID{byte(g.intN(6, "request"))}
	if g.intN(2, "claim command") == 0 {
		return state.Claim{Key: key, Request: id, Body: [32]byte{byte(g.intN(2, "body"))}, Target: "e1", Expires: g.deadline()}
	}
	s := state.Settle{Key: key, Request: id, Settlement: state.Settlement(g.intN(3, "settlement"))}
	if g.intN(2, "answer") == 0 {
		s.Answer = &state.StoredAnswer{Status: 200, Body: []byte("answer")}
	}
	return s
}

func (g *generator) usage() state.Command {
	switch g.intN(4, "usage command") {
	case 0:
		return state.SealUsage{Window: uint64(g.intN(12, "window")), Until: g.now}
	case 1:
		return state.AcknowledgeUsage{Window: uint64(g.intN(12, "window"))}
	}
	var c state.ReportUsage
	for range 1 + g.intN(4, "records") {
		c.Records = append(c.Records, state.UsageRecord{
			ID:       state.UsageID{Node: fleet.Host(g.name("h", 3)), Incarnation: g.incarnation(), Sequence: uint64(g.intN(30, "sequence"))},
			Customer: fleet.Customer(g.name("c", 3)), Route: g.name("r", 2), PromptTokens: uint64(g.intN(50, "prompt")), OutputTokens: 1,
		})
	}
	return c
}

// Guards against state that is missing from a snapshot and against dependence on map
// iteration order: a restored replica must return the same results and encode to the
// same bytes as a replica that never restarted.
func TestSnapshotRestoreEquivalence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewStateMachine(), NewStateMachine()
		g := &generator{t: t, m: a.machine, now: testTime}
		for i := range rapid.IntRange(1, 120).Draw(t, "commands") {
			c := g.command()
			entry, err := EncodeCommand(c)
			if err != nil {
				t.Fatalf("encode %#v: %v", c, err)
			}
			ra, rb := a.Apply(uint64(i+1), 1, entry), b.Apply(uint64(i+1), 1, entry)
			if !reflect.DeepEqual(ra, rb) {
				t.Fatalf("command %#v: result %#v, but %#v on the restored replica", c, ra, rb)
			}
			if g.intN(8, "restore") == 0 {
				restoreFromSnapshot(t, b)
			}
		}
		if x, y := encodedSnapshot(t, a), encodedSnapshot(t, b); !bytes.Equal(x, y) {
			t.Fatalf("snapshots differ:\n%x\n%x", x, y)
		}
	})
}

func encodedSnapshot(t *rapid.T, m *StateMachine) []byte {
	b, err := m.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	return b
}

// restoreFromSnapshot replaces m with a new state machine that is restored from the
// snapshot of m.
func restoreFromSnapshot(t *rapid.T, m *StateMachine) {
	before := encodedSnapshot(t, m)
	*m = StateMachine{machine: state.New()}
	if err := m.Restore(before); err != nil {
		t.Fatalf("restore: %v", err)
	}
	if after := encodedSnapshot(t, m); !bytes.Equal(before, after) {
		t.Fatalf("restored snapshot differs:\n%x\n%x", before, after)
	}
}
