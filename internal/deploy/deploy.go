package deploy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/internal/fake"
	"papayarock/internal/ports"
	"papayarock/io/answers"
	"papayarock/io/daemon"
	"papayarock/io/identity"
	"papayarock/io/settings"
)

// ErrDeploy reports a deployment that could not be prepared, started or changed.
var ErrDeploy = errors.New("deploy")

const (
	controlReplicas = 3
	// shutdownTimeout bounds how long a stopping process waits for its requests.
	shutdownTimeout = 15 * time.Second
	// certificateValidity is the validity of the certificates of all processes.
	certificateValidity = 24 * time.Hour
	// UsageWindow is the length of a usage window, short so that windows are
	// reported while the demo runs.
	UsageWindow = 3 * time.Second
	// roleChangeTime is the time that a fake engine takes to change its role.
	roleChangeTime = time.Second
)

// Options configure a deployment.
type Options struct {
	Dir           string // for certificates and data; must exist
	Questionnaire []byte // the questionnaire in TOML
	Entries       int
	Plain         bool          // links without TLS
	StepTime      time.Duration // time that an engine takes for one output token
	Log           hclog.Logger
	// Proxied puts TCP proxies in front of agents and control replicas, so that
	// tests can stall links. Each agent then announces the address of its proxy.
	Proxied bool
}

// Target is a fake engine or service. An agent on a host of its own serves it.
type Target struct {
	Name    fleet.TargetName
	Host    fleet.Host // host of the agent
	Pool    string
	Engine  *fake.Engine  // nil for a service
	Service *fake.Service // nil for an engine
	Proxy   *fake.Proxy   // proxy in front of the agent; nil without Options.Proxied
	server  *http.Server
}

// Deployment is a running deployment.
type Deployment struct {
	Answers           answers.Answers // parsed from Options.Questionnaire
	Platform          *fake.Platform
	ControlReplicas   []settings.ControlHost // control replicas with their own addresses, not those of proxies
	OperatorAddresses []netip.AddrPort
	EntryURLs         []string // base URLs

	o              Options
	authority      *identity.Authority
	platformURL    *url.URL
	platformServer *http.Server
	controlProxies map[[2]fleet.Host]*fake.Proxy // by source and destination of the links
	proxyStops     []func()                      // stop functions of all proxies

	mu        sync.Mutex
	stopFuncs map[fleet.Host]func()            // stop functions of running processes
	settings  map[fleet.Host]settings.Settings // settings of all processes ever started, for a restart
	targets   map[fleet.TargetName]*Target
	errs      []error // of processes and of targets that could not be started
}

// serve starts an HTTP server for h on a loopback port.
func serve(h http.Handler) (*http.Server, *url.URL, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // returns at once
	if err != nil {
		return nil, nil, errors.Wrap(ErrDeploy, err.Error())
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }() // ends when the server is closed
	u, err := url.Parse("http://" + l.Addr().String())
	return s, u, errors.Wrap(err, "parse address of loopback server")
}

// issueCertificate issues a certificate for a host and returns the paths of its
// files. With Options.Plain it issues none and returns settings of plain links.
func (d *Deployment) issueCertificate(host fleet.Host, role identity.Role) (settings.Links, error) {
	if d.o.Plain {
		return settings.Links{Plain: true}, nil
	}
	now := time.Now()
	c, err := d.authority.Issue(host, []identity.Role{role}, now.Add(-time.Minute), now.Add(certificateValidity))
	if err != nil {
		return settings.Links{}, errors.Wrap(ErrDeploy, err.Error())
	}
	dir := filepath.Join(d.o.Dir, string(host))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return settings.Links{}, errors.Wrap(ErrDeploy, err.Error())
	}
	if err := c.Save(dir); err != nil {
		return settings.Links{}, errors.Wrap(ErrDeploy, err.Error())
	}
	return settings.Links{
		Certificate: filepath.Join(dir, identity.CertificateFile), Key: filepath.Join(dir, identity.KeyFile),
		Authority: filepath.Join(dir, identity.AuthorityFile),
	}, nil
}

// baseSettings returns the settings that hosts of all roles have.
func (d *Deployment) baseSettings(host fleet.Host, dataCentre fleet.DataCentre, role identity.Role) (settings.Settings, error) {
	l, err := d.issueCertificate(host, role)
	return settings.Settings{
		Host: host, Region: d.region(dataCentre), DataCentre: dataCentre,
		Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.1")}, ControlHosts: d.controlHostsFor(host), Links: l, ShutdownTimeout: shutdownTimeout,
	}, err
}

func (d *Deployment) region(dataCentre fleet.DataCentre) fleet.Region {
	for _, x := range d.Answers.DataCentres {
		if x.Name == dataCentre {
			return x.Region
		}
	}
	return fleet.Region(dataCentre)
}

// startProcess runs the roles of s in a goroutine until StopProcess or Stop.
func (d *Deployment) startProcess(s settings.Settings) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := daemon.Run(ctx, s, d.o.Log.Named(string(s.Host))); err != nil {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.errs = append(d.errs, errors.Wrapf(err, "process %s", s.Host))
		}
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settings[s.Host] = s
	d.stopFuncs[s.Host] = func() {
		cancel()
		<-done
	}
}

// StopProcess stops the process of a host gracefully. It does nothing if none runs.
func (d *Deployment) StopProcess(host fleet.Host) {
	d.mu.Lock()
	stop := d.stopFuncs[host]
	delete(d.stopFuncs, host)
	d.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// New prepares a deployment. Only the fake platform runs before Start is called.
func New(o Options) (*Deployment, error) {
	a, faults := answers.Check(o.Questionnaire)
	if len(faults) > 0 {
		return nil, errors.Wrapf(ErrDeploy, "questionnaire: %v", faults[0])
	}
	now := time.Now()
	authority, err := identity.NewAuthority(now.Add(-time.Minute), now.Add(certificateValidity))
	if err != nil {
		return nil, errors.Wrap(ErrDeploy, err.Error())
	}
	d := &Deployment{
		o: o, Answers: a, authority: authority,
		stopFuncs: make(map[fleet.Host]func()), settings: make(map[fleet.Host]settings.Settings),
		targets: make(map[fleet.TargetName]*Target),
	}
	d.Platform = &fake.Platform{StartDelay: time.Second, PricePerHour: pricesByPool(d.Answers), OnStart: d.platformStarted, OnStop: d.platformStopped}
	if d.platformServer, d.platformURL, err = serve(d.Platform); err != nil {
		return nil, err
	}
	return d, nil
}

// Start starts the processes and the fake targets.
func (d *Deployment) Start() error {
	dataCentres := d.Answers.DataCentres
	for i := range controlReplicas {
		linkAddress, err := ports.Reserve()
		if err != nil {
			return err
		}
		operatorAddress, err := ports.Reserve()
		if err != nil {
			return err
		}
		host := fleet.Host(fmt.Sprintf("control-%d", i+1))
		d.ControlReplicas = append(d.ControlReplicas, settings.ControlHost{Host: host, Address: linkAddress, Operator: operatorAddress})
		d.OperatorAddresses = append(d.OperatorAddresses, operatorAddress)
	}
	if err := d.startControlProxies(); err != nil {
		return err
	}
	for i, h := range d.ControlReplicas {
		if err := d.startControl(h, dataCentres[i%len(dataCentres)].Name); err != nil {
			return err
		}
	}
	for i := range d.o.Entries {
		if err := d.startEntry(i, dataCentres[i%len(dataCentres)].Name); err != nil {
			return err
		}
	}
	for _, p := range d.Answers.Pools {
		for dataCentre, n := range p.Targets {
			for i := range n {
				name := fmt.Sprintf("%s-%s-%d", p.Name, dataCentre, i+1)
				if err := d.startTarget(name, p, dataCentre); err != nil {
					return err
				}
				d.Platform.AddRunning(fake.PlatformTarget{Name: name, DataCentre: string(dataCentre), Pool: p.Name})
			}
		}
	}
	return nil
}

func (d *Deployment) startControl(h settings.ControlHost, dataCentre fleet.DataCentre) error {
	s, err := d.baseSettings(h.Host, dataCentre, identity.Control)
	if err != nil {
		return err
	}
	s.Control = &settings.Control{
		Data: filepath.Join(d.o.Dir, string(h.Host), "data"), Listen: h.Address, Operator: h.Operator,
		Platform: d.platformURL, Usage: d.platformURL, UsageWindow: UsageWindow,
	}
	d.startProcess(s)
	return nil
}

func (d *Deployment) startEntry(i int, dataCentre fleet.DataCentre) error {
	s, err := d.baseSettings(fleet.Host(fmt.Sprintf("entry-%d", i+1)), dataCentre, identity.Entry)
	if err != nil {
		return err
	}
	listen, err := ports.Reserve()
	if err != nil {
		return err
	}
	s.Entry = &settings.Entry{Listen: listen}
	d.EntryURLs = append(d.EntryURLs, "http://"+listen.String())
	d.startProcess(s)
	return nil
}

// startTarget starts a fake engine or service and its agent.
func (d *Deployment) startTarget(name string, p answers.Pool, dataCentre fleet.DataCentre) error {
	t := &Target{Name: fleet.TargetName(name), Host: fleet.Host("host-" + name), Pool: p.Name}
	kind := fleet.Service
	var h http.Handler
	if p.Kind == fleet.Engine {
		kind = fleet.Engine
		// Every second target checks fencing, so that a deployment has engines with
		// and without the check.
		t.Engine = &fake.Engine{
			Step: d.o.StepTime, RoleChangeTime: roleChangeTime, LoadTime: 200 * time.Millisecond, LoadLag: 100 * time.Millisecond,
			CacheBlocks: 1000, ChecksFencing: len(d.Targets())%2 == 0,
		}
		h = t.Engine
	} else {
		t.Service = &fake.Service{}
		h = t.Service
	}
	server, u, err := serve(h)
	if err != nil {
		return err
	}
	t.server = server
	s, err := d.baseSettings(t.Host, dataCentre, identity.Agent)
	if err != nil {
		return err
	}
	listen, err := ports.Reserve()
	if err != nil {
		return err
	}
	s.Agent = &settings.Agent{
		Listen: listen, Target: u, Name: t.Name, Kind: kind, Pool: p.Name, Slots: 8,
		ChecksFencing: t.Engine != nil && t.Engine.ChecksFencing,
	}
	if d.o.Proxied {
		s.Addresses = []netip.Addr{nodeProxyAddress}
		if t.Proxy, err = d.startProxy(nodeProxyAddress, listen); err != nil {
			return err
		}
	}
	d.mu.Lock()
	d.targets[t.Name] = t
	d.mu.Unlock()
	d.startProcess(s)
	return nil
}

// platformStarted starts the fake target and the agent of a target that the fake
// platform has started. A target of an unknown pool is ignored.
func (d *Deployment) platformStarted(t fake.PlatformTarget) {
	for _, p := range d.Answers.Pools {
		if p.Name != t.Pool {
			continue
		}
		if err := d.startTarget(t.Name, p, fleet.DataCentre(t.DataCentre)); err != nil {
			d.mu.Lock()
			d.errs = append(d.errs, err)
			d.mu.Unlock()
		}
	}
}

// platformStopped stops the agent of a target that the fake platform has stopped.
func (d *Deployment) platformStopped(t fake.PlatformTarget) {
	d.mu.Lock()
	x := d.targets[fleet.TargetName(t.Name)]
	d.mu.Unlock()
	if x != nil {
		go d.StopProcess(x.Host)
	}
}

// Stop stops all processes: entries first, since they need agents and control to
// finish their requests, then agents, and control last.
func (d *Deployment) Stop() {
	d.mu.Lock()
	var stages [3][]func()
	for host, stop := range d.stopFuncs {
		stage := 1
		switch s := d.settings[host]; {
		case s.Entry != nil:
			stage = 0
		case s.Control != nil:
			stage = 2
		}
		stages[stage] = append(stages[stage], stop)
	}
	d.stopFuncs = make(map[fleet.Host]func())
	d.mu.Unlock()
	for _, stops := range stages {
		var wg sync.WaitGroup
		for _, stop := range stops {
			wg.Go(stop)
		}
		wg.Wait()
	}
	for _, t := range d.Targets() {
		_ = t.server.Close()
	}
	d.mu.Lock()
	proxyStops := d.proxyStops
	d.mu.Unlock()
	for _, stop := range proxyStops {
		stop()
	}
	_ = d.platformServer.Close()
}

// pricesByPool returns the hourly price of a running target of each pool.
func pricesByPool(a answers.Answers) map[string]float64 {
	out := make(map[string]float64, len(a.Pools))
	for _, p := range a.Pools {
		out[p.Name] = p.PricePerHour
	}
	return out
}
