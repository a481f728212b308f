package measure

import (
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Options selects what Run simulates. Empty lists mean all.
type Options struct {
	Seed      uint64
	Sizes     []string
	Scenarios []string
	Parallel  int // concurrent simulations; 0 means 2
}

// row is one line of a table.
type row struct {
	name      string
	digits    int // after the decimal point
	value     func(scenario, *result) float64
	appliesTo func(scenario) bool // nil means every scenario
}

func rows() []row {
	loss := func(s scenario) bool { return s.loss }
	return []row{
		{"goodput %", 1, func(_ scenario, r *result) float64 { return r.goodput() }, nil},
		{"worst minute %", 1, func(_ scenario, r *result) float64 { return r.worstMinute() }, nil},
		{"worst customer %", 1, func(s scenario, r *result) float64 { return r.worstCustomer(s) }, nil},
		{"p99 first token ms", 0, func(_ scenario, r *result) float64 { return float64(r.firstTokenLatency.ValueAtQuantile(99)) / 1000 }, nil},
		{"urgent in window %", 1, func(_ scenario, r *result) float64 { return r.windowGoodput() }, func(s scenario) bool { return s.window }},
		{"role changes", 0, func(_ scenario, r *result) float64 { return float64(r.roleChanges) }, nil},
		{"target hours", 2, func(_ scenario, r *result) float64 { return r.paidTime.Hours() }, nil},
		{"cross-region MB", 1, func(_ scenario, r *result) float64 { return r.crossRegionBytes / 1e6 }, nil},
		{"amplification", 3, func(_ scenario, r *result) float64 { return r.amplification() }, loss},
		{"refused or failed", 0, func(_ scenario, r *result) float64 { return float64(r.refused) }, nil},
	}
}

// Run simulates each selected scenario and size with every policy and prints a table
// for each.
func Run(out io.Writer, o Options) error {
	if o.Parallel == 0 {
		o.Parallel = 2
	}
	printed := 0
	for _, sz := range sizes() {
		for _, sc := range scenarios() {
			if !isSelected(o.Sizes, sz.name) || !isSelected(o.Scenarios, sc.name) {
				continue
			}
			printed++
			if err := printTable(out, o, sc, sz); err != nil {
				return err
			}
		}
	}
	if printed == 0 {
		return errors.Errorf("no known size in %q or no known scenario in %q", o.Sizes, o.Scenarios)
	}
	return nil
}

func isSelected(l []string, name string) bool {
	for _, x := range l {
		if x == name {
			return true
		}
	}
	return len(l) == 0
}

// printTable simulates a scenario with every policy and prints one table.
func printTable(out io.Writer, o Options, sc scenario, sz size) error {
	ps := policies()
	results := make([]*result, len(ps))
	var g errgroup.Group
	g.SetLimit(o.Parallel)
	for i, p := range ps {
		g.Go(func() error {
			results[i] = simulate(o.Seed, sc, p, sz)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %s, seed %d, load %.2f\n%-20s", sz.name, sc.name, o.Seed, sc.load, "")
	for _, p := range ps {
		fmt.Fprintf(&b, "%12s", p.name)
	}
	b.WriteByte('\n')
	for _, r := range rows() {
		if r.appliesTo != nil && !r.appliesTo(sc) {
			continue
		}
		fmt.Fprintf(&b, "%-20s", r.name)
		for i := range ps {
			fmt.Fprintf(&b, "%12.*f", r.digits, r.value(sc, results[i]))
		}
		b.WriteByte('\n')
	}
	b.WriteByte('\n')
	_, err := io.WriteString(out, b.String())
	return err
}
