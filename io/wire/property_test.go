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

// A fixed seed gives the same verdict in every run; -rapid.seed and
// -rapid.checks on the command line override these.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// generator draws commands that fit the state of a machine often enough to
// reach its deeper cases.
type generator struct {
	t   *rapid.T
	m   *state.Machine
	now time.Time
}

func (g *generator) pick(n int, label string) int { return rapid.IntRange(0, n-1).Draw(g.t, label) }
func (g *generator) name(prefix string, n int) string {
	return fmt.Sprintf("%s%d", prefix, g.pick(n, prefix))
}
func (g *generator) soon() time.Time {
	return g.now.Add(time.Duration(g.pick(90, "soon")) * time.Minute)
}

func (g *generator) incarnation() fleet.Incarnation {
	return fleet.Incarnation(1 + g.pick(3, "incarnation"))
}

// record returns a target that exists, or an empty record.
func (g *generator) record() state.TargetRecord {
	all := g.m.Targets()
	if len(all) == 0 {
		return state.TargetRecord{Target: fleet.Target{Name: "none"}}
	}
	return all[g.pick(len(all), "target")]
}

func (g *generator) number(r state.TargetRecord) fleet.OrderNumber {
	if r.Open != nil {
		return r.Open.Number
	}
	return fleet.OrderNumber{Term: 1, Sequence: uint64(g.pick(20, "sequence"))}
}

func (g *generator) action() state.Action {
	r := g.record()
	name := r.Target.Name
	switch g.pick(7, "action") {
	case 0:
		d := config.Document{Routes: []config.Route{{Name: "r", Prefix: "/"}}}
		for i := range 1 + g.pick(4, "customers") {
			d.Customers = append(d.Customers, config.Customer{Name: fleet.Customer(fmt.Sprintf("c%d", i)), Weight: uint32(1 + g.pick(2, "weight"))})
		}
		if g.pick(3, "whole") == 0 {
			return state.ReplaceDocument{Document: d}
		}
		a, err := state.EditAction(g.m.Config(), d)
		if err != nil {
			g.t.Fatal(err)
		}
		if e, ok := a.(state.EditDocument); ok && g.pick(2, "pieces") == 0 {
			parts := e.Split(1)
			return parts[g.pick(len(parts), "piece")]
		}
		return a
	case 1:
		return state.IssueKey{ID: g.name("k", 6), Digest: config.Digest{byte(1 + g.pick(6, "digest"))}, Customer: fleet.Customer(g.name("c", 4))}
	case 2:
		return state.WithdrawKey{ID: g.name("k", 6), Cut: g.pick(2, "cut") == 0}
	case 3:
		return state.DrainTarget{Target: name, Until: g.soon(), Leave: g.pick(2, "leave") == 0}
	case 4:
		return state.ReplaceTarget{Target: name, DrainFor: time.Minute, Deadline: g.soon()}
	case 5:
		return state.SetRole{Target: name, Role: fleet.Role(g.pick(3, "role")), Until: g.soon()}
	}
	return state.CancelDrain{Target: name}
}

