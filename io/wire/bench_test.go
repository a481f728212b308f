package wire

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"runtime"
	"testing"
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
)

var benchSizes = []int{8, 1000, 11000}

// newBenchMachine returns a state machine with two keys per customer and one target
// per ten customers, but at least eight targets. It also returns the configuration
// document that the machine was given. The log indexes that are passed to Apply here
// and below are arbitrary.
func newBenchMachine(customers int) (*state.Machine, config.Document) {
	m := state.New()
	d := sampleDocument()
	d.Customers = nil
	for i := range customers {
		d.Customers = append(d.Customers, config.Customer{Name: benchCustomer(i), Weight: 1, TokensPerSecond: 1000})
	}
	m.Apply(1, state.Tick{Now: testTime})
	m.Apply(2, state.Change{ID: "document", Operator: "op", Time: testTime, Action: state.ReplaceDocument{Document: d}})
	for i := range 2 * customers {
		issueKey(m, fmt.Sprintf("key-%05d", i), benchCustomer(i/2))
	}
	for i := range max(8, customers/10) {
		t := fleet.Target{Name: benchTarget(i), Host: fleet.Host(fmt.Sprintf("host-%04d", i)), Incarnation: 1, Kind: fleet.Engine, Pool: fmt.Sprint("p", i%5)}
		m.Apply(3, state.Announce{Target: t, Until: testTime.Add(time.Hour), Time: testTime})
	}
	return m, d
}

func benchCustomer(i int) fleet.Customer { return fleet.Customer(fmt.Sprintf("customer-%05d", i)) }
func benchTarget(i int) fleet.TargetName { return fleet.TargetName(fmt.Sprintf("engine-%04d", i)) }

func issueKey(m *state.Machine, id string, c fleet.Customer) {
	m.Apply(4, state.Change{
		ID: "issue " + id, Base: m.Config().Revision, Operator: "op", Time: testTime,
		Action: state.IssueKey{ID: id, Digest: sha256.Sum256([]byte(id)), Customer: c},
	})
}

func benchClaim(i int) state.Claim {
	return state.Claim{
		Key:     state.ClaimKey{Customer: benchCustomer(i % 8), IdempotencyKey: fmt.Sprintf("work-order-%016d", i)},
		Request: fleet.RequestID{byte(i), byte(i >> 8), byte(i >> 16)}, Target: benchTarget(0), Expires: testTime.Add(time.Hour),
	}
}

// benchCommands returns a function for each kind of command. It returns the n-th
// command of that kind after applying the commands that it depends on.
func benchCommands(m *state.Machine, d config.Document, customers int) map[string]func(n int) state.Command {
	change := func(n int, a state.Action) state.Command {
		return state.Change{ID: fmt.Sprint("bench ", n), Base: m.Config().Revision, Operator: "op", Time: testTime, Action: a}
	}
	out := benchOrders(m)
	maps.Copy(out, benchRequests(m, customers))
	maps.Copy(out, map[string]func(n int) state.Command{
		"replace document": func(n int) state.Command {
			d.Customers[0].Weight = uint32(1 + n%2)
			return change(n, state.ReplaceDocument{Document: d})
		},
		"edit document": func(n int) state.Command {
			d.Customers[0].Weight = uint32(1 + n%2)
			edit, _ := state.EditAction(m.Config(), d)
			return change(n, edit)
		},
		"issue key": func(n int) state.Command {
			id := fmt.Sprint("new ", n)
			return change(n, state.IssueKey{ID: id, Digest: sha256.Sum256([]byte(id)), Customer: benchCustomer(0)})
		},
		"withdraw key": func(n int) state.Command {
			issueKey(m, fmt.Sprint("old ", n), benchCustomer(0))
			return change(n, state.WithdrawKey{ID: fmt.Sprint("old ", n), Cut: true})
		},
		"drain target": func(n int) state.Command {
			return change(n, state.DrainTarget{Target: benchTarget(0), Until: testTime.Add(time.Duration(n))})
		},
		"cancel drain": func(n int) state.Command { return change(n, state.CancelDrain{Target: benchTarget(0)}) },
		"set role": func(n int) state.Command {
			return change(n, state.SetRole{Target: benchTarget(0), Role: fleet.Decode, Until: testTime.Add(time.Duration(n + 1))})
		},
		"replace target": func(n int) state.Command {
			for _, o := range m.OpenPlatformOrders() { // closes the orders of the previous replacement
				m.Apply(5, state.AcknowledgePlatform{Number: o.Number, Time: testTime.Add(-48 * time.Hour)})
			}
			m.Apply(5, state.Tick{Now: testTime})
			return change(n, state.ReplaceTarget{Target: benchTarget(0), DrainFor: time.Minute, Deadline: testTime.Add(time.Hour)})
		},
	})
	return out
}

