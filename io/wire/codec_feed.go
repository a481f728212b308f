package wire

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
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
			WarmAt: now.Add(time.Duration(m.GetWarmMs()) * time.Millisecond),
		},
		Heard: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
	}, nil
}