func (g *generator) command() state.Command {
	switch g.pick(6, "group") {
	case 0:
		return state.Change{
			ID: g.name("change", 40), Base: g.m.Config().Revision - uint64(g.pick(2, "behind"))%(g.m.Config().Revision+1),
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
	longest := []int{1, 30, 30, 60 * 24}[g.pick(4, "longest")] // up to the retention of usage sources
	g.now = g.now.Add(time.Duration(g.pick(longest*60, "minutes")) * time.Minute)
	return state.Tick{Now: g.now}
}

func (g *generator) target() state.Command {
	r := g.record()
	switch g.pick(5, "target command") {
	case 0:
		return state.Announce{Target: fleet.Target{
			Name: fleet.TargetName(g.name("e", 4)), Incarnation: g.incarnation(), Kind: fleet.Engine, Pool: "p", DataCentre: "dc",
		}, Until: g.soon(), Time: g.now}
	case 1:
		return state.Observed{
			Target: r.Target.Name, Incarnation: r.Target.Incarnation, Number: r.ReadNumber,
			Role: fleet.Role(g.pick(3, "role")), Until: g.soon(), Time: g.now,
		}
	case 3:
		return state.Adapt{
			Term: uint64(1 + g.pick(4, "term")), Target: r.Target.Name, Incarnation: r.Target.Incarnation,
			Kind: state.AdaptKind(g.pick(2, "kind")), Role: fleet.Role(g.pick(3, "role")), Until: g.soon(), Time: g.now,
		}
	case 2:
		return state.RegisterEntry{Entry: fleet.Host(g.name("entry", 4)), Time: g.now, Until: g.soon()}
	}
	return state.TargetPhase{
		Target: r.Target.Name, Incarnation: r.Target.Incarnation, Phase: fleet.Phase(g.pick(7, "phase")), Until: g.soon(), Time: g.now,
	}
}

func (g *generator) order() state.Command {
	r := g.record()
	term := uint64(1 + g.pick(4, "term"))
	switch g.pick(5, "order command") {
	case 0:
		return state.PlaceOrder{
			Term: term, Target: r.Target.Name, Incarnation: r.Target.Incarnation, Kind: state.OrderKind(g.pick(3, "kind")),
			Content: state.OrderContent{Model: g.name("m", 2), Role: fleet.Role(g.pick(3, "role"))}, Deadline: g.soon(), Time: g.now,
		}
	case 1:
		return state.AcknowledgeOrder{
			Number: g.number(r), Target: r.Target.Name, Incarnation: r.Target.Incarnation, Done: g.pick(2, "done") == 0, Time: g.now,
		}
	case 2:
		return state.AbandonOrder{Term: term, Number: g.number(r), Target: r.Target.Name, Time: g.now}
	case 3:
		return state.PlacePlatformOrder{
			ID: g.name("start", 8), Term: term, Kind: state.PlatformKind(g.pick(2, "kind")), DataCentre: "dc", Pool: "p",
			Target: r.Target.Name, Deadline: g.soon(), Time: g.now,
		}
	}
	c := state.AcknowledgePlatform{Done: g.pick(2, "done") == 0, Time: g.now}
	if open := g.m.OpenPlatformOrders(); len(open) > 0 {
		c.Number = open[g.pick(len(open), "open")].Number
	}
	return c
}

func (g *generator) claim() state.Command {
	key := state.ClaimKey{Customer: fleet.Customer(g.name("c", 3)), IdempotencyKey: g.name("key", 4)}
	id := fleet.RequestID{byte(g.pick(6, "request"))}
	if g.pick(2, "claim command") == 0 {
		return state.Claim{Key: key, Request: id, Body: [32]byte{byte(g.pick(2, "body"))}, Target: "e1", Expires: g.soon()}
	}
	s := state.Settle{Key: key, Request: id, Settlement: state.Settlement(g.pick(3, "settlement"))}
	if g.pick(2, "answer") == 0 {
		s.Answer = &state.StoredAnswer{Status: 200, Body: []byte("answer")}
	}
	return s
}

func (g *generator) usage() state.Command {
	switch g.pick(4, "usage command") {
	case 0:
		return state.SealUsage{Window: uint64(g.pick(12, "window")), Until: g.now}
	case 1:
		return state.AcknowledgeUsage{Window: uint64(g.pick(12, "window"))}
	}
	var c state.ReportUsage
	for range 1 + g.pick(4, "records") {
		c.Records = append(c.Records, state.UsageRecord{
			ID:       state.UsageID{Node: fleet.Host(g.name("h", 3)), Incarnation: g.incarnation(), Sequence: uint64(g.pick(30, "sequence"))},
			Customer: fleet.Customer(g.name("c", 3)), Route: g.name("r", 2), PromptTokens: uint64(g.pick(50, "prompt")), OutputTokens: 1,
		})
	}
	return c
}

// Guards against state that a snapshot leaves out and against dependence on map
// order: a restored replica must answer and encode like one that never stopped.
func TestSnapshotRestoreEquivalence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewReplicated(), NewReplicated()
		g := &generator{t: t, m: a.machine, now: at}
		for i := range rapid.IntRange(1, 120).Draw(t, "commands") {
			c := g.command()
			entry, err := EncodeCommand(c)
			if err != nil {
				t.Fatalf("encode %#v: %v", c, err)
			}
			ra, rb := a.Apply(uint64(i+1), 1, entry), b.Apply(uint64(i+1), 1, entry)
			if !reflect.DeepEqual(ra, rb) {
				t.Fatalf("command %#v: %#v and %#v", c, ra, rb)
			}
			if g.pick(8, "restore") == 0 {
				restart(t, b)
			}
		}
		if x, y := snapshot(t, a), snapshot(t, b); !bytes.Equal(x, y) {
			t.Fatalf("snapshots differ:\n%x\n%x", x, y)
		}
	})
}

func snapshot(t *rapid.T, r *Replicated) []byte {
	b, err := r.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	return b
}

func restart(t *rapid.T, r *Replicated) {
	before := snapshot(t, r)
	*r = Replicated{machine: state.New()}
	if err := r.Restore(before); err != nil {
		t.Fatalf("restore: %v", err)
	}
	if after := snapshot(t, r); !bytes.Equal(before, after) {
		t.Fatalf("restored snapshot differs:\n%x\n%x", before, after)
	}
}
