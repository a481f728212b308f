package slopes

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
)

const (
	voters         = 3
	customersToday = 8
	// maxTime bounds a whole run; quickTime that of the quick form.
	maxTime   = 3 * time.Minute
	quickTime = time.Minute
)

// Options selects the form of a run.
type Options struct {
	Quick bool          // smaller sizes and shorter windows
	Limit time.Duration // of the whole run; 0 means 3 min, or 1 min if Quick
}

// plan gives the sizes and times of a run.
type plan struct {
	nodes    []int // subscribers
	joins    []int // nodes that start at once
	replicas []int // control replicas
	sizes    []int // customers
	targets  []int
	callers  []int // concurrent proposals
	commits  int   // claims of each caller
	reports  int   // of usage, of each reporter
	tokens   []int // of a streamed answer
	streams  []int
	paced    int // tokens of each paced stream
	sessions []int
	waiting  []int // requests and claims
	settle   time.Duration
	window   time.Duration
	changes  int
	requests int // for each size of answer
	picks    int
	polls    int
}

func fullPlan() plan {
	return plan{
		nodes: []int{50, 150, 420, 1520}, joins: []int{12, 38, 138}, replicas: []int{3, 5, 7}, sizes: []int{8, 1000, 11_000},
		targets: []int{10, 100, 1100}, callers: []int{1, 16, 256}, commits: 300, reports: 20, tokens: []int{1, 50, 200},
		streams: []int{50, 150, 420}, paced: 60, sessions: []int{50, 150, 420}, waiting: []int{1000, 10_000, 50_000},
		settle: time.Second, window: 4 * time.Second, changes: 8, requests: 2000, picks: 20_000, polls: 5000,
	}
}

func quickPlan() plan {
	return plan{
		nodes: []int{4, 8, 16}, joins: []int{2, 4, 8}, replicas: []int{3, 4, 5}, sizes: []int{8, 80, 400},
		targets: []int{10, 40, 160}, callers: []int{1, 4, 16}, commits: 30, reports: 4, tokens: []int{1, 10, 40},
		streams: []int{4, 8, 16}, paced: 5, sessions: []int{5, 10, 20}, waiting: []int{500, 1000, 2000},
		settle: 100 * time.Millisecond, window: 600 * time.Millisecond, changes: 1, requests: 192, picks: 500, polls: 50,
	}
}

// Measure runs all measurements and calls show with each table.
func Measure(ctx context.Context, o Options, show func(Table) error) error {
	p, limit := fullPlan(), maxTime
	if o.Quick {
		p, limit = quickPlan(), quickTime
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(o.Limit, limit))
	defer cancel()
	c, err := startCluster(ctx, voters)
	if err != nil {
		return err
	}
	defer c.stop()
	// The tables without c come first, while c gets to know its subscribers. The
	// table of targets is the last with c, since it leaves them in the state.
	for _, f := range []func(context.Context, plan) (Table, error){
		measureConfiguration, measureDelta, measurePick, measureWaiting, measureClaimMemory,
		measureEntry, measurePaced, measureLoadPolls, measureSessions, measureSubset, measureSummaries,
		c.measureAtLeader, c.measureAtRelay, c.measureCommits, c.measureUsage, c.measureJoin, c.measureTargets, measureReplicas,
	} {
		t, err := f(ctx, p)
		if err != nil {
			return errors.Wrapf(err, "measure %q", t.Title)
		}
		if err := show(t); err != nil {
			return err
		}
	}
	return nil
}

// Run measures and prints the tables to w as they come.
func Run(ctx context.Context, w io.Writer, o Options) error {
	start := used()
	if err := Measure(ctx, o, func(t Table) error { return t.Print(w) }); err != nil {
		return err
	}
	now := used()
	_, err := fmt.Fprintf(w, "took %.0f s and %.0f s of CPU\n", now.wall.Sub(start.wall).Seconds(), (now.cpu - start.cpu).Seconds())
	return errors.Wrap(err, "write result")
}
