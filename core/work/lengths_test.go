package work_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/work"
)

// Long responses would be placed like short ones, or High would be exceeded so often that
// responses are cut. The bounds were set before the first run.
func TestLengthsWithHints(t *testing.T) {
	const learned, tested = 2000, 4000
	hint := func(deviation float64) func(*rand.Rand, int) int {
		return func(rng *rand.Rand, events int) int { return randomHint(rng, events, deviation) }
	}
	for name, test := range map[string]struct {
		hint        func(rng *rand.Rand, events int) int
		maxTokens   int
		correlation float64 // least rank correlation of Mean and the true length
		highest     float64 // greatest mean of High
	}{
		"deviation 0.5":           {hint(0.5), maxEvents * stride, 0.9, 110},
		"deviation 0.75":          {hint(0.75), maxEvents * stride, 0.8, 130},
		"deviation 1.0":           {hint(1), maxEvents * stride, 0.75, 150},
		"deviation 1.0, no limit": {hint(1), 0, 0.75, 300},
		"four times too high": {func(rng *rand.Rand, n int) int {
			return 4 * randomHint(rng, n, 0.5)
		}, maxEvents * stride, 0.9, 110},
		"always the same": {func(*rand.Rand, int) int { return 1000 }, maxEvents * stride, -1, 172},
		"independent of the truth": {func(rng *rand.Rand, _ int) int {
			return randomHint(rng, randomEvents(rng), 1)
		}, maxEvents * stride, -1, 172},
		"absent":           {func(*rand.Rand, int) int { return 0 }, maxEvents * stride, -1, 172},
		"absent, no limit": {func(*rand.Rand, int) int { return 0 }, 0, -1, 190},
		"mixed": {func(rng *rand.Rand, n int) int {
			return randomHint(rng, n, 0.5) * rng.IntN(2)
		}, maxEvents * stride, 0.5, 150},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				is := is.New(t)
				rng := rand.New(rand.NewPCG(seed, 2))
				var l work.Lengths
				key := work.Key{Route: "chat", Customer: "a", Prompt: 300}
				var truth, means []float64
				var covered, high, total float64
				for i := range learned + tested {
					n := randomEvents(rng)
					hint := test.hint(rng, n)
					if i >= learned {
						e := l.Estimate(key, hint, test.maxTokens, stride)
						truth, means = append(truth, float64(n)), append(means, e.Mean)
						high += e.High / tested
						total += e.Mean / tested
						if float64(n) <= e.High {
							covered += 1.0 / tested
						}
					}
					l.Observe(key, hint, n, stride)
				}
				rank := rankCorrelation(truth, means)
				ratio := total / mean(truth)
				t.Logf("rank correlation %.3f, at most High %.3f, mean of High %.0f, mean / true mean %.3f",
					rank, covered, high, ratio)
				is.True(rank >= test.correlation)
				is.True(covered >= 0.9)
				is.True(high <= test.highest)
				is.True(ratio > 0.85 && ratio < 1.15)
			})
		}
	}
}

// Without hints, short and long kinds of responses must be told by customer and prompt, and
// a key with few responses must not be judged by these alone.
func TestLengthsByKey(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 3))
	around := func(n float64) int { return max(int(n*math.Exp(0.3*rng.NormFloat64())), 1) }
	long := work.Key{Route: "chat", Customer: "long", Prompt: 200}
	short := work.Key{Route: "chat", Customer: "short", Prompt: 200}
	screen := work.Key{Route: "chat", Customer: "long", Prompt: 6000}
	var l work.Lengths
	for range 300 {
		l.Observe(long, 0, around(100), stride)
		l.Observe(short, 0, around(8), stride)
		l.Observe(screen, 0, 2, stride)
	}
	newcomer := work.Key{Route: "chat", Customer: "new", Prompt: 200}
	l.Observe(newcomer, 0, 1, stride)
	for name, test := range map[string]struct {
		key       work.Key
		low, high float64
	}{
		"long":                 {long, 90, 115},
		"short":                {short, 7, 10},
		"screen":               {screen, 1.9, 2.5},
		"new customer":         {work.Key{Route: "chat", Customer: "other", Prompt: 200}, 45, 65},
		"new customer, screen": {work.Key{Route: "chat", Customer: "other", Prompt: 5000}, 1.9, 2.5},
		"one short response":   {newcomer, 40, 60},
		"new size":             {work.Key{Route: "chat", Customer: "other", Prompt: 1}, 30, 45},
		"new route":            {work.Key{Route: "search", Customer: "long", Prompt: 200}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := l.Estimate(test.key, 0, 0, stride)
			t.Log(e)
			is.True(e.Mean >= test.low && e.Mean <= test.high)
		})
	}
	for range 2000 {
		l.Observe(short, 0, around(40), stride)
	}
	e := l.Estimate(short, 0, 0, stride)
	is.True(e.Mean > 36 && e.Mean < 48) // follows a change of the load
}

