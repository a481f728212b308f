package answers

import (
	"maps"
	"slices"

	"papayarock/core/config"
)

const inForceHeader = `# Configuration in force, without the answers it was generated from.

`

// EncodeDocument encodes the current configuration, whose answers are not known, as TOML
// in the format that ParseDocument reads.
func EncodeDocument(d config.Document) []byte {
	w := &writer{omitSources: true}
	w.WriteString(inForceHeader)
	w.key("team", d.Team)
	for _, c := range d.Customers {
		w.customer(c, "")
	}
	for _, r := range d.Routes {
		w.route(r, "")
	}
	for _, m := range d.Models {
		w.model(m, "")
	}
	for _, name := range slices.Sorted(maps.Keys(d.Budget.MaximumPerPool)) {
		w.pool(Pool{
			Name: name, Model: d.PoolModel[name], MinTargets: d.Budget.MinimumPerPool[name], MaxTargets: d.Budget.MaximumPerPool[name],
			PricePerHour: d.Budget.PricePerHour[name],
		}, "")
	}
	for _, window := range d.Windows {
		w.window(window, "")
	}
	w.budget(d.Budget)
	return w.Bytes()
}
