package config

import (
	"crypto/sha256"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
)

// Edit holds the changes that turn one document into another.
type Edit struct {
	General         *General // nil when unchanged
	PutCustomers    []Customer
	RemoveCustomers []fleet.Customer
}

// Diff returns the edit that turns the document of x into d, which must be valid
// according to Check.
func (x *Index) Diff(d Document) Edit {
	var e Edit
	present := make(map[fleet.Customer]bool, len(d.Customers))
	for _, c := range d.Customers {
		present[c.Name] = true
		if old, ok := x.Customer(c.Name); !ok || old != c {
			e.PutCustomers = append(e.PutCustomers, c)
		}
	}
	for _, c := range x.Customers() {
		if !present[c.Name] {
			e.RemoveCustomers = append(e.RemoveCustomers, c.Name)
		}
	}
	g := d.General()
	g.Windows = slices.Clone(g.Windows)
	for i, w := range g.Windows { // equal times in different zones compare as unequal
		g.Windows[i].Opens, g.Windows[i].Closes = w.Opens.UTC(), w.Closes.UTC()
	}
	if !x.General.Equal(g) {
		e.General = &g
	}
	return e
}

// DocumentAfter returns the document of x with e applied.
func (x *Index) DocumentAfter(e Edit) Document {
	// Apply cannot fail, since the delta starts at x.Revision.
	next, _ := x.Apply(Delta{
		From: x.Revision, To: x.Revision + 1,
		General: e.General, RemoveCustomers: e.RemoveCustomers, PutCustomers: e.PutCustomers,
	})
	return next.Document()
}

// General returns d without its customers.
func (d Document) General() General {
	return General{Team: d.Team, Routes: d.Routes, Models: d.Models, PoolModel: d.PoolModel, Windows: d.Windows, Budget: d.Budget}
}

// Document returns the document of x with the customers sorted by name.
func (x *Index) Document() Document {
	g := x.General
	return Document{
		Team: g.Team, Routes: g.Routes, Models: g.Models, PoolModel: g.PoolModel, Windows: g.Windows, Budget: g.Budget,
		Customers: x.Customers(),
	}
}

// documentJSON and the types of its fields define the JSON encoding from which
// Digest is computed. Replicas of later versions recompute the digest when they replay the log. New
// fields must therefore be omitted when zero, and existing ones must not be
// renamed.
type documentJSON struct {
	Team      string            `json:"team,omitzero"`
	Customers []customerJSON    `json:"customers,omitempty"`
	Routes    []routeJSON       `json:"routes,omitempty"`
	Models    []modelJSON       `json:"models,omitempty"`
	PoolModel map[string]string `json:"pool-model,omitempty"`
	Windows   []windowJSON      `json:"windows,omitempty"`
	Budget    budgetJSON        `json:"budget,omitzero"`
}

type customerJSON struct {
	Name            fleet.Customer `json:"name,omitzero"`
	Weight          uint32         `json:"weight,omitzero"`
	TokensPerSecond float64        `json:"tokens-per-second,omitzero"`
	RequestsPerSec  float64        `json:"requests-per-second,omitzero"`
	Large           bool           `json:"large,omitzero"`
}

type routeJSON struct {
	Name       string        `json:"name,omitzero"`
	Prefix     string        `json:"prefix,omitzero"`
	Protocol   Protocol      `json:"protocol,omitzero"`
	Pool       string        `json:"pool,omitzero"`
	Class      fleet.Class   `json:"class,omitzero"`
	Open       bool          `json:"open,omitzero"`
	Idempotent bool          `json:"idempotent,omitzero"`
	SafeReads  bool          `json:"safe-reads,omitzero"`
	Promise    time.Duration `json:"promise,omitzero"`
	FirstToken time.Duration `json:"first-token,omitzero"`
}

type modelJSON struct {
	Name    string `json:"name,omitzero"`
	Version string `json:"version,omitzero"`
	Bytes   uint64 `json:"bytes,omitzero"`
}

type windowJSON struct {
	Name     string    `json:"name,omitzero"`
	Opens    time.Time `json:"opens,omitzero"`
	Closes   time.Time `json:"closes,omitzero"`
	Reserved float64   `json:"reserved,omitzero"`
}

type budgetJSON struct {
	HourlyCap       float64            `json:"hourly-cap,omitzero"`
	PricePerHour    map[string]float64 `json:"price-per-hour,omitempty"`
	StartDelay      time.Duration      `json:"start-delay,omitzero"`
	MinimumPerPool  map[string]int     `json:"minimum-per-pool,omitempty"`
	MaximumPerPool  map[string]int     `json:"maximum-per-pool,omitempty"`
	RoleChangeDelay time.Duration      `json:"role-change-delay,omitzero"`
}

// Digest returns the SHA-256 hash of the document. The order of the
// customers, time zones, and nil or empty lists and maps make no difference.
func (d Document) Digest() ([sha256.Size]byte, error) {
	f := documentJSON{Team: d.Team, PoolModel: d.PoolModel, Budget: budgetJSON(d.Budget)}
	for _, c := range d.Customers {
		f.Customers = append(f.Customers, customerJSON(c))
	}
	slices.SortStableFunc(f.Customers, func(a, b customerJSON) int { return strings.Compare(string(a.Name), string(b.Name)) })
	for _, r := range d.Routes {
		f.Routes = append(f.Routes, routeJSON(r))
	}
	for _, m := range d.Models {
		f.Models = append(f.Models, modelJSON(m))
	}
	for _, w := range d.Windows {
		w.Opens, w.Closes = w.Opens.UTC(), w.Closes.UTC()
		f.Windows = append(f.Windows, windowJSON(w))
	}
	f.Budget.PricePerHour = make(map[string]float64, len(d.Budget.PricePerHour))
	for pool, price := range d.Budget.PricePerHour {
		f.Budget.PricePerHour[pool] = price + 0 // turns negative zero, which JSON encodes as -0, into zero
	}
	b, err := json.Marshal(f)
	if err != nil {
		return [sha256.Size]byte{}, errors.Wrap(ErrInvalidDocument, err.Error())
	}
	return sha256.Sum256(b), nil
}
