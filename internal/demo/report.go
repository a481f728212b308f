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

// repeatLostRequest sends a non-idempotent request that the service runs without
// returning a response, repeats it through another entry under the same idempotency
// key, and checks that it runs once.
func (r *runner) repeatLostRequest(ctx context.Context) error {
	var work answers.Workload
	for _, w := range r.d.Answers.Workloads {
		if w.Idempotent == answers.IdempotentNever && !usesEngine(w) {
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
	// After the loss of a leader an entry may refuse requests until its configuration
	// is current again; a caller then repeats them.
	err := deploy.Await(ctx, "the order does not run", func() bool {
		r.traffic.send(ctx, &http.Client{}, customer, r.d.EntryURLs[0], work, id)
		if runs() > 0 {
			return true
		}
		time.Sleep(requestInterval)
		return false
	})
	if err != nil {
		return errors.Wrapf(err, "last refusal %q", r.lastNonIdempotent(id).detail)
	}
	first := r.lastNonIdempotent(id)
	r.traffic.send(ctx, &http.Client{}, customer, r.d.EntryURLs[1], work, id)
	second := r.lastNonIdempotent(id)
	r.addCheck("a repeated order whose answer was lost runs once", runs() == 1 && first.notRun != "true" && second.notRun != "true",
		"ran %d time(s); not-run %q, then %q", runs(), first.notRun, second.notRun)
	return nil
}

// lastNonIdempotent returns the last non-idempotent request with the given body.
func (r *runner) lastNonIdempotent(body string) nonIdempotentRequest {
	r.traffic.mu.Lock()
	defer r.traffic.mu.Unlock()
	for _, o := range slices.Backward(r.traffic.nonIdempotent) {
		if o.body == body {
			return o
		}
	}
	return nonIdempotentRequest{notRun: "missing"}
}

// addCheck adds the result of checking a promise. The format and its arguments give
// the counts behind the result.
func (r *runner) addCheck(promise string, ok bool, format string, args ...any) {
	r.checks = append(r.checks, promiseCheck{promise, ok, fmt.Sprintf(format, args...)})
}

// awaitUsage waits until the usage of all answered requests is reported to the
// platform, for at most four usage windows. checkFakeCounts finds what is missing
// then.
func (r *runner) awaitUsage(ctx context.Context) {
	until := time.Now().Add(4 * deploy.UsageWindow)
	for time.Now().Before(until) && ctx.Err() == nil {
		if r.reportedRequests() >= r.traffic.answeredKeyed {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// reportedRequests returns the number of requests of customers in the usage reports.
// A window that was reported repeatedly counts once.
func (r *runner) reportedRequests() int {
	byWindow := make(map[[2]string]uint64)
	for _, u := range r.d.Platform.UsageReports() {
		if u.Customer != "" {
			byWindow[[2]string{u.Customer, u.Window}] = u.Requests
		}
	}
	n := 0
	for _, v := range byWindow {
		n += int(v)
	}
	return n
}

// checkFakeCounts checks the promises by the counts of the fakes and by the outcomes
// that the callers recorded.
func (r *runner) checkFakeCounts() {
	ranTwice, falseNotRun := 0, 0
	for _, o := range r.traffic.nonIdempotent {
		runs := 0
		for _, t := range r.d.Targets() {
			if t.Service != nil {
				runs += t.Service.Runs(o.body)
			}
		}
		if runs > 1 {
			ranTwice++
		}
		if o.notRun == "true" && runs > 0 {
			falseNotRun++
		}
	}
	cut := 0
	for _, c := range r.traffic.tallies {
		cut += c.cut
	}
	r.addCheck("no order or booking ran twice", ranTwice == 0, "%d of %d ran twice", ranTwice, len(r.traffic.nonIdempotent))
	r.addCheck("each refusal that says not run is true", falseNotRun == 0, "%d untrue", falseNotRun)
	r.addCheck("no answer was cut by a planned change", cut == 0, "%d cut", cut)
	conflicts := r.d.Platform.ConflictingUsage()
	r.addCheck("no usage window has two figures", len(conflicts) == 0, "%d conflicts", len(conflicts))
	reported := r.reportedRequests()
	r.addCheck("answered requests are billed once", reported == r.traffic.answeredKeyed, "%d answered, %d billed", r.traffic.answeredKeyed, reported)
	starts := r.d.Platform.DuplicateStarts()
	r.addCheck("no order started two targets", starts == 0, "%d targets too many", starts)
	conflicting := 0
	for _, t := range r.d.Targets() {
		if t.Engine != nil {
			c := t.Engine.Counts()
			conflicting += c.OrderConflicts + c.ContentConflict + c.OldOrdersRun
		}
	}
	r.addCheck("no engine received conflicting orders", conflicting == 0, "%d conflicting", conflicting)
}

// report prints the tables and returns ErrPromiseBroken if a promise was broken or a
// process failed.
func (r *runner) report() error {
	r.checkFakeCounts()
	r.printTallies()
	broken := 0
	w := tabwriter.NewWriter(r.o.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nPROMISE\tKEPT\tCOUNTED")
	for _, c := range r.checks {
		kept := "yes"
		if !c.kept {
			kept = "NO"
			broken++
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", c.promise, kept, c.counts)
	}
	_ = w.Flush()
	for _, f := range r.traffic.failures[:min(len(r.traffic.failures), 10)] {
		_, _ = fmt.Fprintln(r.o.Out, "fault:", f)
	}
	failed := r.d.Errors()
	for _, err := range failed {
		_, _ = fmt.Fprintln(r.o.Out, "fault:", err)
	}
	if broken > 0 || len(failed) > 0 {
		return ErrPromiseBroken
	}
	return nil
}

// printTallies prints the outcomes of requests by customer and class, and the totals
// of role changes, orders, spending and usage.
func (r *runner) printTallies() {
	w := tabwriter.NewWriter(r.o.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nCUSTOMER\tCLASS\tSENT\tIN PROMISE\tLATE\tNOT RUN\tOTHER REFUSAL\tCUT")
	keys := slices.SortedFunc(maps.Keys(r.traffic.tallies), func(a, b [2]string) int {
		return strings.Compare(a[0]+a[1], b[0]+b[1])
	})
	for _, k := range keys {
		c := r.traffic.tallies[k]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", k[0], k[1], c.sent, c.inPromise, c.late, c.notRun, c.otherRefusal, c.cut)
	}
	_ = w.Flush()
	roles := 0
	for _, t := range r.d.Targets() {
		if t.Engine != nil {
			roles += t.Engine.Counts().RoleChanges
		}
	}
	_, _ = fmt.Fprintf(r.o.Out, "\nrole changes: %d; target orders: %d; target spending: %.4f; requests billed: %d of %d answered\n",
		roles, len(r.d.Platform.Orders()), r.d.Platform.Cost(time.Now()), r.reportedRequests(), r.traffic.answeredKeyed)
}

// stayUp prints example requests and waits until ctx ends.
func (r *runner) stayUp(ctx context.Context) {
	customer := string(r.d.Answers.Customers[0].Name)
	printLine := func(format string, args ...any) { _, _ = io.WriteString(r.o.Out, fmt.Sprintf(format, args...)+"\n") }
	printLine("\nThe deployment stays up until interrupted. Try:\n")
	for _, w := range r.d.Answers.Workloads {
		switch {
		case usesEngine(w):
			printLine(`curl -N -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model": "%s", "prompt": "summarise the log", "max_tokens": 8, "stream": true}' %s%s/v1/completions`,
				r.keys[customer], r.traffic.model(w), r.d.EntryURLs[0], w.Path)
		case w.Idempotent == answers.IdempotentNever:
			printLine(`curl -H 'Authorization: Bearer %s' -H 'Idempotency-Key: order-1' -d 'order 1' %s%s`, r.keys[customer], r.d.EntryURLs[0], w.Path)
		case w.Open:
			printLine(`curl %s%s`, r.d.EntryURLs[0], w.Path)
		}
	}
	<-ctx.Done()
}
