package slopes

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/state"
)

const (
	maxCommits      = 20_000    // maximum claims of all callers together in one row
	claimTime       = time.Hour // until claims and announced targets expire
	maxUsageRecords = 500       // in one report of an agent
	reporters       = 16        // concurrent callers in measureTargets and measureUsage
)

// measureReplicas measures the traffic, CPU time and memory of clusters of control
// replicas while nothing changes.
func measureReplicas(ctx context.Context, p parameters) (Table, error) {
	t := Table{
		Title:   "control replicas without subscribers, nothing changing; CPU of all replicas",
		Columns: []string{"replicas", "leader B/s", "cores", "MiB"},
	}
	for _, n := range p.replicas {
		before := memory()
		c, err := startCluster(ctx, n)
		if err != nil {
			return t, err
		}
		time.Sleep(p.settle)
		size := memory() - before
		bytes, start := c.leaderBytes(), currentUsage()
		time.Sleep(p.window)
		cores, seconds := start.cores(), time.Since(start.wall).Seconds()
		t.add(float64(n), (c.leaderBytes()-bytes)/seconds, cores, size/(1<<20))
		c.stop()
	}
	return t, nil
}

// newClaim returns the i-th claim of a caller in a series. The claims are spread over
// customers, since one customer may hold at most half of all claims.
func newClaim(series, caller, i int) state.Claim {
	return state.Claim{
		Key: state.ClaimKey{
			Customer: customer(i % customersToday), IdempotencyKey: fmt.Sprintf("order-%03d-%04d-%08d", series, caller, i),
		},
		Request: fleet.RequestID{byte(caller), byte(caller >> 8), byte(i), byte(i >> 8), byte(i >> 16), byte(series)},
		Target:  target(0).Name, Expires: time.Now().Add(claimTime),
	}
}

// runCallers runs concurrent callers that each run call n times, and returns the
// latencies and the rate per second. A caller stops at its first error; runCallers
// then returns an error after all callers have ended.
func runCallers(callers, n int, call func(caller, i int) error) (samples, float64, error) {
	var wg sync.WaitGroup
	var failed atomic.Pointer[error]
	each := make([]samples, callers)
	start := time.Now()
	for caller := range callers {
		wg.Go(func() {
			for i := range n {
				began := time.Now()
				if err := call(caller, i); err != nil {
					failed.Store(&err)
					return
				}
				each[caller].add(time.Since(began))
			}
		})
	}
	wg.Wait()
	seconds := time.Since(start).Seconds()
	var all samples
	for _, s := range each {
		all.merge(s)
	}
	if err := failed.Load(); err != nil {
		return all, 0, *err
	}
	return all, float64(callers*n) / seconds, nil
}

// measureCommits measures claims and settles committed by the leader of three voters
// with files synced to disk, by the number of concurrent callers.
func (c *cluster) measureCommits(ctx context.Context, p parameters) (Table, error) {
	t := Table{
		Title:   "claims, then their settles, at the leader of three voters; CPU of all three",
		Columns: []string{"callers", "claims/s", "p50 ms", "p99 ms", "settles/s", "CPU µs/commit", "leader B/commit"},
	}
	for _, callers := range p.callers {
		if err := c.commitRow(ctx, &t, callers, callers, p.commits); err != nil {
			return t, err
		}
	}
	return t, nil
}

// commitRow adds the row of a size to t: every caller commits up to maxEach claims and
// then settles them.
func (c *cluster) commitRow(ctx context.Context, t *Table, size, callers, maxEach int) error {
	leader := c.replicas[c.leader()]
	if leader == nil {
		return errNoLeader
	}
	c.claimSeries++
	series := c.claimSeries
	n := min(maxEach, maxCommits/callers)
	bytes, start := c.leaderBytes(), currentUsage()
	latency, claims, err := runCallers(callers, n, func(caller, i int) error {
		_, err := leader.Propose(ctx, newClaim(series, caller, i))
		return err
	})
	if err != nil {
		return err
	}
	_, settles, err := runCallers(callers, n, func(caller, i int) error {
		claim := newClaim(series, caller, i)
		_, err := leader.Propose(ctx, state.Settle{Key: claim.Key, Request: claim.Request, Settlement: state.SettledCompleted})
		return err
	})
	if err != nil {
		return err
	}
	commits := float64(2 * callers * n)
	cpu := (currentUsage().cpu - start.cpu).Seconds()
	t.add(float64(size), claims, latency.millis(50), latency.millis(99), settles, cpu*1e6/commits, (c.leaderBytes()-bytes)/commits)
	return nil
}

// measureTargets measures commits by the number of targets in the replicated state.
func (c *cluster) measureTargets(ctx context.Context, p parameters) (Table, error) {
	t := Table{
		Title:   "16 callers of claims and settles, by targets in the state; CPU of all three voters",
		Columns: []string{"targets", "claims/s", "p50 ms", "p99 ms", "settles/s", "CPU µs/commit", "leader B/commit"},
	}
	for _, targets := range p.targets {
		each := (targets + reporters - 1) / reporters
		_, _, err := runCallers(reporters, each, func(caller, i int) error {
			x := target(caller*each + i)
			x.Phase = fleet.Announced
			_, err := c.propose(ctx, state.Announce{Target: x, Until: time.Now().Add(claimTime), Time: time.Now()})
			return err
		})
		if err != nil {
			return t, err
		}
		if err := c.commitRow(ctx, &t, targets, reporters, p.commits); err != nil {
			return t, err
		}
	}
	return t, nil
}

// measureUsage measures commits of usage records by the number of records in a
// report.
func (c *cluster) measureUsage(ctx context.Context, p parameters) (Table, error) {
	t := Table{
		Title:   "usage records at the leader of three voters, 16 reporters; CPU of all three",
		Columns: []string{"records/report", "records/s", "reports/s", "p50 ms", "CPU µs/record", "leader B/record"},
	}
	for _, records := range []int{8, 64, maxUsageRecords} {
		if err := c.usageRow(ctx, &t, records, p.reports); err != nil {
			return t, err
		}
	}
	return t, nil
}

// usageRow adds the row of a number of records per report to t. Every reporter commits
// the given number of reports.
func (c *cluster) usageRow(ctx context.Context, t *Table, records, reportsEach int) error {
	leader := c.replicas[c.leader()]
	if leader == nil {
		return errNoLeader
	}
	bytes, start := c.leaderBytes(), currentUsage()
	latency, reports, err := runCallers(reporters, reportsEach, func(caller, i int) error {
		report := state.ReportUsage{}
		for k := range records {
			report.Records = append(report.Records, state.UsageRecord{
				ID:       state.UsageID{Node: fleet.Host(fmt.Sprintf("agent-%d-%d", records, caller)), Incarnation: incarnation, Sequence: uint64(i*records + k + 1)},
				Customer: customer(k), Route: "route-1", PromptTokens: 900, OutputTokens: 337, Ended: time.Now(),
			})
		}
		_, err := leader.Propose(ctx, report)
		return err
	})
	if err != nil {
		return err
	}
	total := float64(reporters * reportsEach * records)
	cpu := (currentUsage().cpu - start.cpu).Seconds()
	t.add(float64(records), reports*float64(records), reports, latency.millis(50), cpu*1e6/total, (c.leaderBytes()-bytes)/total)
	return nil
}
