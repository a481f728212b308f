package state

import (
	"slices"
	"strings"
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// Machine is the state that all replicas have in common. It is not safe for
// concurrent use.
type Machine struct {
	index    uint64
	term     uint64
	sequence uint64
	now      time.Time

	config   *config.Index
	pending  config.Delta // edits made by the command being applied
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

// limits holds the size limits of the state. They must be the same on every
// replica; otherwise the replicas diverge.
type limits struct {
	changes        int // stored results of operator changes
	auditEntries   int
	stagedBytes    int
	keys           int
	targets        int
	platformOrders int // platform orders, open and closed
	claims         int
	claimBytes     int
	usageSources   int // agent incarnations with deduplication state
	outOfOrder     int // usage records of one incarnation above its watermark
	figures        int // in the open window, and in all unacknowledged windows together
	unacknowledged int // sealed windows that are not acknowledged
	acknowledged   int // acknowledged windows, which are kept without figures
	entries        int // entries with shares
}

var defaultLimits = limits{
	changes:        4096, // 1,700 changes per day for more than two days
	auditEntries:   4096,
	stagedBytes:    8 << 20, // 16,384 customers added and as many removed, all with names of maximum length, take 5.5 MB
	keys:           65536,
	targets:        4096, // 1,100 replicas and those gone within a day
	platformOrders: 4096,
	claims:         200_000,
	claimBytes:     64 << 20,
	usageSources:   16384,
	outOfOrder:     1024,
	figures:        262_144, // 11,000 customers on 20 routes
	unacknowledged: 24,
	acknowledged:   24,
	entries:        1024,
}

// New returns a state machine in its initial state.
func New() *Machine {
	m := &Machine{limits: defaultLimits}
	m.Restore(&Snapshot{})
	return m
}

// EnterTerm records the term of the log entry about to be applied. Orders are
// numbered by the highest term recorded.
func (m *Machine) EnterTerm(term uint64) { m.term = max(m.term, term) }

// Apply applies one committed command and returns its result, or nil if the
// type of the command is unknown.
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
		return m.placePlatformOrder(c)
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

// Config returns the current configuration. It may be read while later commands
// are applied.
func (m *Machine) Config() *config.Index { return m.config }

// Delta returns the changes after revision from. It returns false when they are
// no longer held or exceed one message; the node then needs a full snapshot.
func (m *Machine) Delta(from uint64) (config.Delta, bool) {
	return m.history.since(from, m.config.Revision)
}

// nextOrderNumber assigns the next order number. The sequence rises with every
// call, independent of the term, so numbers never repeat.
func (m *Machine) nextOrderNumber() fleet.OrderNumber {
	m.sequence++
	return fleet.OrderNumber{Term: m.term, Sequence: m.sequence}
}

// markUpdated adds a target to the edits of the current command.
func (m *Machine) markUpdated(t *TargetRecord) {
	m.pending.PutTargets = append(m.pending.PutTargets, t.Target)
}

// publish commits the pending edits, if any, and returns the current revision.
func (m *Machine) publish() uint64 {
	if m.pending.ItemCount() > 0 || m.pending.General != nil {
		m.commit()
	}
	return m.config.Revision
}

// commit applies the pending edits as the next revision, even if there are
// none.
func (m *Machine) commit() {
	d := m.pending
	m.pending = config.Delta{}
	d.From, d.To = m.config.Revision, m.config.Revision+1
	d.PutTargets = lastByName(d.PutTargets)
	slices.Sort(d.RemoveTargets)
	next, err := m.config.Apply(d)
	if err != nil {
		panic(err) // cannot happen: the delta starts at the current revision
	}
	m.config = next
	m.history.add(d)
}

// lastByName sorts targets by name and keeps the last one of each name.
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

// Now returns the time of the state machine's clock, which Tick advances.
func (m *Machine) Now() time.Time { return m.now }
