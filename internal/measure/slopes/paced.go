package slopes

import (
	"bufio"
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// gaps are what a caller sees of a stream.
type gaps struct {
	first, between samples
}

// follow reads a paced stream and notes the times of its tokens.
func (x *path) follow(ctx context.Context, base string, tokens int) (gaps, error) {
	var g gaps
	req, err := request(ctx, base, tokens, true)
	if err != nil {
		return g, err
	}
	last, n := time.Now(), 0
	resp, err := x.client.Do(req)
	if err != nil {
		return g, errors.Wrap(err, "request")
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !bytes.Contains(lines.Bytes(), []byte("token ")) {
			continue
		}
		now := time.Now()
		if n == 0 {
			g.first.add(now.Sub(last))
		} else {
			g.between.add(now.Sub(last))
		}
		last, n = now, n+1
	}
	if n != tokens {
		return g, errors.Errorf("%d of %d tokens arrived", n, tokens)
	}
	return g, errors.Wrap(lines.Err(), "answer")
}

// followAll follows that many streams at once and returns the CPU time in µs
// per token as well.
func (x *path) followAll(ctx context.Context, base string, streams, tokens int) (gaps, float64, error) {
	var mu sync.Mutex
	var all gaps
	start := used()
	_, _, err := flood(streams, 1, func(int, int) error {
		g, err := x.follow(ctx, base, tokens)
		mu.Lock()
		defer mu.Unlock()
		all.first.merge(g.first)
		all.between.merge(g.between)
		return err
	})
	return all, (used().cpu - start.cpu).Seconds() * 1e6 / float64(streams*tokens), err
}

// measurePaced measures streams whose tokens come one at a time, as those of an
// engine do.
func measurePaced(ctx context.Context, p plan) (Table, error) {
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
		straight, base, err := x.followAll(ctx, x.direct, n, p.paced)
		if err != nil {
			return t, err
		}
		through, cpu, err := x.followAll(ctx, x.through, n, p.paced)
		if err != nil {
			return t, err
		}
		t.add(float64(n), cpu-base, through.first.millis(95), through.between.millis(95), through.between.millis(99),
			straight.first.millis(95), straight.between.millis(95), straight.between.millis(99))
	}
	return t, nil
}