// benchOrders returns the functions for commands about targets and orders.
func benchOrders(m *state.Machine) map[string]func(n int) state.Command {
	name := benchTarget(0)
	place := state.PlaceOrder{Term: 1, Target: name, Incarnation: 1, Kind: state.OrderLoad}
	// open places an order and returns its number.
	open := func() fleet.OrderNumber { return m.Apply(5, place).(state.OrderResult).Order.Number }
	// read makes the state of the target unknown and returns the command that reports it.
	read := func() state.Command {
		r := m.Apply(5, state.TargetPhase{Target: name, Incarnation: 1, Phase: fleet.Unknown, Until: testTime.Add(time.Hour)})
		return state.Observed{Target: name, Incarnation: 1, Number: r.(state.TargetResult).ReadNumber, Until: testTime.Add(time.Hour)}
	}
	// start returns the command that orders a new target from the platform.
	start := func(n int) state.PlacePlatformOrder {
		return state.PlacePlatformOrder{ID: fmt.Sprint("start ", n), Term: 1, DataCentre: "dc", Pool: "p0", Deadline: testTime.Add(time.Hour)}
	}
	// finish applies such a command and returns the one that closes its order.
	finish := func(n int) state.Command {
		o := m.Apply(5, start(n)).(state.PlatformResult).Order
		return state.AcknowledgePlatform{Number: o.Number, Time: testTime.Add(-48 * time.Hour)} // expires at the next tick
	}
	return map[string]func(n int) state.Command{
		"announce": func(n int) state.Command {
			return state.Announce{Target: fleet.Target{Name: name, Incarnation: 1, Slots: uint32(n), Pool: "p0"}, Until: testTime}
		},
		"target phase": func(n int) state.Command {
			return state.TargetPhase{Target: benchTarget(1), Incarnation: 1, Phase: fleet.Ready, Until: testTime.Add(time.Hour + time.Duration(n))}
		},
		"observed": func(int) state.Command { return read() },
		"tick":     func(int) state.Command { return state.Tick{Now: testTime} },
		"place order": func(int) state.Command {
			m.Apply(5, state.AcknowledgeOrder{Number: open(), Target: name, Incarnation: 1})
			return place
		},
		"acknowledge order": func(int) state.Command {
			return state.AcknowledgeOrder{Number: open(), Target: name, Incarnation: 1, Done: true}
		},
		"abandon order": func(int) state.Command {
			m.Apply(5, read())
			return state.AbandonOrder{Term: 1, Target: name, Number: open(), Time: testTime}
		},
		"place platform order": func(n int) state.Command {
			m.Apply(5, finish(2*n))
			m.Apply(5, state.Tick{Now: testTime})
			return start(2*n + 1)
		},
		"acknowledge platform": func(n int) state.Command {
			m.Apply(5, state.Tick{Now: testTime})
			return finish(n)
		},
	}
}

// benchRequests returns the functions for commands about claims, usage and entries.
func benchRequests(m *state.Machine, customers int) map[string]func(n int) state.Command {
	report := func(n int) state.Command {
		var c state.ReportUsage
		for i := range 100 {
			c.Records = append(c.Records, state.UsageRecord{
				ID:       state.UsageID{Node: "host-0000", Incarnation: 1, Sequence: uint64(n*100 + i + 1)},
				Customer: benchCustomer((n*100 + i) % customers), Route: "notes", PromptTokens: 100, OutputTokens: 10,
			})
		}
		return c
	}
	// window reports usage of every customer in the open window and returns its number.
	window := func(n int) uint64 {
		for i := range (customers + 99) / 100 {
			m.Apply(5, report(n*((customers+99)/100)+i))
		}
		number, _ := m.OpenWindow()
		return number
	}
	return map[string]func(n int) state.Command{
		"claim": func(n int) state.Command { return benchClaim(n) },
		"settle": func(n int) state.Command {
			c := benchClaim(n)
			m.Apply(5, c)
			return state.Settle{Key: c.Key, Request: c.Request, Settlement: state.SettledBarred}
		},
		"report 100 usage records": report,
		"seal usage": func(n int) state.Command {
			number := window(n)
			m.Apply(5, state.AcknowledgeUsage{Window: number - 1})
			return state.SealUsage{Window: number, Until: testTime}
		},
		"acknowledge usage": func(n int) state.Command {
			number := window(n)
			m.Apply(5, state.SealUsage{Window: number, Until: testTime})
			return state.AcknowledgeUsage{Window: number}
		},
		"register entry": func(n int) state.Command {
			return state.RegisterEntry{Entry: fleet.Host(fmt.Sprint("entry", n%50)), Time: testTime, Until: testTime.Add(time.Minute)}
		},
	}
}

