package logsink_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"papayarock/io/logsink"
)

// A reader of the log output that stalls, such as a full pipe, must not block the
// goroutines that log: lines must be dropped and counted instead.
func TestStalledReader(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe() // a write blocks until it is read
	s := logsink.New(w)
	log := hclog.New(&hclog.LoggerOptions{Name: "papayarock", Output: s})
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for n := range 2000 {
				log.Info("request ended", "id", i*10_000+n)
			}
		})
	}
	wg.Wait()
	is.True(s.Dropped.Load() > 10_000)
	read := make(chan string)
	go func() {
		b, _ := io.ReadAll(r)
		read <- string(b)
	}()
	s.Close(10 * time.Second)
	is.NoErr(w.Close())
	got := <-read
	is.True(strings.Contains(got, "request ended"))
	is.True(strings.Contains(got, "log lines dropped: count="))
}

// A flood of info lines must not use up the budget of warnings, and the written
// volume must stay bounded however many lines are logged.
func TestBudget(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := logsink.New(&out)
	log := hclog.New(&hclog.LoggerOptions{Name: "papayarock", Output: s})
	for n := range 20_000 {
		log.Info("ordinary", "n", n)
	}
	for n := range 10 {
		log.Warn("anomaly", "n", n)
	}
	s.Close(10 * time.Second)
	is.Equal(strings.Count(out.String(), "anomaly"), 10)
	is.True(strings.Count(out.String(), "ordinary") < 20_000/2)
	is.True(out.Len() < 20*logsink.ClassBytesPerSecond)
}

func ExampleSink() {
	var out bytes.Buffer
	s := logsink.New(&out)
	_, _ = io.WriteString(s, "one line\n")
	s.Close(time.Second)
	fmt.Print(out.String())
	// Output: one line
}
