package state

import (
	"maps"
	"slices"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// Snapshot returns the complete state in a canonical order. It shares no data that
// later commands modify.
func (m *Machine) Snapshot() *Snapshot {
	s := &Snapshot{
		Index: m.index, Term: m.term, Sequence: m.sequence, Now: m.now,
		Config: m.config.Snapshot(), OperatorRevision: m.changes.revision,
		Changes: slices.Clone(m.changes.records), Audit: slices.Clone(m.changes.audit),
		Targets: m.Targets(), Platform: m.platform.records(), Claims: m.claims.records(),
		Shares: m.shareList(), Staged: m.staged.clone(),
	}
	s.Usage.Open = m.usage.open()
	s.Usage.Sealed = slices.Clone(m.usage.sealed)
	s.Usage.Sources, s.Usage.Floors = m.usage.list()
	return s
}

// Restore replaces the state with that of a snapshot.
func (m *Machine) Restore(s *Snapshot) {
	l := m.limits
	*m = Machine{
		limits: l, index: s.Index, term: s.Term, sequence: s.Sequence, now: s.Now,
		config:  config.NewIndex(s.Config),
		targets: make(map[fleet.TargetName]*TargetRecord, len(s.Targets)),
		shares:  sharesByEntry(s.Shares),
		staged:  s.Staged.clone(),
	}
	m.restoreChanges(s)
	for _, t := range s.Targets {
		c := t.clone()
		m.targets[c.Target.Name] = &c
	}
	m.platform = platform{byID: make(map[string]*PlatformRecord), byNumber: make(map[fleet.OrderNumber]*PlatformRecord)}
	for _, p := range s.Platform {
		m.platform.add(&p)
	}
	m.claims = claims{byKey: make(map[ClaimKey]*ClaimRecord, len(s.Claims)), byCustomer: make(map[fleet.Customer]claimUsage)}
	for _, r := range s.Claims {
		m.claims.add(&r)
	}
	m.restoreUsage(s.Usage)
}

func (m *Machine) restoreChanges(s *Snapshot) {
	m.changes = changes{
		revision: s.OperatorRevision, records: slices.Clone(s.Changes), audit: slices.Clone(s.Audit),
		byID: make(map[string]ChangeRecord, len(s.Changes)),
	}
	for _, r := range s.Changes {
		m.changes.byID[r.ID] = r
	}
}

func (m *Machine) restoreUsage(s UsageSnapshot) {
	m.usage = usage{
		dedupe: newDedupe(s.Sources, s.Floors), number: max(s.Open.Number, 1), from: s.Open.From,
		figures: make(map[figureKey]*UsageFigure, len(s.Open.Figures)), sealed: slices.Clone(s.Sealed),
	}
	for _, f := range s.Open.Figures {
		m.usage.figures[figureKey{f.Customer, f.Route}] = &f
	}
}

// Dump is a summary of the state for diagnostics, of limited size and without
// secrets.
type Dump struct {
	Index, Term, Sequence uint64
	Now                   string
	Revision              uint64
	OperatorRevision      uint64
	Customers, Keys       int
	Targets               map[string]int // number of targets by phase
	OpenOrders            []string       // at most dumpList
	PlatformOrders        int            // open ones
	Claims, ClaimBytes    int
	OpenWindow            uint64
	Figures               int
	Sealed                int // sealed windows that are not acknowledged
	UsageSources          int
	Entries               int
	Audit                 []AuditEntry // the latest, at most dumpList
}

// dumpList limits the length of each list in a Dump.
const dumpList = 64

// Dump returns a summary of the state as a value of type Dump.
func (m *Machine) Dump() any {
	d := Dump{
		Index: m.index, Term: m.term, Sequence: m.sequence, Now: m.now.String(),
		Revision: m.config.Revision, OperatorRevision: m.changes.revision,
		Customers: m.config.CustomerCount(), Keys: m.config.KeyCount(), Targets: make(map[string]int),
		PlatformOrders: m.platform.open, Claims: m.claims.total.claims, ClaimBytes: m.claims.total.bytes,
		OpenWindow: m.usage.number, Figures: len(m.usage.figures), Sealed: len(m.UnacknowledgedWindows()),
		UsageSources: len(m.usage.sources), Entries: len(m.shares),
		Audit: slices.Clone(m.changes.audit[max(0, len(m.changes.audit)-dumpList):]),
	}
	for _, name := range slices.Sorted(maps.Keys(m.targets)) {
		r := m.targets[name]
		d.Targets[r.Target.Phase.String()]++
		if r.Open != nil && len(d.OpenOrders) < dumpList {
			d.OpenOrders = append(d.OpenOrders, string(name)+" "+r.Open.Number.String())
		}
	}
	return d
}
