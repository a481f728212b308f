package truetime

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against a suspension that is not measured, and against a measured time that
// decreases or that counts a pause of the process.
func TestSuspensionTotal(t *testing.T) {
	type step struct {
		awake, asleep, pause time.Duration // since the last call; pause is between the two readings
		want                 time.Duration
	}
	for name, steps := range map[string][]step{
		"no suspension":               {{want: 0}, {awake: time.Minute, want: 0}},
		"suspension":                  {{want: 0}, {awake: time.Second, asleep: 3 * time.Second, want: 3 * time.Second}, {awake: time.Second, want: 3 * time.Second}},
		"before the first call":       {{asleep: time.Hour, want: 0}, {asleep: time.Second, want: time.Second}},
		"pause between the readings":  {{want: 0}, {asleep: time.Second, want: time.Second}, {pause: 2 * time.Second, want: time.Second}},
		"suspension, pause, no pause": {{want: 0}, {asleep: 3 * time.Second, pause: time.Second, want: 2 * time.Second}, {want: 3 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			boot, monotonic, pause := time.Hour, time.Minute, time.Duration(0)
			s := Suspension{Read: func(clock int32) (time.Duration, error) {
				if clock == unix.CLOCK_BOOTTIME {
					now := boot
					boot, monotonic = boot+pause, monotonic+pause
					return now, nil
				}
				return monotonic, nil
			}}
			for _, step := range steps {
				boot += step.awake + step.asleep
				monotonic += step.awake
				pause = step.pause
				is.Equal(s.Total(), step.want)
			}
		})
	}
}

// Guards against a system without these clocks on which Total fails or invents a value.
func TestSuspensionWithoutClock(t *testing.T) {
	is := is.New(t)
	s := Suspension{Read: func(int32) (time.Duration, error) { return 0, unix.EINVAL }}
	is.Equal(s.Total(), time.Duration(0))
	is.Equal(s.Total(), time.Duration(0))
}
