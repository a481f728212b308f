package fake_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"papayarock/internal/fake"
)

// Guards against a repeated start order that starts a second target although the
// platform is idempotent, or starts none although it is not.
func TestPlatformRepeatedOrder(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
		t.Run(name, func(t *testing.T) {
			p := &fake.Platform{Idempotent: idempotent, StartDelay: time.Minute, PricePerHour: map[string]float64{"notes": 6}}
			p.UpdateFaults(func(f *fake.PlatformFaults) { f.LoseAnswers = 1 })
			runWithServer(t, p, func(t *testing.T, c testClient) {
				is := is.New(t)
				order := map[string]string{"order": "1.1", "data-centre": "klang", "pool": "notes"}
				_, _, err := c.post("/targets", "", "", order)
				is.True(err != nil) // the response is lost, the target starts
				_, _, err = c.post("/targets", "", "", order)
				is.NoErr(err)
				is.Equal(p.DuplicateStarts() == 0, idempotent)
				is.Equal(len(p.Orders()), 2)
				time.Sleep(time.Minute)
				synctest.Wait()
				is.Equal(p.Targets()[0].State, "running")
				time.Sleep(time.Hour)
				if idempotent {
					is.Equal(p.Cost(time.Now()), 6.0)
				}
			})
		})
	}
}

// Guards against a stopped target that incurs cost or still starts.
func TestPlatformStop(t *testing.T) {
	started := 0
	p := &fake.Platform{
		StartDelay: time.Minute, PricePerHour: map[string]float64{"notes": 6},
		OnStart: func(fake.PlatformTarget) { started++ },
	}
	runWithServer(t, p, func(t *testing.T, c testClient) {
		is := is.New(t)
		_, _, err := c.post("/targets", "", "", map[string]string{"order": "1.1", "pool": "notes"})
		is.NoErr(err)
		status, _, err := c.post("/targets/p1/stop", "", "", map[string]string{"order": "1.2"})
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		time.Sleep(time.Hour)
		is.Equal(started, 0)
		is.Equal(p.Cost(time.Now()), 0.0)
		status, _, err = c.post("/targets/p9/stop", "", "", map[string]string{"order": "1.3"})
		is.NoErr(err)
		is.Equal(status, http.StatusNotFound)
	})
}

// Guards against a usage report that differs from the first one for its window and
// is taken for a repetition of it.
func TestPlatformUsageConflict(t *testing.T) {
	p := &fake.Platform{}
	runWithServer(t, p, func(t *testing.T, c testClient) {
		is := is.New(t)
		for _, tokens := range []int{7, 7, 8} {
			_, _, err := c.post("/usage", "", "", map[string]any{"customer": "klang", "window": "w1", "prompt-tokens": tokens})
			is.NoErr(err)
		}
		is.Equal(len(p.UsageReports()), 3)
		conflicts := p.ConflictingUsage()
		is.Equal(len(conflicts), 1)
		is.Equal(conflicts[0].PromptTokens, uint64(8))
	})
}

// Guards against concurrent downloads that together exceed the rate limit.
func TestWeightStoreRateLimit(t *testing.T) {
	s := &fake.WeightStore{BytesPerSecond: 1 << 20, Sizes: map[string]int64{"notes": 5 << 20}}
	runWithServer(t, s, func(t *testing.T, c testClient) {
		is := is.New(t)
		start := time.Now()
		done := make(chan int64, 2)
		for range 2 {
			go func() {
				resp, err := c.client.Get("http://fake/weights/notes/1")
				is.NoErr(err)
				defer func() { _ = resp.Body.Close() }()
				n, err := io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
				done <- n
			}()
		}
		is.Equal(<-done+<-done, int64(10<<20))
		is.True(time.Since(start) >= 9900*time.Millisecond) // 10 MiB at 1 MiB/s, less one burst
		synctest.Wait()                                     // the store counts a download after its last byte
		is.Equal(s.Counts().Downloads["notes/1"], 2)
		is.Equal(s.Counts().Peak, 2)
	})
}

// Guards against a service that counts a request that it did not execute, or does
// not count one whose response is lost.
func TestServiceCounts(t *testing.T) {
	tests := map[string]struct {
		faults fake.ServiceFaults
		failed bool
		runs   int
	}{
		"no fault":               {fake.ServiceFaults{}, false, 1},
		"lost response":          {fake.ServiceFaults{LoseAnswers: 1}, true, 1},
		"fails fast":             {fake.ServiceFaults{FailFast: true}, false, 0},
		"delay before execution": {fake.ServiceFaults{Before: time.Hour}, true, 0},
		"delay before response":  {fake.ServiceFaults{After: time.Hour}, true, 1},
		"silent":                 {fake.ServiceFaults{Silent: true}, true, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &fake.Service{}
			s.UpdateFaults(func(f *fake.ServiceFaults) { *f = tt.faults })
			runWithServer(t, s, func(t *testing.T, c testClient) {
				is := is.New(t)
				c.client.Timeout = time.Minute
				resp, err := c.client.Post("http://fake/orders", "", strings.NewReader("stone 7"))
				if err == nil {
					is.NoErr(resp.Body.Close())
				}
				is.Equal(err != nil, tt.failed)
				is.Equal(s.Runs("stone 7"), tt.runs)
				runs, repeated := s.Total()
				is.Equal(runs, tt.runs)
				is.Equal(repeated, 0)
			})
		})
	}
}
