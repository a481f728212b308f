package faulttest_test

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/subscribe"
)

// submitTimeout bounds one submission, including all attempts.
const submitTimeout = 40 * time.Second

// claimPairs is the number of pairs of requests that claim keys concurrently.
const claimPairs = 3

// load submits changes, claims and usage reports, and records their results for a
// comparison with the final state.
type load struct {
	cluster   *cluster
	a, b      *subscribe.Client // two nodes; each submission is made through both
	stop      chan struct{}
	done      sync.WaitGroup
	completed atomic.Int64 // number of submissions that got their expected result

	revision uint64 // after the last change; used only by the loop that submits changes

	mu      sync.Mutex
	keys    map[string]bool               // whether a key must be present
	changes map[string]state.ChangeResult // results by change id
	holders map[string]state.ClaimResult  // granted claims by key
	records uint64                        // reported usage records
	tokens  uint64                        // sum of the prompt tokens in them
}

// newLoad commits a first configuration and returns a load that submits nothing else
// yet.
func newLoad(cl *cluster, hosts ...fleet.Host) *load {
	cl.t.Helper()
	l := &load{
		cluster: cl, a: cl.client("e1", 0, hosts...), b: cl.client("e2", 1, hosts...), stop: make(chan struct{}),
		keys: make(map[string]bool), changes: make(map[string]state.ChangeResult), holders: make(map[string]state.ClaimResult),
	}
	ok := l.change("first", state.ReplaceDocument{Document: config.Document{
		Customers: []config.Customer{{Name: "klang", Weight: 1}},
	}})
	if !ok {
		cl.t.FailNow()
	}
	return l
}

// startLoad submits changes, claims and usage reports until finish is called.
func startLoad(cl *cluster, hosts ...fleet.Host) *load {
	cl.t.Helper()
	l := newLoad(cl, hosts...)
	l.repeat(l.issueKey)
	for n := range claimPairs {
		l.repeat(func(i int) bool { return l.claim(i*claimPairs + n) })
	}
	l.repeat(l.reportUsage)
	return l
}

