package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"papayarock/examples"
	"papayarock/internal/deploy"
	"papayarock/io/answers"
	"papayarock/io/operator"
)

// ErrPromiseBroken is returned when the run broke a promise or a process failed.
var ErrPromiseBroken = errors.New("a promise was broken")

// Options configure a run.
type Options struct {
	Association bool // use the association's questionnaire instead of the department's
	Stay        bool // keep the deployment running until ctx ends
	Seed        uint64
	Out         io.Writer
	Log         hclog.Logger
}

// step is one step of the demo. Its text is printed when it starts.
type step struct {
	text string
	run  func(ctx context.Context) error
}

// runner is the state of one demo.
type runner struct {
	o       Options
	d       *deploy.Deployment
	client  *operator.Client
	keys    map[string]string // secrets of keys by customer
	traffic *traffic
	started time.Time
	checks  []promiseCheck
}

// promiseCheck is the result of checking one promise.
type promiseCheck struct {
	promise string
	kept    bool
	counts  string // the counts behind the result, for the table
}

// Run runs the demo and prints its progress and results to Options.Out. It returns
// ErrPromiseBroken if the checks show a broken promise or a process failed.
func Run(ctx context.Context, o Options) error {
	dir, err := os.MkdirTemp("", "papayarock-demo-")
	if err != nil {
		return errors.Wrap(deploy.ErrDeploy, err.Error())
	}
	defer func() { _ = os.RemoveAll(dir) }()
	text := examples.Terengganu
	if o.Association {
		text = examples.Association
	}
	d, err := deploy.New(deploy.Options{Dir: dir, Questionnaire: text, Entries: 2, Log: o.Log})
	if err != nil {
		return err
	}
	defer d.Stop()
	r := &runner{o: o, d: d, keys: make(map[string]string), started: time.Now()}
	if err := r.runSteps(ctx, r.setUpSteps()); err != nil {
		return err
	}
	if err := r.changeUnderTraffic(ctx); err != nil {
		return err
	}
	if o.Stay {
		r.stayUp(ctx)
	}
	return r.report()
}

func (r *runner) runSteps(ctx context.Context, all []step) error {
	for _, s := range all {
		r.printf("%s", s.text)
		if err := s.run(ctx); err != nil {
			return errors.Wrap(err, s.text)
		}
	}
	return nil
}

func (r *runner) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.o.Out, "%6.2fs  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *runner) setUpSteps() []step {
	return []step{
		{"start control replicas, entries, agents and stand-ins", func(context.Context) error { return r.d.Start() }},
		{"wait for a leader", func(ctx context.Context) (err error) {
			if r.client, err = r.d.NewOperatorClient(); err != nil {
				return err
			}
			return deploy.Await(ctx, "no leader", func() bool {
				s, err := r.client.Status(ctx)
				return err == nil && s.Leader != ""
			})
		}},
		{"apply the answers of " + r.d.Answers.Team, func(ctx context.Context) error {
			text := examples.Terengganu
			if r.o.Association {
				text = examples.Association
			}
			return r.d.SubmitChange(ctx, r.client, operator.Change{Action: operator.ApplyAnswers, Answers: string(text)})
		}},
		{"issue a key to each customer", r.issueKeys},
		{"wait until all targets are ready", func(ctx context.Context) error {
			return r.d.AwaitReady(ctx, r.client, len(r.d.Targets()))
		}},
	}
}

func (r *runner) issueKeys(ctx context.Context) error {
	for _, c := range r.d.Answers.Customers {
		key, err := r.d.IssueKey(ctx, r.client, string(c.Name))
		if err != nil {
			return err
		}
		r.keys[string(c.Name)] = key
	}
	return nil
}

// changeUnderTraffic changes targets, keys and the leader while requests run.
func (r *runner) changeUnderTraffic(ctx context.Context) error {
	r.traffic = newTraffic(r.d, r.keys)
	random := rand.New(rand.NewPCG(r.o.Seed, 0))
	r.printf("send requests of %d customers, seed %d", len(r.keys), r.o.Seed)
	var wg sync.WaitGroup
	withdrawn := string(r.d.Answers.Customers[len(r.d.Answers.Customers)-1].Name)
	for i, c := range r.d.Answers.Customers {
		if string(c.Name) == withdrawn {
			continue
		}
		for j := range 2 {
			callerRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
			entry := r.d.EntryURLs[(i+j)%len(r.d.EntryURLs)]
			name := string(c.Name)
			wg.Go(func() { r.traffic.run(ctx, name, fmt.Sprintf("%s-%d", name, j), entry, callerRandom) })
		}
	}
	err := r.runSteps(ctx, []step{
		{"let the mix settle", pause(1500 * time.Millisecond)},
		{"turn to long prompts and short answers", func(context.Context) error { r.traffic.longPrompts.Store(true); return nil }},
		{"drain an engine", r.drainEngine},
		{"replace an engine", r.replaceEngine},
		{"withdraw the key of " + withdrawn + " on an open connection", func(ctx context.Context) error { return r.withdrawKey(ctx, withdrawn) }},
		{"stop the leading control replica", r.stopLeader},
		{"repeat a work order whose answer was lost", r.repeatLostRequest},
		{"turn back to short prompts and long answers", func(context.Context) error { r.traffic.longPrompts.Store(false); return nil }},
		{"let the mix settle", pause(1500 * time.Millisecond)},
	})
	r.traffic.stopped.Store(true)
	wg.Wait()
	if err != nil {
		return err
	}
	r.printf("wait until the usage of the last window is reported")
	r.awaitUsage(ctx)
	return nil
}

