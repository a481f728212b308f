package scenario

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rogpeppe/go-internal/testscript"

	"papayarock/core/fleet"
	"papayarock/internal/deploy"
	"papayarock/io/operator"
)

// deployment is what the command deploy started.
type deployment struct {
	*deploy.Deployment
	client *operator.Client
	log    *record
}

// startDeployment is the command deploy. It returns once the answers are
// accepted and all targets are ready.
func startDeployment(ts *testscript.TestScript, neg bool, args []string) {
	const usage = "deploy [-certificates] [-entries N] ANSWERS"
	o := deploy.Options{Dir: ts.MkAbs("deployment"), Entries: 1, Plain: true, Indirect: true}
	for len(args) > 1 && strings.HasPrefix(args[0], "-") {
		switch args[0] {
		case "-certificates":
			o.Plain = false
		case "-entries":
			n, err := strconv.Atoi(args[1])
			ts.Check(err)
			o.Entries, args = n, args[1:]
		default:
			ts.Fatalf("usage: %s", usage)
		}
		args = args[1:]
	}
	positive(ts, neg, args, 1, usage)
	w := of(ts)
	if w.deployment != nil {
		ts.Fatalf("a deployment runs")
	}
	ts.Check(os.MkdirAll(o.Dir, 0o700))
	o.Answers = []byte(ts.ReadFile(args[0]))
	log := &record{}
	o.Log = hclog.New(&hclog.LoggerOptions{Output: log})
	d, err := deploy.New(o)
	ts.Check(err)
	w.deployment = &deployment{Deployment: d, log: log}
	ts.Check(d.Start())
	w.deployment.client, err = d.Connect()
	ts.Check(err)
	w.deployment.operatorFile(ts)
	w.deployment.names(ts)
	ts.Check(w.deployment.begin(o.Answers))
	for i, url := range d.Entries {
		ts.Setenv(fmt.Sprintf("entry-%d", i+1), url)
	}
}

// begin applies the answers and waits until the targets are ready.
func (d *deployment) begin(text []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), leadTimeout)
	defer cancel()
	err := deploy.Await(ctx, "no leader", func() bool {
		s, err := d.client.Status(ctx)
		return err == nil && s.Leader != ""
	})
	if err != nil {
		return err
	}
	if err := d.accept(ctx, operator.Change{Action: operator.ApplyAnswers, Answers: string(text)}); err != nil {
		return err
	}
	return d.Ready(ctx, d.client, len(d.Targets()))
}

// accept commits a change on the newest revision without waiting for it to be
// in force.
func (d *deployment) accept(ctx context.Context, c operator.Change) error {
	now, err := d.client.Configuration(ctx)
	if err != nil {
		return err
	}
	c.Base, c.ID = now.Revision, rand.Text()
	_, err = d.client.Change(ctx, c)
	return err
}

// operatorFile writes the settings of the operator's commands.
func (d *deployment) operatorFile(ts *testscript.TestScript) {
	var all []string
	for _, a := range d.Operators {
		all = append(all, strconv.Quote(a.String()))
	}
	text := "control = [" + strings.Join(all, ", ") + "]\n"
	links, err := d.OperatorFiles("operator-bo")
	ts.Check(err)
	if links.Plain {
		text += "plain = true\n"
	} else {
		text += fmt.Sprintf("certificate = %q\nkey = %q\nauthority = %q\n", links.Certificate, links.Key, links.Authority)
	}
	ts.Check(os.WriteFile(ts.MkAbs("deployment/operator.toml"), []byte(text), 0o600))
	ts.Setenv("PAPAYAROCK_OPERATOR", ts.MkAbs("deployment/operator.toml"))
}

