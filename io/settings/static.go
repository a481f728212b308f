package settings

import (
	"crypto/sha256"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

type staticFile struct {
	Routes []struct {
		Name    string `toml:"name"`
		Prefix  string `toml:"prefix"`
		Pool    string `toml:"pool"`
		Open    bool   `toml:"open"`
		Promise string `toml:"promise"`
	} `toml:"route"`
	Keys []struct {
		Customer string `toml:"customer"`
		Secret   string `toml:"secret"`
	} `toml:"key"`
	Targets []struct {
		Name  string `toml:"name"`
		Agent string `toml:"agent"`
		Pool  string `toml:"pool"`
	} `toml:"target"`
}

// LoadStatic reads a fixed configuration, for running without control.
func LoadStatic(path string) (config.Snapshot, error) {
	var s config.Snapshot
	text, err := os.ReadFile(path)
	if err != nil {
		return s, errors.Wrap(ErrSettings, err.Error())
	}
	var in staticFile
	if err := toml.Unmarshal(text, &in); err != nil {
		return s, errors.Wrapf(ErrSettings, "%s: %v", path, err)
	}
	s.Revision = 1
	for _, r := range in.Routes {
		promise, err := time.ParseDuration(r.Promise)
		if err != nil {
			return s, errors.Wrapf(ErrSettings, "route %q: promise: %v", r.Name, err)
		}
		s.Document.Routes = append(s.Document.Routes, config.Route{Name: r.Name, Prefix: r.Prefix, Pool: r.Pool, Open: r.Open, Promise: promise})
	}
	for _, k := range in.Keys {
		s.Keys = append(s.Keys, config.Key{ID: k.Customer, Customer: fleet.Customer(k.Customer), Digest: sha256.Sum256([]byte(k.Secret))})
	}
	for _, t := range in.Targets {
		addr, err := netip.ParseAddrPort(t.Agent)
		if err != nil {
			return s, errors.Wrapf(ErrSettings, "target %q: agent: %v", t.Name, err)
		}
		s.Targets = append(s.Targets, fleet.Target{Name: fleet.TargetName(t.Name), Agent: addr, Pool: t.Pool, Phase: fleet.Ready})
	}
	return s, nil
}