func pause(d time.Duration) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(d):
			return nil
		}
	}
}

// enginePool returns the first pool that has a model, or an empty one if none has.
func (r *runner) enginePool() answers.Pool {
	for _, p := range r.d.Answers.Pools {
		if p.Model != "" {
			return p
		}
	}
	return answers.Pool{}
}

// engineName returns the name of the first target of the engine pool in the i-th data
// centre, counted from 0.
func (r *runner) engineName(i int) string {
	dataCentre := r.d.Answers.DataCentres[i%len(r.d.Answers.DataCentres)].Name
	return fmt.Sprintf("%s-%s-1", r.enginePool().Name, dataCentre)
}

func (r *runner) drainEngine(ctx context.Context) error {
	return r.d.SubmitChange(ctx, r.client, operator.Change{Action: operator.DrainTarget, Target: r.engineName(0), ForSeconds: 60})
}

// replaceEngine orders a new engine and waits until the old one is gone.
func (r *runner) replaceEngine(ctx context.Context) error {
	name := r.engineName(1)
	err := r.d.SubmitChange(ctx, r.client, operator.Change{Action: operator.ReplaceTarget, Target: name, ForSeconds: 60})
	if err != nil {
		return err
	}
	return deploy.Await(ctx, "replaced target "+name+" is not gone", func() bool {
		list, err := r.client.Targets(ctx)
		if err != nil {
			return false
		}
		for _, t := range list.Items {
			if t.Name == name {
				return t.Phase == "gone"
			}
		}
		return true
	})
}

// withdrawKey withdraws a customer's key while a caller that uses it keeps its
// connection open. It checks that the next request on this connection gets status
// 401 once the change is in force.
func (r *runner) withdrawKey(ctx context.Context, customer string) error {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	read := func() int {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.d.EntryURLs[0]+r.keyedReadPath(), http.NoBody)
		if err != nil {
			return 0
		}
		req.Header.Set("Authorization", "Bearer "+r.keys[customer])
		resp, err := client.Do(req)
		if err != nil {
			return 0
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			r.traffic.mu.Lock()
			r.traffic.answeredKeyed++
			r.traffic.mu.Unlock()
		}
		return resp.StatusCode
	}
	// A read may be refused because of the load of the demo. That says nothing about the
	// key, so it is repeated until one is served. After the change, the first one counts.
	before := 0
	if err := deploy.Await(ctx, "no read with the key is served", func() bool {
		before = read()
		return before != http.StatusTooManyRequests && before != http.StatusServiceUnavailable
	}); err != nil {
		return err
	}
	began := time.Now()
	if err := r.d.SubmitChange(ctx, r.client, operator.Change{Action: operator.WithdrawKey, Key: "key-" + customer}); err != nil {
		return err
	}
	after := read()
	r.addCheck("a withdrawn key stops working once the change is in force", before == http.StatusOK && after == http.StatusUnauthorized,
		"status %d before, %d after, in force in %.2f s", before, after, time.Since(began).Seconds())
	return nil
}

// keyedReadPath returns a path of a service that accepts reads with a key.
func (r *runner) keyedReadPath() string {
	for _, w := range r.d.Answers.Workloads {
		if !w.Open && w.Idempotent != answers.IdempotentNever && !usesEngine(w) {
			return w.Path + "/1"
		}
	}
	return "/"
}

// stopLeader stops the leading control replica and waits for a new leader.
func (r *runner) stopLeader(ctx context.Context) error {
	status, err := r.client.Status(ctx)
	if err != nil {
		return errors.Wrap(err, "read status")
	}
	for _, h := range r.d.ControlReplicas {
		if string(h.Host) == status.Leader {
			r.d.StopProcess(h.Host)
		}
	}
	began := time.Now()
	err = deploy.Await(ctx, "no new leader", func() bool {
		next, err := r.client.Status(ctx)
		return err == nil && next.Leader != "" && next.Leader != status.Leader && next.Current
	})
	if err == nil {
		r.printf("  a new leader after %.2f s", time.Since(began).Seconds())
	}
	return err
}
