package answers

import (
	"os"

	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/internal/tomlfile"
)

// LoadDocument reads the generated configuration at path.
func LoadDocument(path string) (config.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return config.Document{}, errors.Wrap(ErrAnswers, err.Error())
	}
	d, faults := ParseDocument(text)
	if len(faults) > 0 {
		return config.Document{}, &tomlfile.FileError{Kind: ErrAnswers, Path: path, Faults: faults}
	}
	return d, nil
}

// ParseDocument parses a generated configuration. It checks the type and range of each
// value, but not whether the values are consistent with each other: Check has validated
// that in the answers.
func ParseDocument(text []byte) (config.Document, tomlfile.Faults) {
	file := tomlfile.Parse(text)
	if faults := file.Faults(); len(faults) > 0 {
		return config.Document{}, faults
	}
	root := file.Root()
	d := config.Document{Team: root.String("team")}
	for _, t := range root.Subtables("customer") {
		d.Customers = append(d.Customers, readCustomer(t))
		t.ReportUnknownKeys()
	}
	for _, t := range root.Subtables("route") {
		d.Routes = append(d.Routes, readRoute(t))
		t.ReportUnknownKeys()
	}
	for _, t := range root.Subtables("model") {
		t.Require("name", "name the model")
		d.Models = append(d.Models, config.Model{
			Name: t.String("name"), Version: t.String("version"), Bytes: uint64(t.Int("bytes", 1, maxModelBytes, 1)),
		})
		t.ReportUnknownKeys()
	}
	for _, t := range root.Subtables("window") {
		d.Windows = append(d.Windows, config.Window{
			Name: t.String("name"), Opens: t.Time("opens"), Closes: t.Time("closes"), Reserved: t.Float("reserved", 0, 1, 0),
		})
		t.ReportUnknownKeys()
	}
	d.Budget = readBudget(root, &d)
	root.ReportUnknownKeys()
	return d, file.Faults()
}

func readCustomer(t *tomlfile.Table) config.Customer {
	t.Require("name", "name the customer")
	return config.Customer{
		Name:            fleet.Customer(t.String("name")),
		Weight:          uint32(t.Int("weight", 1, maxCustomerWeight, 1)),
		TokensPerSecond: t.Float("tokens-per-second", 0, maxRate, 0),
		RequestsPerSec:  t.Float("requests-per-second", 0, maxRate, 0),
		Large:           t.Bool("large"),
	}
}

func readRoute(t *tomlfile.Table) config.Route {
	for _, key := range []string{"name", "prefix", "pool", "promise"} {
		t.Require(key, "generate the configuration again")
	}
	return config.Route{
		Name:       t.String("name"),
		Prefix:     t.String("prefix"),
		Protocol:   tomlfile.Choice(t, "protocol", config.Plain, map[string]config.Protocol{"plain": config.Plain, "language": config.Language}),
		Pool:       t.String("pool"),
		Class:      tomlfile.Choice(t, "class", fleet.Patient, classesByName()),
		Open:       t.Bool("open"),
		Idempotent: t.Bool("idempotent"),
		SafeReads:  t.Bool("safe-reads"),
		Promise:    t.Duration("promise", minPromise, maxPromise, maxPromise),
		FirstToken: t.Duration("first-token", 0, maxPromise, 0),
	}
}

// readBudget reads the limits of the pools and the budget, and sets the models of
// the pools in d.
func readBudget(root *tomlfile.Table, d *config.Document) config.Budget {
	b := config.Budget{PricePerHour: make(map[string]float64), MinimumPerPool: make(map[string]int), MaximumPerPool: make(map[string]int)}
	for _, t := range root.Subtables("pool") {
		t.Require("name", "name the pool")
		name := t.String("name")
		if model := t.String("model"); model != "" {
			if d.PoolModel == nil {
				d.PoolModel = make(map[string]string)
			}
			d.PoolModel[name] = model
		}
		b.PricePerHour[name] = t.Float("price-per-hour", 0, maxPrice, 0)
		b.MinimumPerPool[name] = int(t.Int("minimum", 0, maxTargets, 0))
		b.MaximumPerPool[name] = int(t.Int("maximum", 0, maxTargets, 0))
		t.ReportUnknownKeys()
	}
	if t, ok := root.Subtable("budget"); ok {
		b.HourlyCap = t.Float("hourly-cap", 0, maxPrice, 0)
		b.StartDelay = t.Duration("start-delay", 0, maxDelay, 0)
		b.RoleChangeDelay = t.Duration("role-change-delay", 0, maxDelay, 0)
		t.ReportUnknownKeys()
	}
	return b
}
