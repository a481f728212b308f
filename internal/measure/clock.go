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
	fn  func()
}

// clock runs scheduled functions in the order of virtual time. Functions with the
// same time run in the order in which they were scheduled.
type clock struct {
	now    time.Duration // since epoch
	seq    uint64
	timers timerHeap
}

type timerHeap []timer

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	return t[i].at < t[j].at || (t[i].at == t[j].at && t[i].seq < t[j].seq)
}
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)   { *t = append(*t, *x.(*timer)) }
func (t *timerHeap) Pop() any {
	n := len(*t) - 1
	x := (*t)[n]
	(*t)[n] = timer{}
	*t = (*t)[:n]
	return &x
}

// after schedules f at d from now.
func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.timers, &timer{c.now + max(d, 0), c.seq, f})
}

// every runs f at once, and again each time d has passed.
func (c *clock) every(d time.Duration, f func()) {
	f()
	c.after(d, func() { c.every(d, f) })
}

// runUntil runs the functions scheduled up to end, and those that they schedule.
func (c *clock) runUntil(end time.Duration) {
	for len(c.timers) > 0 && c.timers[0].at <= end {
		t := heap.Pop(&c.timers).(*timer)
		c.now = t.at
		t.fn()
	}
}

// time returns now as a time of day, as the packages under core take it.
func (c *clock) time() time.Time { return epoch.Add(c.now) }