// BenchmarkApply reports the time to apply one command as ns/apply. It excludes the
// time to create the command and to apply the commands that it depends on.
func BenchmarkApply(b *testing.B) {
	for _, customers := range benchSizes {
		for name := range benchCommands(state.New(), config.Document{}, customers) {
			b.Run(fmt.Sprintf("%d/%s", customers, name), func(b *testing.B) {
				m, d := newBenchMachine(customers)
				command := benchCommands(m, d, customers)[name]
				b.ResetTimer()
				var elapsed time.Duration
				for n := range b.N {
					c := command(n)
					start := time.Now()
					m.Apply(uint64(n), c)
					elapsed += time.Since(start)
				}
				b.ReportMetric(float64(elapsed.Nanoseconds())/float64(b.N), "ns/apply")
			})
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, customers := range benchSizes {
		m, _ := newBenchMachine(customers)
		b.Run(fmt.Sprintf("%d/take", customers), func(b *testing.B) {
			size := 0
			for b.Loop() {
				bytes, err := EncodeStateSnapshot(m.Snapshot())
				if err != nil {
					b.Fatal(err)
				}
				size = len(bytes)
			}
			b.ReportMetric(float64(size), "bytes")
		})
		bytes, _ := EncodeStateSnapshot(m.Snapshot())
		b.Run(fmt.Sprintf("%d/restore", customers), func(b *testing.B) {
			for b.Loop() {
				s, err := DecodeStateSnapshot(bytes)
				if err != nil {
					b.Fatal(err)
				}
				state.New().Restore(s)
			}
		})
	}
}

// BenchmarkSizes reports encoded sizes and memory use. Its ns/op is meaningless.
func BenchmarkSizes(b *testing.B) {
	for _, customers := range benchSizes {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			before := heapBytes()
			m, d := newBenchMachine(customers)
			b.ReportMetric(float64(heapBytes()-before)/float64(customers), "B/customer")
			full, _ := EncodeConfigSnapshot(m.Config().Snapshot())
			b.ReportMetric(float64(len(full)), "config-bytes")
			largest := 0
			for _, p := range m.Config().Snapshot().Pieces() {
				piece, _ := EncodeConfigSnapshot(p)
				largest = max(largest, len(piece))
			}
			b.ReportMetric(float64(largest), "piece-bytes")
			document, _ := EncodeCommand(state.Change{ID: "x", Operator: "op", Action: state.ReplaceDocument{Document: d}})
			b.ReportMetric(float64(len(document)), "document-bytes")
			d.Customers[0].Weight++
			edit, _ := state.EditAction(m.Config(), d)
			customerEdit, _ := EncodeCommand(state.Change{ID: "x", Operator: "op", Action: edit})
			b.ReportMetric(float64(len(customerEdit)), "one-customer-bytes")
			from := m.Config().Revision
			issueKey(m, "one more", benchCustomer(0))
			delta, _ := m.Delta(from)
			keyDelta, _ := EncodeDelta(delta)
			b.ReportMetric(float64(len(keyDelta)), "key-delta-bytes")
			const claims = 50_000
			before = heapBytes()
			for i := range claims {
				m.Apply(7, benchClaim(i))
			}
			b.ReportMetric(float64(heapBytes()-before)/claims, "B/claim")
			runtime.KeepAlive(m)
		})
	}
}

// heapBytes returns the size of the live heap. The second collection frees what
// sync.Pool retains through the first one.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
