package deploy

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
)

// Targets returns all targets that were started, sorted by name.
func (d *Deployment) Targets() []*Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]*Target, 0, len(d.targets))
	for _, t := range d.targets {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *Target) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return all
}

// Errors returns the errors of processes that failed and of targets that could
// not be started.
func (d *Deployment) Errors() []error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.errs)
}

// RestartProcess starts the process of a host again after StopProcess, with the same
// settings and data.
func (d *Deployment) RestartProcess(host fleet.Host) error {
	d.mu.Lock()
	s, known := d.settings[host]
	_, running := d.stopFuncs[host]
	d.mu.Unlock()
	if !known || running {
		return errors.Wrapf(ErrDeploy, "host %q: known %v, running %v", host, known, running)
	}
	d.startProcess(s)
	return nil
}

// HasProcess reports whether a process of the host was ever started, also if it no
// longer runs.
func (d *Deployment) HasProcess(host fleet.Host) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.settings[host]
	return ok
}
