package state

import (
	"slices"
	"strings"
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// Machine is the state that all replicas hold alike. It is not safe for
// concurrent use.
type Machine struct {
	index    uint64
	term     uint64
	sequence uint64
	now      time.Time

	config   *config.Index
	pending  config.Delta // edits of the command being applied
	history  history
	changes  changes
	staged   *Staging // nil when nothing is staged
	targets  map[fleet.TargetName]*TargetRecord
	platform platform
	claims   claims
	usage    usage
	shares   map[fleet.Host][]Share
	limits   limits
}

// limits bounds the state. They are the same on every replica: a replica with
// other limits would diverge.
type limits struct {
	changes      int // remembered answers to operator changes
	audit        int
	stagedBytes  int
	keys         int
	targets      int
	platform     int // platform orders, open and remembered
	claims       int
	claimBytes   int
	sources      int // agent incarnations in the usage dedupe memory
	above        int // usage records of one incarnation beyond a gap
	figures      int // of the open window, and in total of the sealed ones
	sealed       int // windows that wait for an acknowledgement
	acknowledged int // windows remembered without figures
	entries      int
}

var defaults = limits{
	changes:      4096, // 1,700 changes a day: more than two days
	audit:        4096,
	stagedBytes:  8 << 20, // 16,384 customers put and as many removed, with the longest names, have 5.5 MB
	keys:         65536,
	targets:      4096, // 1,100 replicas and the gone ones of a day
	platform:     4096,
	claims:       200_000,
	claimBytes:   64 << 20,
	sources:      16384,
	above:        1024,
	figures:      262_144, // 11,000 customers on 20 routes
	sealed:       24,
	acknowledged: 24,
	entries:      1024,
}

// New returns the state before the first command.
func New() *Machine {
	m := &Machine{limits: defaults}
	m.Restore(&Image{})
	return m
}

// EnterTerm notes the term of the log entry about to be applied. Orders are
// numbered by the highest term entered.
func (m *Machine) EnterTerm(term uint64) { m.term = max(m.term, term) }

// Apply changes the state by one committed command.
func (m *Machine) Apply(index uint64, c Command) Result {
	m.index = index
	switch c := c.(type) {
	case Change:
		return m.applyChange(c)
	case Announce:
		return m.announce(c)
	case TargetPhase:
		return m.targetPhase(c)
	case Observed:
		return m.observed(c)
	case Tick:
		return m.tick(c)
	case PlaceOrder:
		return m.placeOrder(c)
	case AcknowledgeOrder:
		return m.acknowledgeOrder(c)
	case AbandonOrder:
		return m.abandonOrder(c)
	case PlacePlatformOrder:
		return m.placePlatform(c)
	case AcknowledgePlatform:
		return m.acknowledgePlatform(c)
	case Adapt:
		return m.adapt(c)
	case Claim:
		return m.claims.claim(index, m.now, c, m.limits)
	case Settle:
		return m.claims.settle(m.now, c, m.limits)
	case ReportUsage:
		return m.usage.report(m.now, c, m.limits)
	case SealUsage:
		return m.usage.seal(c, m.limits)
	case AcknowledgeUsage:
		return m.usage.acknowledge(c, m.limits)
	case RegisterEntry:
		return m.registerEntry(c)
	}
	return nil
}

// Index returns the log index of the last applied command.
func (m *Machine) Index() uint64 { return m.index }

// Config returns the configuration in force. It may be read concurrently with
// later commands.
func (m *Machine) Config() *config.Index { return m.config }

// Delta returns the changes after revision from, or false when they are no
// longer held or too many for one message; then the node needs the snapshot.
func (m *Machine) Delta(from uint64) (config.Delta, bool) {
	return m.history.since(from, m.config.Revision)
}

// number assigns the next order number. It rises with every call, whatever the
// term, so numbers never repeat.
func (m *Machine) number() fleet.OrderNumber {
	m.sequence++
	return fleet.OrderNumber{Term: m.term, Sequence: m.sequence}
}

// touch marks a target as changed by the present command.
func (m *Machine) touch(t *TargetRecord) {
	m.pending.PutTargets = append(m.pending.PutTargets, t.Target)
}

// publish gives the pending edits a revision; without edits it changes nothing.
func (m *Machine) publish() uint64 {
	if m.pending.Entries() > 0 || m.pending.General != nil {
		m.commit()
	}
	return m.config.Revision
}

// commit makes the pending edits the next revision, even if there are none.
func (m *Machine) commit() {
	d := m.pending
	m.pending = config.Delta{}
	d.From, d.To = m.config.Revision, m.config.Revision+1
	d.PutTargets = lastByName(d.PutTargets)
	slices.Sort(d.RemoveTargets)
	next, err := m.config.Apply(d)
	if err != nil {
		panic(err) // the delta starts at the held revision
	}
	m.config = next
	m.history.add(d)
}

// lastByName sorts targets and keeps the last of each name.
func lastByName(targets []fleet.Target) []fleet.Target {
	slices.SortStableFunc(targets, func(a, b fleet.Target) int { return strings.Compare(string(a.Name), string(b.Name)) })
	var out []fleet.Target
	for i, t := range targets {
		if i+1 == len(targets) || targets[i+1].Name != t.Name {
			out = append(out, t)
		}
	}
	return out
}

func (m *Machine) tick(c Tick) Result {
	if c.Now.After(m.now) {
		m.now = c.Now
	}
	n := m.expireTargets() + m.platform.expire(m.now) + m.claims.expire(m.now)
	n += m.usage.expire(m.now) + m.expireShares() + m.expireStaged()
	return TickResult{Now: m.now, Revision: m.publish(), Expired: n}
}

// Now returns the clock of the state machine, which Tick advances.
func (m *Machine) Now() time.Time { return m.now }
