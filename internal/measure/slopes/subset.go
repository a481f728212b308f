package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/route"
	"papayarock/core/summary"
	"papayarock/io/identity"
	"papayarock/io/link"
	"papayarock/io/serving"
	"papayarock/io/wire"
)

// pollWindow is the longest measurement window. It covers a poll of targets in other
// regions, which are polled once in five seconds.
const pollWindow = 5 * time.Second

// measureSubset measures the sessions, heartbeats and load polls between an entry
// without requests and the agents, by the number of targets. One agent serves as the
// agent of all targets.
func measureSubset(ctx context.Context, p parameters) (Table, error) {
	t := Table{
		Title:   "idle entry with agents of its targets; CPU of both ends; bytes both ways, above TCP",
		Columns: []string{"targets", "sessions", "B/s", "cores", "draw µs"},
	}
	for _, n := range p.targets {
		row, err := subsetRow(ctx, p, n)
		if err != nil {
			return t, err
		}
		t.add(row...)
	}
	return t, nil
}

// subsetRow returns the row of n targets.
func subsetRow(ctx context.Context, p parameters, n int) ([]float64, error) {
	x, err := startPath(ctx)
	defer x.stop()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	id, err := x.authority.Issue("entry", []identity.Role{identity.Entry}, now, now.Add(certificateTime))
	if err != nil {
		return nil, err
	}
	s := config.Snapshot{Revision: 1, Document: document(customersToday)}
	for i := range n {
		a := target(i)
		a.Host = "" // accepts any host, since one agent serves all targets
		s.Targets = append(s.Targets, a)
	}
	var count traffic
	dial := dialCounting(func(link.Address) *traffic { return &count })
	sessions := make(map[link.Address]bool)
	var mu sync.Mutex
	links := &link.Pool{Credentials: id, Roles: []identity.Role{identity.Agent}}
	links.Dial = dialTo(dial, x.agent, func(a link.Address) {
		mu.Lock()
		defer mu.Unlock()
		sessions[a] = true
	})
	defer links.Close()
	first := s.Targets[0]
	policy := serving.New(serving.Options{
		Host: "entry", Region: first.Region, DataCentre: first.DataCentre, Links: links,
		Random: rand.New(rand.NewPCG(1, 2)), Log: hclog.NewNullLogger(),
	})
	policy.ApplyConfiguration(config.NewIndex(s))
	started := time.Now()
	for range selectionRuns {
		route.SelectSubset(route.Node{Host: "entry", Region: first.Region, DataCentre: first.DataCentre}, s.Targets, route.SubsetSize)
	}
	selection := time.Since(started)
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { _ = policy.Serve(ctx) })
	defer wg.Wait()
	defer cancel()
	time.Sleep(2 * p.settle)
	bytes, idle := count.bytes(), currentUsage()
	time.Sleep(min(pollWindow, p.window+p.settle))
	cores, seconds := idle.cores(), time.Since(idle.wall).Seconds()
	mu.Lock()
	defer mu.Unlock()
	return []float64{float64(n), float64(len(sessions)), (count.bytes() - bytes) / seconds, cores, microsPerOp(selection, selectionRuns)}, nil
}

// selectionRuns is the number of target selections over which the mean is taken.
const selectionRuns = 20

// measureSummaries measures the load summaries that an entry receives once a second:
// their size, the time to sum them up from load reports, and the time to encode and
// decode them.
func measureSummaries(_ context.Context, p parameters) (Table, error) {
	t := Table{
		Title:   "summaries of load in the answer to a poll, by pools times data centres times stages",
		Columns: []string{"summaries", "bytes", "sum up µs", "encode and decode µs"},
	}
	for _, n := range []int{10, 55, 110} {
		var b summary.LoadTable
		now := time.Now()
		// Ten targets for each of n combinations, numbered by i%n, of two stages,
		// dataCentres data centres and a pool.
		for i := range 10 * n {
			a := target(i)
			a.Pool, a.Role = fmt.Sprintf("model-%d", i%n/dataCentres/2), fleet.Prefill
			if i%n%2 == 1 {
				a.Role = fleet.Decode
			}
			a.DataCentre = fleet.DataCentre(fmt.Sprintf(dataCentreFormat, i%n/2%dataCentres))
			b.RecordReport(a, route.Load{MeasuredAt: now, PrefillTokens: 12_345, DecodeTokens: 6789, PrefillSpeed: 9876, DecodeSpeed: 1234})
		}
		start := time.Now()
		var rows []summary.Row
		for range p.changes {
			rows = b.LocalSums(now)
		}
		sum := time.Since(start)
		start = time.Now()
		size := 0
		for range p.changes {
			m, err := proto.Marshal(&wire.ControlPollAnswer{Summaries: wire.EncodeSummaries(rows, now.Add(time.Second))})
			if err != nil {
				return t, err
			}
			size = len(m)
			var answer wire.ControlPollAnswer
			if err := proto.Unmarshal(m, &answer); err != nil {
				return t, err
			}
			wire.DecodeSummaries(answer.GetSummaries(), now)
		}
		t.add(float64(len(rows)), float64(size), microsPerOp(sum, p.changes), microsPerOp(time.Since(start), p.changes))
	}
	return t, nil
}
