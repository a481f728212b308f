package watch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"papayarock/core/fleet"
)

// Condition is the health of a target as assessed by the leader.
type Condition uint8

// Conditions of a target. Only a dead target may be declared lost.
const (
	Healthy     Condition = iota
	Slow                  // silent or not responding, but for no longer than DeadAfter
	Partitioned           // running, but unreachable from some hosts
	Dead                  // no sign of activity for DeadAfter
)

// String returns the kebab-case name of the condition.
func (c Condition) String() string {
	return [...]string{"well", "slow", "partitioned", "dead"}[c]
}

const (
	// DeadAfter is how long an agent may be silent before its target counts as
	// dead. It is longer than process pauses caused by swapping or garbage
	// collection, and longer than a change of leader.
	DeadAfter = 5 * time.Second
	// silenceThreshold is the silence after which a target is no longer healthy.
	// It exceeds the interval between regular polls: a poll is held for 0.5 s,
	// and a failed one times out after 1.1 s and is sent to another host.
	silenceThreshold = 2 * time.Second
	// recoveryTime is how long a target must be healthy again before it is
	// reported as such, so that a process that is paused repeatedly stays slow.
	recoveryTime = 5 * time.Second
	// contactFailureLifetime is how long a failed contact of an entry counts
	// unless the entry reaches the agent in the meantime. It is long because an
	// entry that has ejected the target seldom tries again.
	contactFailureLifetime = 30 * time.Second
	// maxRelayPartition limits how long a target counts as partitioned only
	// because its relay is silent too: the loss of a whole data centre looks the
	// same.
	maxRelayPartition = time.Minute
	// maxContacts is the number of entries whose contacts are kept per target.
	maxContacts = 8
)

// Contact holds the results of an entry's last attempts to reach the agent of a
// target.
type Contact struct {
	Entry   fleet.Host
	Target  fleet.TargetName
	Reached time.Time // last time the agent responded; zero if never
	Failed  time.Time // last time the agent could not be reached; zero if never
}

func (c Contact) lastAttempt() time.Time {
	if c.Reached.After(c.Failed) {
		return c.Reached
	}
	return c.Failed
}

// Evidence is the control plane's own information about a target in service.
type Evidence struct {
	Target          fleet.TargetName
	LastPoll        time.Time // time of the agent's last poll, or the start of this leader
	Ready           bool      // whether the target responds to its agent
	Relay           fleet.Host
	LastRelayReport time.Time // time of Relay's last report; ignored if Relay is empty
}

// Assessment is the condition of a target with its reason.
type Assessment struct {
	Target    fleet.TargetName
	Condition Condition
	Reason    string
	Since     time.Time // when the condition began
}

// Health assesses the condition of targets. The zero value is ready to use.
type Health struct {
	contacts map[fleet.TargetName][]Contact
	targets  map[fleet.TargetName]*targetHealth
}

type targetHealth struct {
	Assessment
	unreadySince time.Time // since when the target has not responded to its agent; zero if it responds
	healthySince time.Time // since when the target has been healthy; zero if it is not
}

// RecordContact records a contact of an entry. Contacts may be duplicated or arrive out
// of order.
func (h *Health) RecordContact(c Contact) {
	if h.contacts == nil {
		h.contacts = make(map[fleet.TargetName][]Contact)
	}
	list := h.contacts[c.Target]
	i := slices.IndexFunc(list, func(x Contact) bool { return x.Entry == c.Entry })
	switch {
	case i >= 0:
		list[i].Reached = latest(list[i].Reached, c.Reached)
		list[i].Failed = latest(list[i].Failed, c.Failed)
		return
	case len(list) < maxContacts:
		h.contacts[c.Target] = append(list, c)
		return
	}
	oldest := 0
	for i := range list {
		if list[i].lastAttempt().Before(list[oldest].lastAttempt()) {
			oldest = i
		}
	}
	if list[oldest].lastAttempt().Before(c.lastAttempt()) {
		list[oldest] = c
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Retain discards the data of all targets for which names does not hold true.
func (h *Health) Retain(names map[fleet.TargetName]bool) {
	for n := range h.contacts {
		if !names[n] {
			delete(h.contacts, n)
		}
	}
	for n := range h.targets {
		if !names[n] {
			delete(h.targets, n)
		}
	}
}

// Assess returns the condition of a target at now. A target that is healthy again
// keeps its former condition for recoveryTime (5 s); other changes take effect at
// once.
func (h *Health) Assess(now time.Time, e Evidence) Assessment {
	if h.targets == nil {
		h.targets = make(map[fleet.TargetName]*targetHealth)
	}
	t := h.targets[e.Target]
	if t == nil {
		t = &targetHealth{Assessment: Assessment{Target: e.Target, Since: now}}
		h.targets[e.Target] = t
	}
	switch {
	case e.Ready:
		t.unreadySince = time.Time{}
	case t.unreadySince.IsZero():
		t.unreadySince = now
	}
	c, reason := h.condition(now, e, t.unreadySince)
	if c != Healthy {
		t.healthySince = time.Time{}
	} else if t.healthySince.IsZero() {
		t.healthySince = now
	}
	if c == Healthy && t.Condition != Healthy && now.Sub(t.healthySince) < recoveryTime {
		return t.Assessment
	}
	if c != t.Condition {
		t.Condition, t.Since = c, now
	}
	t.Reason = reason
	return t.Assessment
}

// condition returns the condition that the evidence and the contacts show at now,
// without the delay of recovery, and its reason. The first matching case applies.
func (h *Health) condition(now time.Time, e Evidence, unreadySince time.Time) (Condition, string) {
	silence := now.Sub(e.LastPoll)
	reached, failing := h.contactSummary(now, e.Target)
	switch last := reached.Reached; {
	case silence > silenceThreshold && last.After(e.LastPoll) && now.Sub(last) <= DeadAfter:
		return Partitioned, fmt.Sprintf("the agent has not polled for %s, but responded to entry %s", seconds(silence), reached.Entry)
	case silence > DeadAfter && silence <= maxRelayPartition && e.Relay != "" && now.Sub(e.LastRelayReport) > silenceThreshold:
		return Partitioned, fmt.Sprintf("the agent has not polled for %s, and relay %s has not reported either", seconds(silence), e.Relay)
	case silence > DeadAfter:
		return Dead, fmt.Sprintf("the agent has not polled for %s and has not responded to any entry since", seconds(silence))
	case silence > silenceThreshold:
		return Slow, fmt.Sprintf("the agent has not polled for %s", seconds(silence))
	case !unreadySince.IsZero() && now.Sub(unreadySince) > DeadAfter:
		return Dead, fmt.Sprintf("the target has not responded to its agent for %s", seconds(now.Sub(unreadySince)))
	case !unreadySince.IsZero():
		return Slow, "the target does not respond to its agent"
	case len(failing) > 0:
		return Partitioned, "the agent polls, but cannot be reached from " + strings.Join(failing, ", ")
	}
	return Healthy, ""
}

// contactSummary returns the contact that reached the agent most recently, and
// the entries whose last attempt to reach it failed.
func (h *Health) contactSummary(now time.Time, name fleet.TargetName) (reached Contact, failing []string) {
	for _, c := range h.contacts[name] {
		if c.Reached.After(reached.Reached) {
			reached = c
		}
		if c.Failed.After(c.Reached) && now.Sub(c.Failed) <= contactFailureLifetime {
			failing = append(failing, string(c.Entry))
		}
	}
	slices.Sort(failing)
	return reached, failing
}

func seconds(d time.Duration) string { return d.Truncate(time.Second).String() }
