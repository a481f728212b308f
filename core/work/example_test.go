package work_test

import (
	"fmt"
	"time"

	"papayarock/core/work"
)

func ExampleEnd() {
	now := time.Date(2026, time.January, 1, 12, 0, 0, 0, time.UTC)
	end := work.End(now, 300*time.Millisecond, 171, 40*time.Millisecond)
	fmt.Println(end.Format("15:04:05.000"))
	// Output: 12:00:07.140
}

func ExampleLengths() {
	var l work.Lengths
	chat := work.Key{Route: "chat", Customer: "a", Prompt: 200}
	for range 100 {
		l.Observe(chat, 0, 64, 74)
	}
	e := l.Estimate(chat, 0, 0, 74)
	fmt.Printf("usual: %.0f\n", e.Mean)
	e = l.Estimate(chat, 0, 1000, 74)
	fmt.Printf("at most 1000 tokens: %.0f\n", e.Mean)
	fmt.Println("unknown route:", l.Estimate(work.Key{Route: "search"}, 0, 0, 74))
	// Output:
	// usual: 64
	// at most 1000 tokens: 14
	// unknown route: {0 0}
}

func ExamplePace() {
	var p work.Pace
	now := time.Unix(0, 0)
	for range 100 {
		now = now.Add(40 * time.Millisecond)
		p.Observe(now, 40*time.Millisecond)
	}
	fmt.Println(p.Mean(now).Round(time.Millisecond))
	// Output: 40ms
}
