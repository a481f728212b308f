package config

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against equivalent documents with different digests, which would cause
// every edit between them to be refused, and against a part of the document that
// the digest does not cover.
func TestDigest(t *testing.T) {
	base := func() Document {
		return Document{
			Team: "t", Customers: []Customer{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}, Models: []Model{{Name: "m"}},
			Routes: []Route{{Name: "r"}}, Windows: []Window{{Name: "w", Opens: time.Unix(5, 0).UTC()}},
			Budget: Budget{PricePerHour: map[string]float64{"p": 0}},
		}
	}
	tests := map[string]struct {
		edit func(d *Document)
		same bool
	}{
		"order of customers":  {func(d *Document) { slices.Reverse(d.Customers) }, true},
		"empty lists":         {func(d *Document) { d.PoolModel, d.Budget.MinimumPerPool = map[string]string{}, map[string]int{} }, true},
		"time zone":           {func(d *Document) { d.Windows[0].Opens = time.Unix(5, 0).In(time.FixedZone("z", 60)) }, true},
		"negative zero limit": {func(d *Document) { d.Customers[0].TokensPerSecond = math.Copysign(0, -1) }, true},
		"negative zero price": {func(d *Document) { d.Budget.PricePerHour["p"] = math.Copysign(0, -1) }, true},
		"customer":            {func(d *Document) { d.Customers[1].Large = true }, false},
		"team":                {func(d *Document) { d.Team = "u" }, false},
		"route":               {func(d *Document) { d.Routes[0].Open = true }, false},
		"model":               {func(d *Document) { d.Models[0].Bytes = 1 }, false},
		"pool":                {func(d *Document) { d.PoolModel = map[string]string{"p": "m"} }, false},
		"window":              {func(d *Document) { d.Windows[0].Reserved = 0.5 }, false},
		"budget":              {func(d *Document) { d.Budget.HourlyCap = 1 }, false},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, err := base().Digest()
			is.NoErr(err)
			d := base()
			x.edit(&d)
			second, err := d.Digest()
			is.NoErr(err)
			is.Equal(first == second, x.same)
		})
	}
}
