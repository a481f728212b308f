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

// ErrPromise reports a promise that the run broke.
var ErrPromise = errors.New("a promise was broken")

// Options configure a run.
type Options struct {
	Association bool // the association's questionnaire instead of the department's
	Stay        bool // keep everything running until ctx ends
	Seed        uint64
	Out         io.Writer
	Log         hclog.Logger
}

// stage is one step of the run.
type stage struct {
	text string
	do   func(ctx context.Context) error
}

// run is one demo.
type run struct {
	o       Options
	d       *deploy.Deployment
	client  *operator.Client
	keys    map[string]string
	traffic *traffic
	began   time.Time
	checks  []check
}

// check is one judgement of the run.
type check struct {
	what string
	ok   bool
	got  string
}

// Run runs the demo. It returns ErrPromise if the stand-ins counted something
// that a promise forbids.
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
	d, err := deploy.New(deploy.Options{Dir: dir, Answers: text, Entries: 2, Log: o.Log})
	if err != nil {
		return err
	}
	defer d.Stop()
	r := &run{o: o, d: d, keys: make(map[string]string), began: time.Now()}
	if err := r.stages(ctx, r.setUp()); err != nil {
		return err
	}
	if err := r.underTraffic(ctx); err != nil {
		return err
	}
	if o.Stay {
		r.stay(ctx)
	}
	return r.verdict()
}

func (r *run) stages(ctx context.Context, all []stage) error {
	for _, s := range all {
		r.say("%s", s.text)
		if err := s.do(ctx); err != nil {
			return errors.Wrap(err, s.text)
		}
	}
	return nil
}

func (r *run) say(format string, args ...any) {
	_, _ = fmt.Fprintf(r.o.Out, "%6.2fs  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *run) setUp() []stage {
	return []stage{
		{"start control replicas, entries, agents and stand-ins", func(context.Context) error { return r.d.Start() }},
		{"wait for a leader", func(ctx context.Context) (err error) {
			if r.client, err = r.d.Connect(); err != nil {
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
			return r.d.Change(ctx, r.client, operator.Change{Action: operator.ApplyAnswers, Answers: string(text)})
		}},
		{"issue a key to each customer", r.issueKeys},
		{"wait until all targets are ready", func(ctx context.Context) error {
			return r.d.Ready(ctx, r.client, len(r.d.Targets()))
		}},
	}
}

func (r *run) issueKeys(ctx context.Context) error {
	for _, c := range r.d.Answers.Customers {
		key, err := r.d.Issue(ctx, r.client, string(c.Name))
		if err != nil {
			return err
		}
		r.keys[string(c.Name)] = key
	}
	return nil
}

// underTraffic changes things while requests run.
func (r *run) underTraffic(ctx context.Context) error {
	r.traffic = newTraffic(r.d, r.keys)
	random := rand.New(rand.NewPCG(r.o.Seed, 0))
	r.say("send requests of %d customers, seed %d", len(r.keys), r.o.Seed)
	var wg sync.WaitGroup
	withdrawn := string(r.d.Answers.Customers[len(r.d.Answers.Customers)-1].Name)
	for i, c := range r.d.Answers.Customers {
		if string(c.Name) == withdrawn {
			continue
		}
		for j := range 2 {
			own := rand.New(rand.NewPCG(random.Uint64(), 0))
			entry := r.d.Entries[(i+j)%len(r.d.Entries)]
			name := string(c.Name)
			wg.Go(func() { r.traffic.run(ctx, name, j, entry, own) })
		}
	}
	err := r.stages(ctx, []stage{
		{"let the mix settle", pause(1500 * time.Millisecond)},
		{"turn to long prompts and short answers", func(context.Context) error { r.traffic.long.Store(true); return nil }},
		{"drain an engine", r.drain},
		{"replace an engine", r.replace},
		{"withdraw the key of " + withdrawn + " on an open connection", func(ctx context.Context) error { return r.withdraw(ctx, withdrawn) }},
		{"stop the leading control replica", r.stopLeader},
		{"repeat a work order whose answer was lost", r.repeatLost},
		{"turn back to short prompts and long answers", func(context.Context) error { r.traffic.long.Store(false); return nil }},
		{"let the mix settle", pause(1500 * time.Millisecond)},
	})
	r.traffic.stopped.Store(true)
	wg.Wait()
	if err != nil {
		return err
	}
	r.say("wait until the usage of the last window is reported")
	r.settleUsage(ctx)
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

// enginePool returns the first pool of engines.
func (r *run) enginePool() answers.Pool {
	for _, p := range r.d.Answers.Pools {
		if p.Model != "" {
			return p
		}
	}
	return answers.Pool{}
}

func (r *run) engine(i int) string {
	place := r.d.Answers.DataCentres[i%len(r.d.Answers.DataCentres)].Name
	return fmt.Sprintf("%s-%s-1", r.enginePool().Name, place)
}

func (r *run) drain(ctx context.Context) error {
	return r.d.Change(ctx, r.client, operator.Change{Action: operator.DrainTarget, Target: r.engine(0), ForSeconds: 60})
}

// replace orders a new engine and waits until the old one is gone.
func (r *run) replace(ctx context.Context) error {
	name := r.engine(1)
	err := r.d.Change(ctx, r.client, operator.Change{Action: operator.ReplaceTarget, Target: name, ForSeconds: 60})
	if err != nil {
		return err
	}
	return deploy.Await(ctx, "target "+name+" is not replaced", func() bool {
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

// withdraw takes a key away from a caller that keeps its connection.
func (r *run) withdraw(ctx context.Context, customer string) error {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	read := func() int {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.d.Entries[0]+r.keyedRead(), http.NoBody)
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
			r.traffic.answered++
			r.traffic.mu.Unlock()
		}
		return resp.StatusCode
	}
	before := read()
	began := time.Now()
	if err := r.d.Change(ctx, r.client, operator.Change{Action: operator.WithdrawKey, Key: "key-" + customer}); err != nil {
		return err
	}
	after := read()
	r.judge("a withdrawn key stops working once the change is in force", before == http.StatusOK && after == http.StatusUnauthorized,
		"status %d before, %d after, in force in %.2f s", before, after, time.Since(began).Seconds())
	return nil
}

// keyedRead is a path that is read with a key.
func (r *run) keyedRead() string {
	for _, w := range r.d.Answers.Work {
		if !w.Open && w.Idempotent != answers.Never && !isEngine(w) {
			return w.Path + "/1"
		}
	}
	return "/"
}

// stopLeader stops the leading replica and waits for another.
func (r *run) stopLeader(ctx context.Context) error {
	s, err := r.client.Status(ctx)
	if err != nil {
		return errors.Wrap(err, "read status")
	}
	for _, h := range r.d.Control {
		if string(h.Host) == s.Leader {
			r.d.End(h.Host)
		}
	}
	began := time.Now()
	err = deploy.Await(ctx, "no new leader", func() bool {
		n, err := r.client.Status(ctx)
		return err == nil && n.Leader != "" && n.Leader != s.Leader && n.Current
	})
	if err == nil {
		r.say("  a new leader after %.2f s", time.Since(began).Seconds())
	}
	return err
}
