package watch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"papayarock/core/fleet"
)

// Condition is what the leader makes of the signs of a target.
type Condition uint8

// Conditions of a target. Only a dead one may be taken for lost.
const (
	Well        Condition = iota
	Slow                  // silent or not answering, but not for long
	Partitioned           // runs, and somebody cannot reach it
	Dead                  // nobody has had a sign of it for LostAfter
)

// String returns the kebab-case name of the condition.
func (c Condition) String() string {
	return [...]string{"well", "slow", "partitioned", "dead"}[c]
}

const (
	// LostAfter is how long an agent may be silent. It is longer than the pause
	// of a process that is swapped or collected, and than a leader change.
	LostAfter = 5 * time.Second
	// quietAfter is the silence that is noted. A poll is held for 0.5 s, and one
	// that fails is given up after 1.1 s and asked elsewhere.
	quietAfter = 2 * time.Second
	// steadyFor is how long a target must be well to be shown so. A process that
	// is paused again and again stays slow.
	steadyFor = 5 * time.Second
	// failedFor is how long the failure of an entry counts if it does not reach
	// the agent meanwhile: an entry that has ejected the target seldom tries.
	failedFor = 30 * time.Second
	// severedFor bounds how long a target counts as partitioned only because its
	// relay is silent too: a data centre that was lost looks the same.
	severedFor = time.Minute
	// maxContacts bounds the entries remembered for one target.
	maxContacts = 8
)

// Contact is how an entry last fared with the agent of a target.
type Contact struct {
	Entry   fleet.Host
	Target  fleet.TargetName
	Reached time.Time // the agent answered; zero if it did not
	Failed  time.Time // the agent could not be reached; zero if it could
}

func (c Contact) last() time.Time {
	if c.Reached.After(c.Failed) {
		return c.Reached
	}
	return c.Failed
}

// Evidence is what control itself knows of a target in service.
type Evidence struct {
	Target    fleet.TargetName
	Seen      time.Time // of the agent's last poll, or the start of this leader
	Ready     bool      // the agent found that the target answers
	Relay     fleet.Host
	RelaySeen time.Time // last report of Relay; of no use if Relay is empty
}

// Judgement is the condition of a target and why.
type Judgement struct {
	Target    fleet.TargetName
	Condition Condition
	Reason    string
	Since     time.Time // of the condition
}

// Health judges the targets. The zero value knows of none.
type Health struct {
	contacts map[fleet.TargetName][]Contact
	judged   map[fleet.TargetName]*judged
}

type judged struct {
	Judgement
	unready time.Time // since when the agent finds it not answering; zero if it does
	steady  time.Time // since when nothing speaks against it; zero if something does
}

// Observe notes a contact of an entry. Reports may come twice and out of order.
func (h *Health) Observe(c Contact) {
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
		if list[i].last().Before(list[oldest].last()) {
			oldest = i
		}
	}
	if list[oldest].last().Before(c.last()) {
		list[oldest] = c
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Keep forgets all targets but those named.
func (h *Health) Keep(names map[fleet.TargetName]bool) {
	for n := range h.contacts {
		if !names[n] {
			delete(h.contacts, n)
		}
	}
	for n := range h.judged {
		if !names[n] {
			delete(h.judged, n)
		}
	}
}

// Judge returns the condition of a target at now. A worse condition shows at
// once, and a target that is well again after steadyFor.
func (h *Health) Judge(now time.Time, e Evidence) Judgement {
	if h.judged == nil {
		h.judged = make(map[fleet.TargetName]*judged)
	}
	j := h.judged[e.Target]
	if j == nil {
		j = &judged{Judgement: Judgement{Target: e.Target, Since: now}}
		h.judged[e.Target] = j
	}
	switch {
	case e.Ready:
		j.unready = time.Time{}
	case j.unready.IsZero():
		j.unready = now
	}
	c, reason := h.condition(now, e, j.unready)
	if c != Well {
		j.steady = time.Time{}
	} else if j.steady.IsZero() {
		j.steady = now
	}
	if c == Well && j.Condition != Well && now.Sub(j.steady) < steadyFor {
		return j.Judgement
	}
	if c != j.Condition {
		j.Condition, j.Since = c, now
	}
	j.Reason = reason
	return j.Judgement
}

func (h *Health) condition(now time.Time, e Evidence, unready time.Time) (Condition, string) {
	silent := now.Sub(e.Seen)
	reached, failing := h.recent(now, e.Target)
	switch last := reached.Reached; {
	case silent > quietAfter && last.After(e.Seen) && now.Sub(last) <= LostAfter:
		return Partitioned, fmt.Sprintf("its agent has not polled for %s, but entry %s had an answer", seconds(silent), reached.Entry)
	case silent > LostAfter && silent <= severedFor && e.Relay != "" && now.Sub(e.RelaySeen) > quietAfter:
		return Partitioned, fmt.Sprintf("its agent has not polled for %s, and relay %s is silent too", seconds(silent), e.Relay)
	case silent > LostAfter:
		return Dead, fmt.Sprintf("its agent has not polled for %s, and no entry had an answer since", seconds(silent))
	case silent > quietAfter:
		return Slow, fmt.Sprintf("its agent has not polled for %s", seconds(silent))
	case !unready.IsZero() && now.Sub(unready) > LostAfter:
		return Dead, fmt.Sprintf("its agent has found it not answering for %s", seconds(now.Sub(unready)))
	case !unready.IsZero():
		return Slow, "its agent finds it not answering"
	case len(failing) > 0:
		return Partitioned, "its agent polls, but cannot be reached from " + strings.Join(failing, ", ")
	}
	return Well, ""
}

// recent returns the last contact that reached the agent, and the entries that
// cannot reach it.
func (h *Health) recent(now time.Time, name fleet.TargetName) (reached Contact, failing []string) {
	for _, c := range h.contacts[name] {
		if c.Reached.After(reached.Reached) {
			reached = c
		}
		if c.Failed.After(c.Reached) && now.Sub(c.Failed) <= failedFor {
			failing = append(failing, string(c.Entry))
		}
	}
	slices.Sort(failing)
	return reached, failing
}

func seconds(d time.Duration) string { return d.Truncate(time.Second).String() }
