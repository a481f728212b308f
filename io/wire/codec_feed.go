package wire

import (
	"math"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/core/place"
	"papayarock/core/roles"
	"papayarock/core/roster"
)

// ErrInvalidFeedMessage is returned for a message of a feed that cannot be decoded.
var ErrInvalidFeedMessage = errors.New("invalid feed message")

// EncodeFeedTarget converts a roster record to its message. The times of the last
// announcement and of the end of the warm-up are sent relative to now, since the
// clocks of different hosts do not agree.
func EncodeFeedTarget(now time.Time, r roster.Record) *FeedTarget {
	m := &FeedTarget{
		Target: string(r.Target), StartedMs: r.Started.UnixMilli(), Sequence: r.Sequence, Pool: r.Pool,
		DataCentre: string(r.DataCentre), Slots: uint32(r.Slots),
		Condition: uint32(r.Condition), Role: uint32(r.Role), Weights: r.Weights, AgeMs: now.Sub(r.Heard).Milliseconds(),
	}
	if r.Address.IsValid() {
		m.Address = r.Address.String()
	}
	if r.WarmAt.After(now) {
		m.WarmMs = r.WarmAt.Sub(now).Milliseconds()
	}
	return m
}

// DecodeFeedTarget converts a message that was received at now to a roster record. It
// returns an error for an unknown condition or role, or an invalid address.
func DecodeFeedTarget(now time.Time, m *FeedTarget) (roster.Record, error) {
	if m.GetCondition() > uint32(roster.Left) || m.GetRole() > uint32(fleet.Decode) {
		return roster.Record{}, errors.Wrapf(ErrInvalidFeedMessage, "target %q: unknown condition %d or role %d", m.GetTarget(), m.GetCondition(), m.GetRole())
	}
	var a netip.AddrPort // stays invalid for a target that left before it was known
	if m.GetAddress() != "" {
		var err error
		if a, err = netip.ParseAddrPort(m.GetAddress()); err != nil {
			return roster.Record{}, errors.Wrapf(ErrInvalidFeedMessage, "target %q: address %q: %v", m.GetTarget(), m.GetAddress(), err)
		}
	}
	return roster.Record{
		Announcement: roster.Announcement{
			Target: fleet.TargetName(m.GetTarget()), Started: time.UnixMilli(m.GetStartedMs()), Sequence: m.GetSequence(),
			Pool: m.GetPool(), Address: a, DataCentre: fleet.DataCentre(m.GetDataCentre()), Slots: int(m.GetSlots()),
			Condition: roster.Condition(m.GetCondition()), Role: fleet.Role(m.GetRole()), Weights: m.GetWeights(),
			WarmAt: now.Add(decodeSpan(m.GetWarmMs())),
		},
		Heard: now.Add(-decodeSpan(m.GetAgeMs())),
	}, nil
}

// EncodeTargetSignOff converts the announcement with which a run of a target leaves to the
// command that records it. committed is the time of day at the leader.
func EncodeTargetSignOff(committed time.Time, a roster.Announcement) *TargetSignOff {
	a.WarmAt = time.Time{} // no replica must depend on when another one decodes the command
	return &TargetSignOff{Target: EncodeFeedTarget(committed, roster.Record{Announcement: a, Heard: committed}), TimeMs: committed.UnixMilli()}
}

// DecodeTargetSignOff converts a command to the announcement with which a run of a target
// leaves, and returns the time of its commit. It returns an error for a command without a
// name or one that DecodeFeedTarget rejects.
func DecodeTargetSignOff(m *TargetSignOff) (a roster.Announcement, committed time.Time, err error) {
	committed = time.UnixMilli(m.GetTimeMs())
	record, err := DecodeFeedTarget(committed, m.GetTarget())
	if err == nil && record.Target == "" {
		err = errors.Wrap(ErrInvalidFeedMessage, "sign-off without a target")
	}
	record.WarmAt = time.Time{}
	return record.Announcement, committed, err
}

// maxSpanMs bounds the times in feed messages, in milliseconds. It exceeds any age that
// makes a difference.
const maxSpanMs = 60 * 60 * 1000

// decodeSpan converts milliseconds to a duration from zero to maxSpanMs. A negative age
// would let a target count as heard of in the future, which never becomes stale.
func decodeSpan(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxSpanMs)) * time.Millisecond
}

// EncodeFeedLoads converts the load on engines by pool to messages.
func EncodeFeedLoads(loads map[string]roles.Counters) []*FeedLoad {
	var out []*FeedLoad
	for pool, c := range loads {
		out = append(out, &FeedLoad{
			Pool: pool, Prefills: c.Prefills, Delayed: c.Delayed, Paced: c.Paced, PaceSum: c.PaceSum, Streams: c.Streams,
			Refused: c.Refused, Imports: c.Imports, RefusedImports: c.RefusedImports, TransferMicros: c.TransferMicros,
			PromptTokens: c.PromptTokens, PrefillSpeed: c.PrefillSpeed, Paces: encodePaces(c.Paces),
		})
	}
	return out
}

