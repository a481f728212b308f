package wire_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"papayarock/core/quarantine"
	"papayarock/io/wire"
)

func exampleReport(now time.Time) quarantine.Report {
	return quarantine.Report{
		Crashes: []quarantine.Crash{{
			Pool: "pool", Run: quarantine.Run{Target: "first", Started: time.UnixMilli(5000)}, At: now.Add(-2 * time.Second),
			Breaks: quarantine.Breaks{3, 1}, Segments: map[quarantine.Segment]quarantine.Breaks{7: {2, 1}, 8: {1, 0}},
		}},
		Served: map[string]uint64{"pool": 9}, Cleared: map[quarantine.Segment]time.Time{8: now.Add(-time.Second)},
		Quarantined: map[quarantine.Segment]time.Time{4: now.Add(time.Minute)},
	}
}

// Guards against evidence and verdicts that are assigned to the wrong segment, run, phase
// or time on their way between gateways and registry replicas.
func TestQuarantineMessages(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := exampleReport(now)
	sequence, got := wire.DecodeFeedEvidence(now, wire.EncodeFeedEvidence(now, 6, r))
	is.Equal(sequence, uint64(6))
	is.Equal(got, r)
	v := quarantine.Verdict{
		Sequence: 3, Suspects: []quarantine.Segment{5, 9}, Quarantined: map[quarantine.Segment]time.Time{6: now.Add(time.Minute)},
	}
	is.Equal(wire.DecodeFeedVerdict(now, wire.EncodeFeedVerdict(now, v)), v)
}

// FuzzFeedEvidence guards against a malformed report of a gateway that ends a registry
// replica, or that quarantines a segment by itself.
func FuzzFeedEvidence(f *testing.F) {
	now := time.Unix(1000, 0)
	text, err := proto.Marshal(wire.EncodeFeedEvidence(now, 1, exampleReport(now)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		var m wire.FeedEvidence
		if proto.Unmarshal(text, &m) != nil {
			return
		}
		var j quarantine.Judge[string]
		sequence, r := wire.DecodeFeedEvidence(now, &m)
		if added := j.Add(now, "first", 8, sequence, r); len(added) > 0 {
			t.Fatalf("segments %v quarantined by one of eight gateways", added)
		}
		v, _ := j.VerdictSince(0)
		wire.EncodeFeedVerdict(now, v)
	})
}
