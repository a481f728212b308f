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
	voters         = 3 // control replicas in all measurements but measureReplicas
	customersToday = 8 // the present number, for measurements that do not vary it
	// fullTimeout and quickTimeout limit a whole run with the full and the quick
	// parameters.
	fullTimeout  = 3 * time.Minute
	quickTimeout = time.Minute
)

// Options configures a run.
type Options struct {
	Quick bool          // smaller sizes and shorter measurement windows
	Limit time.Duration // timeout of the whole run; 0 means 3 min, or 1 min if Quick
}

// parameters holds the sizes and times of a run.
type parameters struct {
	nodes           []int // subscribers that poll one control replica
	joiningNodes    []int // nodes that start at the same time
	replicas        []int // control replicas
	customers       []int
	targets         []int
	callers         []int         // concurrent callers that commit claims
	commits         int           // claims by each caller
	reports         int           // usage reports by each reporter
	tokens          []int         // in a streamed response
	streams         []int         // concurrent paced streams
	pacedTokens     int           // tokens in each paced stream
	sessions        []int         // idle link sessions
	waitingRequests []int         // waiting requests; measureClaimMemory uses them as numbers of claims
	settle          time.Duration // pause after a start, before the measurement
	window          time.Duration // duration of a measurement while nothing changes
	changes         int           // changes whose propagation is timed; also repetitions in measureSummaries
	requests        int           // requests for each number of tokens, at least
	picks           int           // routing decisions
	polls           int           // load polls by all entries together
}

func fullParameters() parameters {
	return parameters{
		nodes: []int{50, 150, 420, 1520}, joiningNodes: []int{12, 38, 138}, replicas: []int{3, 5, 7}, customers: []int{8, 1000, 11_000},
		targets: []int{10, 100, 1100}, callers: []int{1, 16, 256}, commits: 300, reports: 20, tokens: []int{1, 50, 200},
		streams: []int{50, 150, 420}, pacedTokens: 60, sessions: []int{50, 150, 420}, waitingRequests: []int{1000, 10_000, 50_000},
		settle: time.Second, window: 4 * time.Second, changes: 8, requests: 2000, picks: 20_000, polls: 5000,
	}
}

func quickParameters() parameters {
	return parameters{
		nodes: []int{4, 8, 16}, joiningNodes: []int{2, 4, 8}, replicas: []int{3, 4, 5}, customers: []int{8, 80, 400},
		targets: []int{10, 40, 160}, callers: []int{1, 4, 16}, commits: 30, reports: 4, tokens: []int{1, 10, 40},
		streams: []int{4, 8, 16}, pacedTokens: 5, sessions: []int{5, 10, 20}, waitingRequests: []int{500, 1000, 2000},
		settle: 100 * time.Millisecond, window: 600 * time.Millisecond, changes: 1, requests: 192, picks: 500, polls: 50,
	}
}

// Measure runs all measurements and calls show with the table of each when it is
// complete.
func Measure(ctx context.Context, o Options, show func(Table) error) error {
	p, limit := fullParameters(), fullTimeout
	if o.Quick {
		p, limit = quickParameters(), quickTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(o.Limit, limit))
	defer cancel()
	c, err := startCluster(ctx, voters)
	if err != nil {
		return err
	}
	defer c.stop()
	// Measurements without the cluster c come first, so that inForceDelay passes at its
	// leader meanwhile. measureTargets is the last one with c, since its targets remain
	// in the replicated state.
	for _, f := range []func(context.Context, parameters) (Table, error){
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

// Run runs all measurements and writes each table to w when it is complete.
func Run(ctx context.Context, w io.Writer, o Options) error {
	start := currentUsage()
	if err := Measure(ctx, o, func(t Table) error { return t.Print(w) }); err != nil {
		return err
	}
	now := currentUsage()
	_, err := fmt.Fprintf(w, "took %.0f s and %.0f s of CPU\n", now.wall.Sub(start.wall).Seconds(), (now.cpu - start.cpu).Seconds())
	return errors.Wrap(err, "write result")
}
