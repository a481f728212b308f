package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"papayarock/internal/deploy"
	"papayarock/internal/fake"
	"papayarock/io/answers"
)

// repeatLost sends a non-idempotent request whose answer the service loses after
// it has run, and sends it again under its key.
func (r *run) repeatLost(ctx context.Context) error {
	var work answers.Work
	for _, w := range r.d.Answers.Work {
		if w.Idempotent == answers.Never && !isEngine(w) {
			work = w
		}
	}
	var services []*fake.Service
	for _, t := range r.d.Targets() {
		if t.Service != nil {
			services = append(services, t.Service)
		}
	}
	customer := string(r.d.Answers.Customers[0].Name)
	id := fmt.Sprintf("lost-%d", r.o.Seed)
	for _, s := range services {
		s.LoseResponseTo(id)
	}
	runs := func() (n int) {
		for _, s := range services {
			n += s.Runs(id)
		}
		return n
	}
	// A caller repeats what an entry refuses while its configuration is not
	// current, as it may be for a moment after the loss of a leader.
	err := deploy.Await(ctx, "the order does not run", func() bool {
		r.traffic.one(ctx, &http.Client{}, customer, r.d.Entries[0], work, id)
		if runs() > 0 {
			return true
		}
		time.Sleep(pauseBetween)
		return false
	})
	if err != nil {
		return errors.Wrapf(err, "last refusal %q", r.last(id).detail)
	}
	first := r.last(id)
	r.traffic.one(ctx, &http.Client{}, customer, r.d.Entries[1], work, id)
	second := r.last(id)
	r.judge("a repeated order whose answer was lost runs once", runs() == 1 && first.notRun != "true" && second.notRun != "true",
		"ran %d time(s); not-run %q, then %q", runs(), first.notRun, second.notRun)
	return nil
}

// last returns what the last request with a body was told.
func (r *run) last(body string) sentOrder {
	r.traffic.mu.Lock()
	defer r.traffic.mu.Unlock()
	for _, o := range slices.Backward(r.traffic.orders) {
		if o.body == body {
			return o
		}
	}
	return sentOrder{notRun: "missing"}
}

func (r *run) judge(what string, ok bool, format string, args ...any) {
	r.checks = append(r.checks, check{what, ok, fmt.Sprintf(format, args...)})
}

// settleUsage waits until as many requests are reported as were answered.
func (r *run) settleUsage(ctx context.Context) {
	until := time.Now().Add(4 * deploy.UsageWindow)
	for time.Now().Before(until) && ctx.Err() == nil {
		if r.reported() >= r.traffic.answered {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// reported sums the requests of customers in the reports, each window once.
func (r *run) reported() int {
	once := make(map[[2]string]uint64)
	for _, u := range r.d.Platform.Usage() {
		if u.Customer != "" {
			once[[2]string{u.Customer, u.Window}] = u.Requests
		}
	}
	n := 0
	for _, v := range once {
		n += int(v)
	}
	return n
}

// judgeCounts compares what callers saw with what the stand-ins counted.
func (r *run) judgeCounts() {
	doubled, untrue := 0, 0
	for _, o := range r.traffic.orders {
		runs := 0
		for _, t := range r.d.Targets() {
			if t.Service != nil {
				runs += t.Service.Runs(o.body)
			}
		}
		if runs > 1 {
			doubled++
		}
		if o.notRun == "true" && runs > 0 {
			untrue++
		}
	}
	cut := 0
	for _, c := range r.traffic.tallies {
		cut += c.cut
	}
	r.judge("no order or booking ran twice", doubled == 0, "%d of %d ran twice", doubled, len(r.traffic.orders))
	r.judge("each refusal that says not run is true", untrue == 0, "%d untrue", untrue)
	r.judge("no answer was cut by a planned change", cut == 0, "%d cut", cut)
	conflicts := r.d.Platform.ConflictingUsage()
	r.judge("no usage window has two figures", len(conflicts) == 0, "%d conflicts", len(conflicts))
	reported := r.reported()
	r.judge("answered requests are billed once", reported == r.traffic.answered, "%d answered, %d billed", r.traffic.answered, reported)
	starts := r.d.Platform.DuplicateStarts()
	r.judge("no order started two targets", starts == 0, "%d targets too many", starts)
	conflicting := 0
	for _, t := range r.d.Targets() {
		if t.Engine != nil {
			c := t.Engine.Counts()
			conflicting += c.OrderConflicts + c.ContentConflict + c.OldOrdersRun
		}
	}
	r.judge("no engine received conflicting orders", conflicting == 0, "%d conflicting", conflicting)
}

// verdict prints the tables and says whether a promise was broken.
func (r *run) verdict() error {
	r.judgeCounts()
	r.table()
	broken := 0
	w := tabwriter.NewWriter(r.o.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nPROMISE\tKEPT\tCOUNTED")
	for _, c := range r.checks {
		kept := "yes"
		if !c.ok {
			kept = "NO"
			broken++
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", c.what, kept, c.got)
	}
	_ = w.Flush()
	for _, f := range r.traffic.faults[:min(len(r.traffic.faults), 10)] {
		_, _ = fmt.Fprintln(r.o.Out, "fault:", f)
	}
	failed := r.d.Failed()
	for _, err := range failed {
		_, _ = fmt.Fprintln(r.o.Out, "fault:", err)
	}
	if broken > 0 || len(failed) > 0 {
		return ErrPromise
	}
	return nil
}

func (r *run) table() {
	w := tabwriter.NewWriter(r.o.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nCUSTOMER\tCLASS\tSENT\tIN PROMISE\tLATE\tNOT RUN\tOTHER REFUSAL\tCUT")
	keys := slices.SortedFunc(maps.Keys(r.traffic.tallies), func(a, b [2]string) int {
		return strings.Compare(a[0]+a[1], b[0]+b[1])
	})
	for _, k := range keys {
		c := r.traffic.tallies[k]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", k[0], k[1], c.sent, c.kept, c.late, c.notRun, c.unknown, c.cut)
	}
	_ = w.Flush()
	roles := 0
	for _, t := range r.d.Targets() {
		if t.Engine != nil {
			roles += t.Engine.Counts().RoleChanges
		}
	}
	_, _ = fmt.Fprintf(r.o.Out, "\nrole changes: %d; target orders: %d; target spending: %.4f; requests billed: %d of %d answered\n",
		roles, len(r.d.Platform.Orders()), r.d.Platform.Cost(time.Now()), r.reported(), r.traffic.answered)
}

// stay prints requests to try and waits until ctx ends.
func (r *run) stay(ctx context.Context) {
	customer := string(r.d.Answers.Customers[0].Name)
	p := func(format string, args ...any) { _, _ = io.WriteString(r.o.Out, fmt.Sprintf(format, args...)+"\n") }
	p("\nThe deployment stays up until interrupted. Try:\n")
	for _, w := range r.d.Answers.Work {
		switch {
		case isEngine(w):
			p(`curl -N -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model": "%s", "prompt": "summarise the log", "max_tokens": 8, "stream": true}' %s%s/v1/completions`,
				r.keys[customer], r.traffic.model(w), r.d.Entries[0], w.Path)
		case w.Idempotent == answers.Never:
			p(`curl -H 'Authorization: Bearer %s' -H 'Idempotency-Key: order-1' -d 'order 1' %s%s`, r.keys[customer], r.d.Entries[0], w.Path)
		case w.Open:
			p(`curl %s%s`, r.d.Entries[0], w.Path)
		}
	}
	<-ctx.Done()
}
