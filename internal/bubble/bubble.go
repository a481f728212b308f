package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Run runs f in a synctest bubble. In a race build it first limits the process to one
// processor, for good, since bubbles of other tests may run at the same time.
func Run(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if raceEnabled && runtime.GOMAXPROCS(0) > 1 {
		runtime.GOMAXPROCS(1)
	}
	synctest.Test(t, f)
}
