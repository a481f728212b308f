package registry

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"papayarock/core/fleet"
	"papayarock/core/roster"
	"papayarock/io/wire"
)

var committed = time.Unix(2000, 0)

func leaving(run int64, c roster.Condition) roster.Announcement {
	return roster.Announcement{
		Target: "t", Started: time.UnixMilli(run), Sequence: 7, Pool: "orders", Address: netip.MustParseAddrPort("10.0.1.1:80"),
		DataCentre: "z1", Slots: 6, Condition: c, Role: fleet.Decode, Weights: 3,
	}
}

// apply applies the command of a sign-off that was committed at the given time.
func (m *stateMachine) apply(t *testing.T, at time.Time, a roster.Announcement) {
	t.Helper()
	b, err := proto.Marshal(&wire.RegistryCommand{Command: &wire.RegistryCommand_SignOff{SignOff: wire.EncodeTargetSignOff(at, a)}})
	if err != nil {
		t.Fatal(err)
	}
	if result := m.Apply(1, 1, b); result != nil {
		t.Fatal(result)
	}
}

// Guards against sign-offs that commands or snapshots change, and against an earlier one
// that replaces a later one.
func TestSignOffState(t *testing.T) {
	for name, test := range map[string]struct {
		list []roster.Announcement
		want roster.Announcement
	}{
		"draining":              {[]roster.Announcement{leaving(1, roster.Draining)}, leaving(1, roster.Draining)},
		"draining, then left":   {[]roster.Announcement{leaving(1, roster.Draining), leaving(1, roster.Left)}, leaving(1, roster.Left)},
		"left, then draining":   {[]roster.Announcement{leaving(1, roster.Left), leaving(1, roster.Draining)}, leaving(1, roster.Left)},
		"an earlier run":        {[]roster.Announcement{leaving(2, roster.Draining), leaving(1, roster.Left)}, leaving(2, roster.Draining)},
		"a later run":           {[]roster.Announcement{leaving(1, roster.Left), leaving(2, roster.Draining)}, leaving(2, roster.Draining)},
		"without announcements": {[]roster.Announcement{{Target: "t", Started: time.UnixMilli(1), Condition: roster.Left}}, roster.Announcement{Target: "t", Started: time.UnixMilli(1), Condition: roster.Left}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newStateMachine()
			var told []roster.Announcement
			m.onSignOff = func(a roster.Announcement) { told = append(told, a) }
			for _, a := range test.list {
				m.apply(t, committed, a)
			}
			is.Equal(m.signOffs["t"].Announcement, test.want)
			is.Equal(told, test.list)
			is.True(m.hasSignOff(test.want))
			snapshot, err := m.Snapshot()
			is.NoErr(err)
			restored := newStateMachine()
			told = nil
			restored.onSignOff = m.onSignOff
			is.NoErr(restored.Restore(snapshot))
			is.Equal(restored.signOffs, m.signOffs)
			is.Equal(told, []roster.Announcement{test.want})
		})
	}
}

// Guards against a state that grows with each target that was ever replaced, and against
// replicas whose states differ since they dropped sign-offs by their own clocks.
func TestSignOffStateIsBounded(t *testing.T) {
	is := is.New(t)
	m := newStateMachine()
	for i := range 1000 {
		a := leaving(1, roster.Left)
		a.Target = fleet.TargetName(fmt.Sprint("t-", i))
		m.apply(t, committed.Add(time.Duration(i)*time.Second), a)
	}
	is.Equal(len(m.signOffs), 1+int(targetRetention/time.Second))
	is.True(!m.hasSignOff(leaving(1, roster.Left)))
}

// Guards against a command of a sign-off that cannot be read and ends the replica.
func TestInvalidSignOff(t *testing.T) {
	for name, command := range map[string]*wire.TargetSignOff{
		"empty":             {},
		"unknown condition": {Target: &wire.FeedTarget{Target: "t", Condition: 9}},
		"address":           {Target: &wire.FeedTarget{Target: "t", Address: "nowhere"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newStateMachine()
			b, err := proto.Marshal(&wire.RegistryCommand{Command: &wire.RegistryCommand_SignOff{SignOff: command}})
			is.NoErr(err)
			_, failed := m.Apply(1, 1, b).(error)
			is.True(failed)
			is.Equal(len(m.signOffs), 0)
		})
	}
}
