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

// load submits changes, claims and usage reports and records their results.
type load struct {
	cluster *cluster
	a, b    *subscribe.Client // two nodes, each repeating the other's submissions
	stop    chan struct{}
	done    sync.WaitGroup
	answers atomic.Int64 // number of answered submissions

	revision uint64 // after the last change; used only by the loop that submits changes

	mu      sync.Mutex
	keys    map[string]bool // expected keys
	changes map[string]state.ChangeResult
	holders map[string]state.ClaimResult
	records uint64
	tokens  uint64
}

// newLoad returns a load whose first configuration is committed.
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
	l.repeat(l.issue)
	for n := range claimPairs {
		l.repeat(func(i int) bool { return l.claim(i*claimPairs + n) })
	}
	l.repeat(l.report)
	return l
}

// issue issues a key, and withdraws every third one.
func (l *load) issue(i int) bool {
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

// nextKey returns an action that issues one more key, for use after
// finish.
func (l *load) nextKey() state.Action {
	return state.IssueKey{ID: "last", Digest: sha256.Sum256([]byte("last")), Customer: "klang"}
}

// repeat calls f with ascending numbers until the load is stopped or f fails.
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

// change submits a change through one node and again through the other. Both must
// get the same result.
func (l *load) change(id string, a state.Action) bool {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	c := state.Change{ID: id, Base: l.revision, Operator: "ana", Time: time.Now(), Action: a}
	first, err := l.a.Change(ctx, c)
	if err != nil || first.Outcome != state.ChangeAccepted {
		l.cluster.t.Errorf("change %q: %+v, %v", id, first, err)
		return false
	}
	l.answers.Add(1)
	l.mu.Lock()
	l.changes[id] = first
	l.mu.Unlock()
	again, err := l.b.Change(ctx, c)
	if err != nil || again != first {
		l.cluster.t.Errorf("change %q repeated: got %+v, %v, want %+v", id, again, err, first)
		return false
	}
	l.revision = first.Revision
	return true
}

// claim has two requests claim one key concurrently. Exactly one must be granted.
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
			l.cluster.t.Errorf("claim %q: %v", key, errs[n])
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
	l.answers.Add(1)
	return true
}

func requestID(n uint64) fleet.RequestID {
	var id fleet.RequestID
	binary.BigEndian.PutUint64(id[8:], n+1)
	return id
}

// report sends the same usage records through both nodes, as an agent and an entry
// do.
func (l *load) report(i int) bool {
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
			l.cluster.t.Errorf("usage batch %d: %v", i, err)
			return false
		}
	}
	l.answers.Add(1)
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
	held := make(map[string]state.ClaimRecord)
	for _, c := range image.Claims {
		held[c.Claim.Key.IdempotencyKey] = c
	}
	for key, want := range l.holders {
		if c := held[key]; c.Claim.Request != want.Holder || c.Index != want.Index {
			l.cluster.t.Errorf("claim %q is held by %x since index %d, but was granted to %x at index %d", key, c.Claim.Request, c.Index, want.Holder, want.Index)
		}
	}
	l.checkUsage(image)
	l.cluster.t.Logf("%d changes, %d claims, %d usage records, %d usage reports",
		len(l.changes), len(l.holders), l.records, len(l.cluster.platform.Usage()))
}

func (l *load) checkChanges(image *state.Snapshot) {
	kept := make(map[string]state.ChangeResult)
	for _, c := range image.Changes {
		kept[c.ID] = c.Result
	}
	for id, want := range l.changes {
		if kept[id] != want {
			l.cluster.t.Errorf("change %q: received result %+v, stored result %+v", id, want, kept[id])
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

func (l *load) checkUsage(image *state.Snapshot) {
	type figures struct{ requests, tokens uint64 }
	windows := make(map[string]figures)
	for _, w := range append([]state.UsageWindow{image.Usage.Open}, image.Usage.Sealed...) {
		if w.Acknowledged {
			continue // its figures are dropped, since the platform has them
		}
		var f figures
		for _, x := range w.Figures {
			f.requests += x.Requests
			f.tokens += x.PromptTokens
		}
		windows[fmt.Sprint(w.Number)] = f
	}
	if bad := l.cluster.platform.ConflictingUsage(); len(bad) > 0 {
		l.cluster.t.Errorf("conflicting reports of one usage window: %+v", bad)
	}
	for _, u := range l.cluster.platform.Usage() {
		f := figures{u.Requests, u.PromptTokens}
		if kept, ok := windows[u.Window]; ok && kept != f {
			l.cluster.t.Errorf("usage window %s was reported as %+v but is stored as %+v", u.Window, f, kept)
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
