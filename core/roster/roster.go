package roster

import (
	"net/netip"
	"time"

	"papayarock/core/fleet"
)

// Condition is the readiness that a target announces.
type Condition uint8

// Conditions, in the order in which one run passes through them.
const (
	Ready    Condition = iota
	Draining           // finishes its requests and accepts no new ones
	Left               // has ended, or a later run has its address
)

// String returns the name of the condition in kebab case.
func (c Condition) String() string { return [...]string{"ready", "draining", "left"}[c] }

// Announcement is the state that one run of a target announces.
type Announcement struct {
	Target     fleet.TargetName
	Started    time.Time // start of the run; orders runs with the same name or address
	Sequence   uint64    // orders the announcements of one run
	Pool       string
	Address    netip.AddrPort
	DataCentre fleet.DataCentre
	Slots      int // number of requests that the target runs concurrently
	Condition  Condition
	Role       fleet.Role
	Weights    uint64    // version of the model weights
	WarmAt     time.Time // the run is slow after its start until this time
}

// Record is the newest announcement of a target. Heard is the time at which the
// target last announced itself.
type Record struct {
	Announcement
	Heard time.Time
}

// Roster is the set of known targets. The zero value is empty and ready to use.
// It is not safe for concurrent use.
type Roster struct {
	records   map[fleet.TargetName]Record
	byAddress map[netip.AddrPort]fleet.TargetName
	version   uint64
	changedAt map[fleet.TargetName]uint64 // version at the last change
}

// Outcome is the effect of an announcement.
type Outcome uint8

// Possible outcomes.
const (
	Stale     Outcome = iota // older than the known state; ignored
	Refreshed                // unchanged except for Heard, Sequence and WarmAt
	Changed
)

// String returns the name of the outcome in kebab case. That of Refreshed is
// "renewed".
func (o Outcome) String() string { return [...]string{"stale", "renewed", "changed"}[o] }

func (r *Roster) init() {
	if r.records == nil {
		r.records = make(map[fleet.TargetName]Record)
		r.byAddress = make(map[netip.AddrPort]fleet.TargetName)
		r.changedAt = make(map[fleet.TargetName]uint64)
	}
}

// SignOff applies a sign-off that does not name the run that it ends. It was received at
// now, which is the time of day in wall. It ends every run that has started by then: this
// roster may know nothing of the target, or only an earlier run than another roster, to
// which the record is passed on. The record has the time of the sign-off as its start.
func (r *Roster) SignOff(now, wall time.Time, t fleet.TargetName) Outcome {
	r.init()
	old, known := r.records[t]
	if known && old.Started.After(wall) {
		wall = old.Started // the clocks differ
	}
	if known && r.byAddress[old.Address] == t {
		delete(r.byAddress, old.Address)
	}
	r.records[t] = Record{Announcement: Announcement{Target: t, Started: wall, Condition: Left}, Heard: now}
	r.recordChange(t)
	return Changed
}

// Announce applies an announcement that was received at now.
func (r *Roster) Announce(now time.Time, a Announcement) Outcome {
	if a.Condition == Left && a.Started.IsZero() {
		return r.SignOff(now, now, a.Target)
	}
	r.init()
	old, known := r.records[a.Target]
	if known && a.Started.Before(old.Started) {
		return Stale
	}
	sameRun := known && a.Started.Equal(old.Started)
	if sameRun && old.Condition == Left && a.Condition != Left {
		return Stale
	}
	if sameRun && a.Condition == Left {
		a = signedOff(old.Announcement, a)
	} else if sameRun && a.Sequence < old.Sequence {
		return Stale
	}
	if other, taken := r.byAddress[a.Address]; taken && other != a.Target && a.Condition != Left {
		if r.records[other].Started.After(a.Started) {
			return Stale // a later run has taken over the address
		}
		r.markLeft(other)
	}
	if sameRun && old.Condition == Draining && a.Condition == Ready {
		a.Condition = Draining
	}
	if known && old.Address != a.Address && r.byAddress[old.Address] == a.Target {
		delete(r.byAddress, old.Address)
	}
	if sameRun && old.Heard.After(now) {
		now = old.Heard // another replica received a later announcement
	}
	r.records[a.Target] = Record{Announcement: a, Heard: now}
	if _, taken := r.byAddress[a.Address]; a.Address.IsValid() && (a.Condition != Left || !taken) {
		r.byAddress[a.Address] = a.Target // a late sign-off does not take the address back from its next holder
	}
	if sameRun && sameContent(old.Announcement, a) {
		return Refreshed
	}
	r.recordChange(a.Target)
	return Changed
}

// signedOff returns the old announcement marked as left. The sign-off itself
// may contain only the name.
func signedOff(old, signOff Announcement) Announcement {
	old.Condition = Left
	old.Sequence = max(old.Sequence, signOff.Sequence)
	return old
}

// sameContent compares announcements without the fields that may differ in each
// announcement.
func sameContent(a, b Announcement) bool {
	a.Sequence, b.Sequence = 0, 0
	a.WarmAt, b.WarmAt = time.Time{}, time.Time{}
	return a == b
}

// markLeft marks a target as left, because a later run has its address.
func (r *Roster) markLeft(t fleet.TargetName) {
	record := r.records[t]
	if record.Condition == Left {
		return
	}
	record.Condition = Left
	r.records[t] = record
	r.recordChange(t)
}

// recordChange gives the record of t a new version, so that ChangedSince returns it.
func (r *Roster) recordChange(t fleet.TargetName) {
	r.version++
	r.changedAt[t] = r.version
}

// Get returns the record of a target.
func (r *Roster) Get(t fleet.TargetName) (Record, bool) {
	record, ok := r.records[t]
	return record, ok
}

// Version returns a number that increases with each change.
func (r *Roster) Version() uint64 { return r.version }

// ChangedSince returns the records changed after version, in no particular order.
func (r *Roster) ChangedSince(version uint64) []Record {
	var out []Record
	for t, v := range r.changedAt {
		if v > version {
			out = append(out, r.records[t])
		}
	}
	return out
}

// HeardSince returns the targets that have not left and that announced
// themselves after t.
func (r *Roster) HeardSince(t time.Time) []Record {
	var out []Record
	for _, record := range r.records {
		if record.Condition != Left && record.Heard.After(t) {
			out = append(out, record)
		}
	}
	return out
}

// Expire removes targets whose last announcement was before the given time, so
// that the roster does not grow with each run. Targets that have left are kept
// for the same time, so that a late announcement does not bring them back.
func (r *Roster) Expire(before time.Time) {
	for t, record := range r.records {
		if record.Heard.Before(before) {
			delete(r.records, t)
			delete(r.changedAt, t)
			if r.byAddress[record.Address] == t {
				delete(r.byAddress, record.Address)
			}
		}
	}
}
