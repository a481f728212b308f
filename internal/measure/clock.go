package measure

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type timer struct {
	at  time.Duration
	seq uint64
	run func()
}

// clock runs functions in the order of virtual time.
type clock struct {
	now    time.Duration
	seq    uint64
	timers timers
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || (t[i].at == t[j].at && t[i].seq < t[j].seq)
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, *x.(*timer)) }
func (t *timers) Pop() any {
	n := len(*t) - 1
	x := (*t)[n]
	(*t)[n] = timer{}
	*t = (*t)[:n]
	return &x
}

// in runs f after d.
func (c *clock) in(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.timers, &timer{c.now + max(d, 0), c.seq, f})
}

// every runs f now and then each d.
func (c *clock) every(d time.Duration, f func()) {
	f()
	c.in(d, func() { c.every(d, f) })
}

func (c *clock) runUntil(end time.Duration) {
	for len(c.timers) > 0 && c.timers[0].at <= end {
		t := heap.Pop(&c.timers).(*timer)
		c.now = t.at
		t.run()
	}
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }
