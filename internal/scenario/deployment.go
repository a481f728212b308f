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
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"papayarock/core/fleet"
	"papayarock/internal/deploy"
	"papayarock/internal/fake"
	"papayarock/io/operator"
)

// engineStep is the time that a fake engine takes for one output token. With it, a
// script has time to change the deployment while a request of a few hundred tokens
// runs.
const engineStep = 2 * time.Millisecond

// deployment is a deployment started by the command deploy.
type deployment struct {
	*deploy.Deployment
	client *operator.Client
	log    *logBuffer
}

// startDeployment implements "deploy [-certificates] [-entries N] ANSWERS". It
// returns once the answers file is applied and all targets are ready; if that
// fails, it prints the log of the deployment.
func startDeployment(ts *testscript.TestScript, neg bool, args []string) {
	const usage = "deploy [-certificates] [-entries N] ANSWERS"
	o := deploy.Options{Dir: ts.MkAbs("deployment"), Entries: 1, Plain: true, Proxied: true, StepTime: engineStep}
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
	checkUsage(ts, neg, args, 1, usage)
	st := stateOf(ts)
	if st.deployment != nil {
		ts.Fatalf("a deployment is already running")
	}
	ts.Check(os.MkdirAll(o.Dir, 0o700))
	o.Questionnaire = []byte(ts.ReadFile(args[0]))
	log := &logBuffer{}
	o.Log = hclog.New(&hclog.LoggerOptions{Output: log})
	d, err := deploy.New(o)
	ts.Check(err)
	st.deployment = &deployment{Deployment: d, log: log}
	ts.Check(d.Start())
	st.deployment.client, err = d.NewOperatorClient()
	ts.Check(err)
	st.deployment.writeOperatorSettings(ts)
	if err := st.deployment.applyAnswers(o.Questionnaire); err != nil {
		ts.Logf("%v", d.Errors())
		showLog(ts, false, []string{"deployment"})
		ts.Fatalf("%v", err)
	}
	for i, url := range d.EntryURLs {
		ts.Setenv(fmt.Sprintf("entry-%d", i+1), url)
	}
	for i, a := range d.OperatorAddresses {
		ts.Setenv(fmt.Sprintf("control-%d", i+1), a.String())
	}
}

// applyAnswers waits for a leader, applies the answers file and waits until the
// targets are ready.
func (d *deployment) applyAnswers(text []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), leadTimeout)
	defer cancel()
	err := deploy.Await(ctx, "no leader", func() bool {
		s, err := d.client.Status(ctx)
		return err == nil && s.Leader != ""
	})
	if err != nil {
		return err
	}
	if err := d.commitChange(ctx, operator.Change{Action: operator.ApplyAnswers, Answers: string(text)}); err != nil {
		return err
	}
	return d.AwaitReady(ctx, d.client, len(d.Targets()))
}

// commitChange commits a change based on the newest revision. Unlike
// deploy.SubmitChange it does not wait until the change is in force. A replica may
// report a revision older than the last change, and agents change targets
// concurrently, so a change that conflicts is retried.
func (d *deployment) commitChange(ctx context.Context, c operator.Change) error {
	for {
		now, err := d.client.Configuration(ctx)
		if err != nil {
			return err
		}
		c.Base, c.ID = now.Revision, rand.Text()
		_, err = d.client.Change(ctx, c)
		if !errors.Is(err, operator.ErrConflict) {
			return err
		}
	}
}

// writeOperatorSettings writes the settings file of the operator commands that a
// script runs. Their certificate is not that of the deployment's client.
func (d *deployment) writeOperatorSettings(ts *testscript.TestScript) {
	var all []string
	for _, a := range d.OperatorAddresses {
		all = append(all, strconv.Quote(a.String()))
	}
	text := "control = [" + strings.Join(all, ", ") + "]\n"
	links, err := d.IssueOperatorCertificate("operator-bo")
	ts.Check(err)
	if links.Plain {
		text += "plain = true\n"
	} else {
		text += fmt.Sprintf("certificate = %q\nkey = %q\nauthority = %q\n", links.Certificate, links.Key, links.Authority)
	}
	ts.Check(os.WriteFile(ts.MkAbs("deployment/operator.toml"), []byte(text), 0o600))
	ts.Setenv("PAPAYAROCK_OPERATOR", ts.MkAbs("deployment/operator.toml"))
}

// fakeByName returns the fake of a target, the platform, or the group "services" or
// "engines"; nil if there is none or no deployment.
func (d *deployment) fakeByName(name string) http.Handler {
	if d == nil {
		return nil
	}
	if name == "platform" {
		return d.Platform
	}
	var services, engines group
	for _, t := range d.Targets() {
		var h http.Handler
		if t.Engine != nil {
			h = t.Engine
			engines = append(engines, h)
		} else {
			h = t.Service
			services = append(services, h)
		}
		if name == string(t.Name) {
			return h
		}
	}
	switch name {
	case "services":
		return services
	case "engines":
		return engines
	}
	return nil
}

// proxyByName returns the proxy in front of an agent; nil if there is none or no
// deployment.
func (d *deployment) proxyByName(name string) *fake.Proxy {
	if d == nil {
		return nil
	}
	for _, t := range d.Targets() {
		if name == "link-"+string(t.Name) {
			return t.Proxy
		}
	}
	return nil
}

func (d *deployment) stop() {
	if d.client != nil {
		d.client.Close()
	}
	d.Stop()
}

// deploymentOf fails the script if it has not started a deployment.
func deploymentOf(ts *testscript.TestScript) *deployment {
	d := stateOf(ts).deployment
	if d == nil {
		ts.Fatalf("no deployment is running")
	}
	return d
}

// issueKey implements "key NAME CUSTOMER": it issues a key with the id NAME, sets
// the variable NAME to its secret and does not wait until it is in force.
func issueKey(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 2, "key NAME CUSTOMER")
	secret := make([]byte, 32)
	_, _ = rand.Read(secret) // crypto/rand.Read never fails
	text := base64.RawURLEncoding.EncodeToString(secret)
	sum := sha256.Sum256([]byte(text))
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	err := deploymentOf(ts).commitChange(ctx, operator.Change{
		Action: operator.IssueKey, Key: args[0], Customer: args[1], Digest: hex.EncodeToString(sum[:]),
	})
	ts.Check(err)
	ts.Setenv(args[0], text)
}

// issueKeys implements "keys N CUSTOMER": it issues N keys that no request uses.
func issueKeys(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 2, "keys N CUSTOMER")
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	d := deploymentOf(ts)
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	now, err := d.client.Configuration(ctx)
	ts.Check(err)
	base := now.Revision
	for i := range n {
		base = issueUnused(ts, d, base, fmt.Sprintf("unused-%d", i), args[1])
	}
}

// issueUnused issues one key as a change to the revision base, and returns the
// resulting revision. Each key has its own timeout, since hundreds of them take a
// minute on a busy machine.
func issueUnused(ts *testscript.TestScript, d *deployment, base uint64, id, customer string) (revision uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	sum := sha256.Sum256([]byte(rand.Text()))
	a, err := d.client.Change(ctx, operator.Change{
		ID: rand.Text(), Base: base,
		Action: operator.IssueKey, Key: id, Customer: customer, Digest: hex.EncodeToString(sum[:]),
	})
	ts.Check(err)
	return a.Revision
}

// leader implements "leader NAME [NOT]": it waits for a leader other than the host
// NOT and sets the variable NAME to its host and NAME_ADDRESS to its operator
// address.
func leader(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 1, "leader NAME [NOT]")
	d, found := deploymentOf(ts), ""
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	ts.Check(deploy.Await(ctx, "no leader", func() bool {
		for _, a := range d.OperatorAddresses {
			s, err := d.client.StatusOf(ctx, a.String())
			if err == nil && s.Leading && (len(args) == 1 || s.Host != args[1]) {
				found = s.Host
				ts.Setenv(args[0]+"_ADDRESS", a.String())
				return true
			}
		}
		return false
	}))
	ts.Setenv(args[0], found)
}

// phase implements "phase TARGET PHASE...": it waits until a target is in
// one of the phases.
func phase(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 2, "phase TARGET PHASE...")
	awaitTarget(ts, args[0], args[1:], func(t operator.Target) string { return t.Phase })
}

// role implements "role TARGET ROLE...": it waits until control reports one of the
// roles for an engine.
func role(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 2, "role TARGET ROLE...")
	awaitTarget(ts, args[0], args[1:], func(t operator.Target) string { return t.Role })
}

// ordered implements "ordered TARGET": it waits until control has an open order for
// a target, one that is not completed yet.
func ordered(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 1, "ordered TARGET")
	awaitTarget(ts, args[0], []string{"open"}, func(t operator.Target) string {
		if t.Order == "" {
			return "no order"
		}
		return "open"
	})
}

// awaitTarget waits until a field of a target, as reported by control, has one of
// the wanted values.
func awaitTarget(ts *testscript.TestScript, name string, wanted []string, field func(operator.Target) string) {
	d, last := deploymentOf(ts), ""
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	err := deploy.Await(ctx, "target "+name+" is not "+strings.Join(wanted, " or "), func() bool {
		list, err := d.client.Targets(ctx)
		if err != nil {
			return false
		}
		for _, t := range list.Items {
			if t.Name == name {
				last = field(t)
			}
		}
		return slices.Contains(wanted, last)
	})
	if err != nil {
		ts.Fatalf("%v; last value is %q", err, last)
	}
}

// isolate implements "isolate HOST [FROM...]": it stops forwarding on all links of a
// control replica, or only on those that the hosts FROM have opened to it. The
// connections stay open.
func isolate(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 1, "isolate HOST [FROM...]")
	d := deploymentOf(ts)
	if len(args) == 1 {
		d.SetIsolated(fleet.Host(args[0]), true)
	}
	for _, from := range args[1:] {
		ts.Check(d.StallLinks(fleet.Host(from), fleet.Host(args[0])))
	}
}

// rejoin implements "rejoin HOST": it forwards on all links of a control replica
// again.
func rejoin(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 1, "rejoin HOST")
	deploymentOf(ts).SetIsolated(fleet.Host(args[0]), false)
}

// stopHost shuts the process of a host down gracefully. It fails the script if any
// process of the deployment has ended with an error.
func (d *deployment) stopHost(ts *testscript.TestScript, host string) {
	d.StopProcess(fleet.Host(host))
	for _, err := range d.Errors() {
		ts.Fatalf("%v", err)
	}
}

// startHostAgain implements "again HOST": it starts the process of a host that was
// shut down.
func startHostAgain(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 1, "again HOST")
	ts.Check(deploymentOf(ts).RestartProcess(fleet.Host(args[0])))
}

// pause implements "pause DURATION": it sleeps.
func pause(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 1, "pause DURATION")
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}
