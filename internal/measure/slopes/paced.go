package slopes

import (
	"bufio"
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// tokenTimes holds the time to the first token and the intervals between tokens, as
// seen by a caller.
type tokenTimes struct {
	first, intervals samples
}

// readStream sends a request for a paced stream and returns the times of its tokens.
func (x *requestPath) readStream(ctx context.Context, base string, tokens int) (tokenTimes, error) {
	var times tokenTimes
	req, err := request(ctx, base, tokens, true)
	if err != nil {
		return times, err
	}
	last, n := time.Now(), 0 // time of the request or the latest token; number of tokens
	resp, err := x.client.Do(req)
	if err != nil {
		return times, errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !bytes.Contains(lines.Bytes(), []byte("token ")) {
			continue
		}
		now := time.Now()
		if n == 0 {
			times.first.add(now.Sub(last))
		} else {
			times.intervals.add(now.Sub(last))
		}
		last, n = now, n+1
	}
	if n != tokens {
		return times, errors.Errorf("received %d of %d tokens", n, tokens)
	}
	return times, errors.Wrap(lines.Err(), "read response")
}

// readStreams reads concurrent streams and returns the times of all their tokens and
// the CPU time per token in µs.
func (x *requestPath) readStreams(ctx context.Context, base string, streams, tokens int) (tokenTimes, float64, error) {
	var mu sync.Mutex
	var all tokenTimes
	start := currentUsage()
	_, _, err := runCallers(streams, 1, func(int, int) error {
		times, err := x.readStream(ctx, base, tokens)
		mu.Lock()
		defer mu.Unlock()
		all.first.merge(times.first)
		all.intervals.merge(times.intervals)
		return err
	})
	return all, (currentUsage().cpu - start.cpu).Seconds() * 1e6 / float64(streams*tokens), err
}

// measurePaced measures what entry and agent add to streams whose tokens come one at a
// time, as from an engine.
func measurePaced(ctx context.Context, p parameters) (Table, error) {
	t := Table{
		Title: "streams of one token each 20 ms through entry and agent; straight: the same from the stand-in",
		Columns: []string{"streams", "added CPU µs/token", "first p95 ms", "between p95 ms", "between p99 ms",
			"straight first p95 ms", "straight between p95 ms", "straight between p99 ms"},
	}
	x, err := startPath(ctx)
	defer x.stop()
	if err != nil {
		return t, err
	}
	for _, n := range p.streams {
		straight, base, err := x.readStreams(ctx, x.targetURL, n, p.pacedTokens)
		if err != nil {
			return t, err
		}
		through, cpu, err := x.readStreams(ctx, x.entryURL, n, p.pacedTokens)
		if err != nil {
			return t, err
		}
		t.add(float64(n), cpu-base, through.first.millis(95), through.intervals.millis(95), through.intervals.millis(99),
			straight.first.millis(95), straight.intervals.millis(95), straight.intervals.millis(99))
	}
	return t, nil
}