// DecodeFeedLoad converts the message of one pool. It is the inverse of EncodeFeedLoads.
func DecodeFeedLoad(m *FeedLoad) (pool string, c roles.Counters) {
	return m.GetPool(), roles.Counters{
		Prefills: m.GetPrefills(), Delayed: m.GetDelayed(), Paced: m.GetPaced(), PaceSum: m.GetPaceSum(), Streams: m.GetStreams(),
		Refused: m.GetRefused(), Imports: m.GetImports(), RefusedImports: m.GetRefusedImports(), TransferMicros: m.GetTransferMicros(),
		PromptTokens: m.GetPromptTokens(), PrefillSpeed: finite(m.GetPrefillSpeed()), Paces: decodePaces(m.GetPaces()),
	}
}

// EncodeFeedBacklogs converts the backlogs at prefill engines to messages.
func EncodeFeedBacklogs(backlogs map[fleet.TargetName]place.Backlog) []*FeedBacklog {
	var out []*FeedBacklog
	for target, b := range backlogs {
		out = append(out, &FeedBacklog{Target: string(target), Prompts: uint32(b.Prompts), Tokens: uint64(b.Tokens)})
	}
	return out
}

// maxBacklogTokens bounds the tokens of one backlog, so that sums cannot overflow.
const maxBacklogTokens = 1 << 40

// DecodeFeedBacklogs is the inverse of EncodeFeedBacklogs.
func DecodeFeedBacklogs(list []*FeedBacklog) map[fleet.TargetName]place.Backlog {
	out := make(map[fleet.TargetName]place.Backlog, len(list))
	for _, m := range list {
		out[fleet.TargetName(m.GetTarget())] = place.Backlog{Prompts: int(m.GetPrompts()), Tokens: int(min(m.GetTokens(), maxBacklogTokens))}
	}
	return out
}

// EncodeFeedPrefixes converts sightings of prefixes to one message per target.
func EncodeFeedPrefixes(list []place.Sighting) []*FeedPrefixes {
	var out []*FeedPrefixes
	byTarget := make(map[fleet.TargetName]*FeedPrefixes)
	for _, s := range list {
		m := byTarget[s.Target]
		if m == nil {
			m = &FeedPrefixes{Target: string(s.Target)}
			byTarget[s.Target] = m
			out = append(out, m)
		}
		m.Prefixes = append(m.Prefixes, uint64(s.Prefix))
	}
	return out
}

// DecodeFeedPrefixes is the inverse of EncodeFeedPrefixes.
func DecodeFeedPrefixes(list []*FeedPrefixes) []place.Sighting {
	var out []place.Sighting
	for _, m := range list {
		for _, prefix := range m.GetPrefixes() {
			out = append(out, place.Sighting{Target: fleet.TargetName(m.GetTarget()), Prefix: place.Prefix(prefix)})
		}
	}
	return out
}

// EncodeFeedRoleChanges converts role changes to messages. Their deadlines are sent
// relative to now.
func EncodeFeedRoleChanges(now time.Time, list []place.RoleChange) []*FeedRoleChange {
	var out []*FeedRoleChange
	for _, c := range list {
		out = append(out, &FeedRoleChange{
			Target: string(c.Target), StartedMs: c.Started.UnixMilli(), Role: uint32(c.Role), RemainingMs: c.Expires.Sub(now).Milliseconds(),
		})
	}
	return out
}

// DecodeFeedRoleChanges converts messages that were received at now. Changes to an
// unknown role are left out.
func DecodeFeedRoleChanges(now time.Time, list []*FeedRoleChange) []place.RoleChange {
	var out []place.RoleChange
	for _, m := range list {
		if m.GetRole() > uint32(fleet.Decode) {
			continue
		}
		remaining := time.Duration(min(max(m.GetRemainingMs(), 0), maxRoleChange.Milliseconds())) * time.Millisecond
		out = append(out, place.RoleChange{
			Target: fleet.TargetName(m.GetTarget()), Started: time.UnixMilli(m.GetStartedMs()), Role: fleet.Role(m.GetRole()), Expires: now.Add(remaining),
		})
	}
	return out
}

// maxRoleChange bounds the time for which an engine is not used because of a role change.
const maxRoleChange = time.Minute

// finite returns f, or zero if it is negative or not a number.
func finite(f float64) float64 {
	if f > 0 && !math.IsInf(f, 1) {
		return f
	}
	return 0
}

func encodePaces(paces map[fleet.TargetName]roles.Pace) []*FeedPace {
	var out []*FeedPace
	for target, p := range paces {
		out = append(out, &FeedPace{Target: string(target), MeanMicros: uint64(p.Mean.Microseconds()), Unsteady: p.Unsteady})
	}
	return out
}

// maxPaceMicros bounds a pace, so that sums cannot overflow.
const maxPaceMicros = 1 << 32

func decodePaces(list []*FeedPace) map[fleet.TargetName]roles.Pace {
	if len(list) == 0 {
		return nil
	}
	out := make(map[fleet.TargetName]roles.Pace, len(list))
	for _, m := range list {
		mean := time.Duration(min(m.GetMeanMicros(), maxPaceMicros)) * time.Microsecond
		out[fleet.TargetName(m.GetTarget())] = roles.Pace{Mean: mean, Unsteady: m.GetUnsteady()}
	}
	return out
}