// A new gateway knows nothing yet and must still tell short responses from long ones.
func TestLengthsFirstHint(t *testing.T) {
	is := is.New(t)
	var l work.Lengths
	key := work.Key{Route: "chat"}
	is.Equal(l.Estimate(key, 0, 7400, stride), work.Estimate{})
	is.Equal(l.Estimate(key, 7400, 0, 0), work.Estimate{}) // the hint can't be used without a stride
	for _, n := range []float64{2, 20, 200} {
		e := l.Estimate(key, int(n*stride), 0, stride)
		is.True(e.Mean > n && e.Mean < 2*n)
		is.True(e.High > 1.5*n && e.High < 4*n)
	}
}

// Callers choose hints, prompt sizes and limits. None may give an estimate that is not a
// number, above the limit, or that spoils the estimates of others.
func TestLengthsExtremes(t *testing.T) {
	is := is.New(t)
	extremes := []int{math.MinInt, -1, 0, 1, 2, 73, 74, 75, 1 << 20, math.MaxInt}
	var l work.Lengths
	for range 2 { // without and with observations
		for _, prompt := range extremes {
			for _, hint := range extremes {
				for _, maxTokens := range extremes {
					for _, stride := range extremes {
						e := l.Estimate(work.Key{Prompt: prompt}, hint, maxTokens, stride)
						is.True(e == work.Estimate{} || e.Mean >= 1 && e.High >= 1 && e.Mean < 1e9 && e.High < 1e9)
						if maxTokens > 0 && stride > 0 {
							limit := math.Ceil(float64(maxTokens) / float64(stride))
							is.True(e.Mean <= limit && e.High <= limit)
						}
					}
				}
				for _, events := range extremes {
					l.Observe(work.Key{Prompt: prompt}, hint, events, stride)
				}
			}
		}
	}

	rng := rand.New(rand.NewPCG(4, 4))
	key := work.Key{Route: "chat", Customer: "a", Prompt: 300}
	hostile := work.Key{Route: "chat", Customer: "b", Prompt: 300}
	var truth, means []float64
	for i := range 3000 {
		n := randomEvents(rng)
		hint := randomHint(rng, n, 0.5)
		if i > 1000 {
			truth = append(truth, float64(n))
			means = append(means, l.Estimate(key, hint, 0, stride).Mean)
		}
		l.Observe(key, hint, n, stride)
		if i%10 == 0 {
			l.Observe(hostile, math.MaxInt, 1, stride)
		}
	}
	rank := rankCorrelation(truth, means)
	ratio := mean(means) / mean(truth)
	t.Logf("beside a hostile customer: rank correlation %.3f, mean / true mean %.3f", rank, ratio)
	is.True(rank >= 0.85)
	is.True(ratio > 0.85 && ratio < 1.15)
}

// Callers choose prompt sizes, and the document may have many customers: the memory must
// not grow with the number of keys, nor the usual key be forgotten.
func TestLengthsMemory(t *testing.T) {
	const keys, limit = 1_000_000, 8 << 20 // bytes
	is := is.New(t)
	var l work.Lengths
	usual := work.Key{Route: "chat", Customer: "a", Prompt: 300}
	before := heap()
	for i := range keys {
		name := fmt.Sprint(i)
		l.Observe(work.Key{Route: name, Customer: fleet.Customer(name), Prompt: i}, i, i%maxEvents, stride)
		if i%100 == 0 {
			l.Observe(usual, 0, 50, stride)
		}
	}
	used := heap() - before
	t.Logf("%d KB for %d keys", used>>10, keys)
	is.True(used < limit)
	e := l.Estimate(usual, 0, 0, stride)
	is.True(e.Mean > 49 && e.Mean < 51)
	runtime.KeepAlive(&l)
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func mean(values []float64) float64 {
	var sum float64
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// rankCorrelation returns Spearman's coefficient. Equal values share their mean rank.
func rankCorrelation(x, y []float64) float64 {
	rx, ry := ranks(x), ranks(y)
	mx, my := mean(rx), mean(ry)
	var xy, xx, yy float64
	for i := range rx {
		xy += (rx[i] - mx) * (ry[i] - my)
		xx += (rx[i] - mx) * (rx[i] - mx)
		yy += (ry[i] - my) * (ry[i] - my)
	}
	return xy / math.Sqrt(max(xx*yy, math.SmallestNonzeroFloat64))
}

func ranks(values []float64) []float64 {
	order := make([]int, len(values))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(values[a], values[b]) })
	ranks := make([]float64, len(values))
	for i := 0; i < len(order); {
		j := i
		for j < len(order) && values[order[j]] == values[order[i]] {
			j++
		}
		for _, k := range order[i:j] {
			ranks[k] = float64(i+j-1) / 2
		}
		i = j
	}
	return ranks
}