// names makes the stand-ins and links known to the commands for fakes and
// proxies.
func (d *deployment) names(ts *testscript.TestScript) {
	w := of(ts)
	var services, engines group
	for _, t := range d.Targets() {
		var h http.Handler = t.Service
		if t.Engine != nil {
			h = t.Engine
			engines = append(engines, h)
		} else {
			services = append(services, h)
		}
		w.fakes[string(t.Name)] = fakeServer{handler: h}
		ended := make(chan struct{})
		close(ended)
		w.proxies["link-"+string(t.Name)] = &proxy{Proxy: t.Proxy, cancel: func() {}, done: ended}
	}
	w.fakes["services"] = fakeServer{handler: services}
	w.fakes["engines"] = fakeServer{handler: engines}
	w.fakes["platform"] = fakeServer{handler: d.Platform}
}

func (d *deployment) stop() {
	if d.client != nil {
		d.client.Close()
	}
	d.Stop()
}

func deployed(ts *testscript.TestScript) *deployment {
	d := of(ts).deployment
	if d == nil {
		ts.Fatalf("no deployment runs")
	}
	return d
}

// issueKey is the command "key NAME CUSTOMER": it issues a key with the id NAME,
// sets the variable NAME to the key and does not wait until it is in force.
func issueKey(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg, args, 2, "key NAME CUSTOMER")
	secret := make([]byte, 32)
	_, _ = rand.Read(secret) // crypto/rand.Read never fails
	text := base64.RawURLEncoding.EncodeToString(secret)
	sum := sha256.Sum256([]byte(text))
	ctx, cancel := context.WithTimeout(context.Background(), awaitLimit)
	defer cancel()
	err := deployed(ts).accept(ctx, operator.Change{
		Action: operator.IssueKey, Key: args[0], Customer: args[1], Digest: hex.EncodeToString(sum[:]),
	})
	ts.Check(err)
	ts.Setenv(args[0], text)
}

// leader is the command "leader NAME [NOT]": it waits for a leader that is not
// the host NOT and sets the variable NAME to it.
func leader(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg, args, 1, "leader NAME [NOT]")
	d, found := deployed(ts), ""
	ctx, cancel := context.WithTimeout(context.Background(), awaitLimit)
	defer cancel()
	ts.Check(deploy.Await(ctx, "no leader", func() bool {
		for _, a := range d.Operators {
			s, err := d.client.StatusOf(ctx, a.String())
			if err == nil && s.Leading && (len(args) == 1 || s.Host != args[1]) {
				found = s.Host
				return true
			}
		}
		return false
	}))
	ts.Setenv(args[0], found)
}

// phase is the command "phase TARGET PHASE...": it waits until a target is in
// one of the phases.
func phase(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg, args, 2, "phase TARGET PHASE...")
	d, last := deployed(ts), ""
	ctx, cancel := context.WithTimeout(context.Background(), awaitLimit)
	defer cancel()
	err := deploy.Await(ctx, "phase "+strings.Join(args[1:], " or ")+" of target "+args[0], func() bool {
		list, err := d.client.Targets(ctx)
		if err != nil {
			return false
		}
		for _, t := range list.Items {
			if t.Name == args[0] {
				last = t.Phase
			}
		}
		for _, want := range args[1:] {
			if want == last {
				return true
			}
		}
		return false
	})
	if err != nil {
		ts.Fatalf("%v; the phase is %q", err, last)
	}
}

// isolate and rejoin make the links of a control replica silent and whole.
func isolate(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg, args, 1, "isolate HOST")
	deployed(ts).Isolate(fleet.Host(args[0]), true)
}

func rejoin(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg, args, 1, "rejoin HOST")
	deployed(ts).Isolate(fleet.Host(args[0]), false)
}

// stopHost stops a process of the deployment gracefully.
func (d *deployment) stopHost(ts *testscript.TestScript, host string) {
	d.End(fleet.Host(host))
	for _, err := range d.Failed() {
		ts.Fatalf("%v", err)
	}
}

func restartHost(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg, args, 1, "again HOST")
	ts.Check(deployed(ts).Again(fleet.Host(args[0])))
}

// pause waits for a time that a fault must last.
func pause(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg, args, 1, "pause DURATION")
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}
