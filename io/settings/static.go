package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/internal/tomlfile"
	"papayarock/io/answers"
)

// readStatic returns nil if entry has no table static.
func readStatic(entry *tomlfile.Table) *Static {
	t, ok := entry.Sub("static")
	if !ok {
		return nil
	}
	s := &Static{Configuration: t.String("configuration")}
	t.Need("configuration", "name the file written by papayarock answers generate")
	for _, k := range t.Subs("key") {
		s.Keys = append(s.Keys, config.Key{
			ID:       name(k, "id", "give the key an identifier"),
			Customer: fleet.Customer(name(k, "customer", "name the customer")),
			Digest:   readDigest(k),
		})
		k.Close()
	}
	for _, target := range t.Subs("target") {
		s.Targets = append(s.Targets, readStaticTarget(target))
		target.Close()
	}
	t.Close()
	return s
}

func readDigest(t *tomlfile.Table) config.Digest {
	const mend = "write the SHA-256 of the key in 64 hexadecimal digits"
	var d config.Digest
	if !t.Need("digest", mend) {
		return d
	}
	text, ok := t.Text("digest")
	b, err := hex.DecodeString(text)
	if ok && (err != nil || len(b) != sha256.Size) {
		t.Fault("digest", fmt.Sprintf("has %d characters", len(text)), mend)
		return d
	}
	copy(d[:], b)
	return d
}

func readStaticTarget(t *tomlfile.Table) fleet.Target {
	target := fleet.Target{
		Name:  fleet.TargetName(name(t, "name", "name the target")),
		Agent: address(t, "agent"),
		Pool:  name(t, "pool", "name the pool"),
		Kind:  tomlfile.Choice(t, "kind", fleet.Service, kinds()),
		Role:  tomlfile.Choice(t, "role", fleet.Mixed, roles()),
		Slots: uint32(t.Int("slots", 1, maxSlots, defaultSlots)),
		Phase: fleet.Ready,
	}
	if t.Has("region") {
		target.Region = fleet.Region(name(t, "region", ""))
	}
	if t.Has("data-centre") {
		target.DataCentre = fleet.DataCentre(name(t, "data-centre", ""))
	}
	t.Close()
	return target
}

// LoadStatic reads the configuration that s names.
func LoadStatic(s *Static) (config.Snapshot, error) {
	d, err := answers.LoadDocument(s.Configuration)
	if err != nil {
		return config.Snapshot{}, errors.Wrapf(ErrSettings, "static configuration: %v", err)
	}
	snapshot := config.Snapshot{Revision: 1, Document: d, Keys: s.Keys, Targets: s.Targets}
	customers := make(map[fleet.Customer]bool)
	for _, c := range d.Customers {
		customers[c.Name] = true
	}
	for _, k := range s.Keys {
		if !customers[k.Customer] {
			return snapshot, errors.Wrapf(ErrSettings, "key %q: customer %q is not in %s", k.ID, k.Customer, s.Configuration)
		}
	}
	for _, t := range s.Targets {
		if _, ok := d.Budget.MaximumPerPool[t.Pool]; !ok {
			return snapshot, errors.Wrapf(ErrSettings, "target %q: pool %q is not in %s", t.Name, t.Pool, s.Configuration)
		}
	}
	return snapshot, nil
}