// issueKey issues the i-th key, and withdraws it if i is a multiple of 3.
func (l *load) issueKey(i int) bool {
	key := fmt.Sprintf("k%d", i)
	ok := l.change("issue-"+key, state.IssueKey{ID: key, Digest: sha256.Sum256([]byte(key)), Customer: "klang"})
	if ok && i%3 == 0 {
		return l.change("withdraw-"+key, state.WithdrawKey{ID: key})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys[key] = ok
	return ok
}

// lastKey returns an action that issues one more key, for use after finish.
func (l *load) lastKey() state.Action {
	return state.IssueKey{ID: "last", Digest: sha256.Sum256([]byte("last")), Customer: "klang"}
}

// repeat calls f in the background with the numbers from 1 on, until the load is
// finished or f returns false.
func (l *load) repeat(f func(i int) bool) {
	l.done.Go(func() {
		for i := 1; f(i); i++ {
			select {
			case <-l.stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
}

// finish stops the load and waits for its pending submissions.
func (l *load) finish() {
	close(l.stop)
	l.done.Wait()
}

// change submits a change through one node and then again through the other. The
// change must be accepted, and the repetition must get the same result. change reports
// whether this was so.
func (l *load) change(id string, a state.Action) bool {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	c := state.Change{ID: id, Base: l.revision, Operator: "ana", Time: time.Now(), Action: a}
	first, err := l.a.Change(ctx, c)
	if err != nil || first.Outcome != state.ChangeAccepted {
		l.cluster.t.Errorf("change %q: got %+v, error %v, want it accepted", id, first, err)
		return false
	}
	l.completed.Add(1)
	l.mu.Lock()
	l.changes[id] = first
	l.mu.Unlock()
	repeated, err := l.b.Change(ctx, c)
	if err != nil || repeated != first {
		l.cluster.t.Errorf("change %q repeated: got %+v, error %v, want %+v", id, repeated, err, first)
		return false
	}
	l.revision = first.Revision
	return true
}

// claim submits claims of two requests for one key concurrently. Exactly one must be
// granted.
func (l *load) claim(i int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	key := fmt.Sprintf("claim-%d", i)
	var results [2]state.ClaimResult
	var errs [2]error
	requests := [2]fleet.RequestID{requestID(uint64(2 * i)), requestID(uint64(2*i + 1))}
	var wg sync.WaitGroup
	for n, c := range []*subscribe.Client{l.a, l.b} {
		wg.Go(func() {
			results[n], errs[n] = c.Claim(ctx, state.Claim{
				Key: state.ClaimKey{Customer: "klang", IdempotencyKey: key}, Request: requests[n], Body: sha256.Sum256([]byte(key)),
				Target: "t1", Expires: time.Now().Add(time.Hour),
			})
		})
	}
	wg.Wait()
	granted := 0
	for n, x := range results {
		if errs[n] != nil {
			l.cluster.t.Errorf("claim %q by request %x: %v", key, requests[n], errs[n])
			return false
		}
		if x.Outcome == state.ClaimGranted {
			granted++
			l.mu.Lock()
			l.holders[key] = state.ClaimResult{Index: x.Index, Holder: requests[n]}
			l.mu.Unlock()
		}
	}
	if granted != 1 {
		l.cluster.t.Errorf("claim %q was granted %d times, want once: %+v", key, granted, results)
		return false
	}
	l.completed.Add(1)
	return true
}

// requestID returns the request id for n, which is not zero.
func requestID(n uint64) fleet.RequestID {
	var id fleet.RequestID
	binary.BigEndian.PutUint64(id[8:], n+1)
	return id
}

// reportUsage reports the i-th batch of usage records through both nodes, as an agent
// and an entry do for a request. Each record must be counted once.
func (l *load) reportUsage(i int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	const batch = 5
	var records []state.UsageRecord
	var tokens uint64
	for n := range uint64(batch) {
		sequence := uint64(i-1)*batch + n + 1
		tokens += sequence
		records = append(records, state.UsageRecord{
			ID: state.UsageID{Node: "a1", Incarnation: 1, Sequence: sequence}, Customer: "klang", Route: "chat",
			PromptTokens: sequence, Ended: time.Now(),
		})
	}
	errs := make(chan error, 2)
	go func() { errs <- l.a.ReportUsage(ctx, records) }()
	go func() { errs <- l.b.ReportUsage(ctx, records) }()
	for range 2 {
		if err := <-errs; err != nil {
			l.cluster.t.Errorf("report usage batch %d: %v", i, err)
			return false
		}
	}
	l.completed.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records += batch
	l.tokens += tokens
	return true
}

// check compares the results that the clients received with the state of the
// replicas and with the usage reports that reached the platform.
func (l *load) check(image *state.Snapshot) {
	l.cluster.t.Helper()
	l.checkChanges(image)
	stored := make(map[string]state.ClaimRecord)
	for _, c := range image.Claims {
		stored[c.Claim.Key.IdempotencyKey] = c
	}
	for key, want := range l.holders {
		if c := stored[key]; c.Claim.Request != want.Holder || c.Index != want.Index {
			l.cluster.t.Errorf("claim %q is held by %x since index %d, but was granted to %x at index %d", key, c.Claim.Request, c.Index, want.Holder, want.Index)
		}
	}
	l.checkUsage(image)
	l.cluster.t.Logf("%d changes, %d claims, %d usage records, %d usage reports",
		len(l.changes), len(l.holders), l.records, len(l.cluster.platform.UsageReports()))
}

// checkChanges requires that the received results of changes are stored, and that
// exactly the keys are present that were issued and not withdrawn.
func (l *load) checkChanges(image *state.Snapshot) {
	stored := make(map[string]state.ChangeResult)
	for _, c := range image.Changes {
		stored[c.ID] = c.Result
	}
	for id, want := range l.changes {
		if stored[id] != want {
			l.cluster.t.Errorf("change %q: received result %+v, stored result %+v", id, want, stored[id])
		}
	}
	present := make(map[string]bool)
	for _, k := range image.Config.Keys {
		present[k.ID] = true
		if !l.keys[k.ID] {
			l.cluster.t.Errorf("key %q is present, but was withdrawn or never accepted", k.ID)
		}
	}
	for id := range l.keys {
		if !present[id] {
			l.cluster.t.Errorf("accepted key %q is missing", id)
		}
	}
}

// checkUsage requires that the usage in the state and the reports to the platform
// agree, and that together they count each record once.
func (l *load) checkUsage(image *state.Snapshot) {
	type figures struct{ requests, tokens uint64 }
	windows := make(map[string]figures)
	for _, w := range append([]state.UsageWindow{image.Usage.Open}, image.Usage.Sealed...) {
		if w.Acknowledged {
			continue // the state drops the figures of a window that the platform has
		}
		var f figures
		for _, x := range w.Figures {
			f.requests += x.Requests
			f.tokens += x.PromptTokens
		}
		windows[fmt.Sprint(w.Number)] = f
	}
	if conflicts := l.cluster.platform.ConflictingUsage(); len(conflicts) > 0 {
		l.cluster.t.Errorf("conflicting reports of one usage window: %+v", conflicts)
	}
	for _, u := range l.cluster.platform.UsageReports() {
		f := figures{u.Requests, u.PromptTokens}
		if stored, ok := windows[u.Window]; ok && stored != f {
			l.cluster.t.Errorf("usage window %s was reported as %+v but is stored as %+v", u.Window, f, stored)
		}
		windows[u.Window] = f
	}
	var sum figures
	for _, f := range windows {
		sum.requests += f.requests
		sum.tokens += f.tokens
	}
	if sum.requests != l.records || sum.tokens != l.tokens {
		l.cluster.t.Errorf("usage of %d records and %d tokens was counted as %+v", l.records, l.tokens, sum)
	}
}
