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

// ErrDeploy reports a demo that could not run.
var ErrDeploy = errors.New("deploy")

const (
	voters = 3
	// shutdown bounds how long a process takes to end its requests.
	shutdown = 15 * time.Second
	// validFor is how long the certificates of a demo last.
	validFor = 24 * time.Hour
	// UsageWindow is short so that windows are reported while the demo runs.
	UsageWindow = 3 * time.Second
	roleChange  = time.Second
)

// Options configure a deployment.
type Options struct {
	Dir     string // of certificates and data, must exist
	Answers []byte
	Entries int
	Plain   bool          // links without TLS
	Step    time.Duration // of the engines, for one output token
	Log     hclog.Logger
	// Indirect puts proxies before agents and control replicas, so that links
	// can be made silent. The address that an agent announces is its proxy's.
	Indirect bool
}

// Target is one target with its stand-in and its agent.
type Target struct {
	Name    fleet.TargetName
	Host    fleet.Host // of the agent
	Pool    string
	Engine  *fake.Engine  // nil for a service
	Service *fake.Service // nil for an engine
	Proxy   *fake.Proxy   // nil if links are direct
	server  *http.Server
}

// Deployment is everything that runs.
type Deployment struct {
	Answers   answers.Answers
	Platform  *fake.Platform
	Control   []settings.ControlHost
	Operators []netip.AddrPort
	Entries   []string // URLs

	o         Options
	authority *identity.Authority
	platURL   *url.URL
	platform  *http.Server
	between   map[[2]fleet.Host]*fake.Proxy // by control replicas, from and to
	ends      []func()                      // of proxies

	mu       sync.Mutex
	stops    map[fleet.Host]func()
	settings map[fleet.Host]settings.Settings
	targets  map[fleet.TargetName]*Target
	failed   []error
}

// serve serves h on a loopback port.
func serve(h http.Handler) (*http.Server, *url.URL, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // returns at once
	if err != nil {
		return nil, nil, errors.Wrap(ErrDeploy, err.Error())
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }() // ends when the server is closed
	u, err := url.Parse("http://" + l.Addr().String())
	return s, u, errors.Wrap(err, "deploy")
}

// links issues a certificate for a host and says where its files are.
func (d *Deployment) links(host fleet.Host, role identity.Role) (settings.Links, error) {
	if d.o.Plain {
		return settings.Links{Plain: true}, nil
	}
	now := time.Now()
	c, err := d.authority.Issue(host, []identity.Role{role}, now.Add(-time.Minute), now.Add(validFor))
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

// base returns the common settings of a host.
func (d *Deployment) base(host fleet.Host, place fleet.DataCentre, role identity.Role) (settings.Settings, error) {
	l, err := d.links(host, role)
	return settings.Settings{
		Host: host, Region: d.region(place), DataCentre: place,
		Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.1")}, ControlHosts: d.controlFor(host), Links: l, Shutdown: shutdown,
	}, err
}

func (d *Deployment) region(place fleet.DataCentre) fleet.Region {
	for _, x := range d.Answers.DataCentres {
		if x.Name == place {
			return x.Region
		}
	}
	return fleet.Region(place)
}

// run starts a process.
func (d *Deployment) run(s settings.Settings) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := daemon.Run(ctx, s, d.o.Log.Named(string(s.Host))); err != nil {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.failed = append(d.failed, errors.Wrapf(err, "process %s", s.Host))
		}
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settings[s.Host] = s
	d.stops[s.Host] = func() {
		cancel()
		<-done
	}
}

// End stops one process gracefully.
func (d *Deployment) End(host fleet.Host) {
	d.mu.Lock()
	stop := d.stops[host]
	delete(d.stops, host)
	d.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// New prepares a deployment. Nothing but the stand-in of the platform runs yet.
func New(o Options) (*Deployment, error) {
	a, faults := answers.Check(o.Answers)
	if len(faults) > 0 {
		return nil, errors.Wrapf(ErrDeploy, "questionnaire: %v", faults[0])
	}
	now := time.Now()
	authority, err := identity.NewAuthority(now.Add(-time.Minute), now.Add(validFor))
	if err != nil {
		return nil, errors.Wrap(ErrDeploy, err.Error())
	}
	d := &Deployment{
		o: o, Answers: a, authority: authority,
		stops: make(map[fleet.Host]func()), settings: make(map[fleet.Host]settings.Settings),
		targets: make(map[fleet.TargetName]*Target),
	}
	d.Platform = &fake.Platform{StartDelay: time.Second, PricePerHour: prices(d.Answers), OnStart: d.started, OnStop: d.stopped}
	if d.platform, d.platURL, err = serve(d.Platform); err != nil {
		return nil, err
	}
	return d, nil
}

// Start runs the processes and the stand-ins.
func (d *Deployment) Start() error {
	places := d.Answers.DataCentres
	for i := range voters {
		link, err := ports.Reserve()
		if err != nil {
			return err
		}
		op, err := ports.Reserve()
		if err != nil {
			return err
		}
		host := fleet.Host(fmt.Sprintf("control-%d", i+1))
		d.Control = append(d.Control, settings.ControlHost{Host: host, Address: link, Operator: op})
		d.Operators = append(d.Operators, op)
	}
	if err := d.connectControl(); err != nil {
		return err
	}
	for i, h := range d.Control {
		if err := d.startControl(h, places[i%len(places)].Name); err != nil {
			return err
		}
	}
	for i := range d.o.Entries {
		if err := d.startEntry(i, places[i%len(places)].Name); err != nil {
			return err
		}
	}
	for _, p := range d.Answers.Pools {
		for place, n := range p.Targets {
			for i := range n {
				name := fmt.Sprintf("%s-%s-%d", p.Name, place, i+1)
				if err := d.startTarget(name, p, place); err != nil {
					return err
				}
				d.Platform.AddRunning(fake.PlatformTarget{Name: name, DataCentre: string(place), Pool: p.Name})
			}
		}
	}
	return nil
}

func (d *Deployment) startControl(h settings.ControlHost, place fleet.DataCentre) error {
	s, err := d.base(h.Host, place, identity.Control)
	if err != nil {
		return err
	}
	s.Control = &settings.Control{
		Data: filepath.Join(d.o.Dir, string(h.Host), "data"), Listen: h.Address, Operator: h.Operator,
		Platform: d.platURL, Usage: d.platURL, UsageWindow: UsageWindow,
	}
	d.run(s)
	return nil
}

func (d *Deployment) startEntry(i int, place fleet.DataCentre) error {
	s, err := d.base(fleet.Host(fmt.Sprintf("entry-%d", i+1)), place, identity.Entry)
	if err != nil {
		return err
	}
	listen, err := ports.Reserve()
	if err != nil {
		return err
	}
	s.Entry = &settings.Entry{Listen: listen}
	d.Entries = append(d.Entries, "http://"+listen.String())
	d.run(s)
	return nil
}

// startTarget starts a stand-in and the agent beside it.
func (d *Deployment) startTarget(name string, p answers.Pool, place fleet.DataCentre) error {
	t := &Target{Name: fleet.TargetName(name), Host: fleet.Host("host-" + name), Pool: p.Name}
	kind := fleet.Service
	var h http.Handler
	if p.Kind == fleet.Engine {
		kind = fleet.Engine
		t.Engine = &fake.Engine{
			Step: d.o.Step, RoleChangeTime: roleChange, LoadTime: 200 * time.Millisecond, LoadLag: 100 * time.Millisecond,
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
	s, err := d.base(t.Host, place, identity.Agent)
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
	if d.o.Indirect {
		s.Addresses = []netip.Addr{indirect}
		if t.Proxy, err = d.proxy(indirect, listen); err != nil {
			return err
		}
	}
	d.mu.Lock()
	d.targets[t.Name] = t
	d.mu.Unlock()
	d.run(s)
	return nil
}

// started is called by the platform once it has started a target.
func (d *Deployment) started(t fake.PlatformTarget) {
	for _, p := range d.Answers.Pools {
		if p.Name != t.Pool {
			continue
		}
		if err := d.startTarget(t.Name, p, fleet.DataCentre(t.DataCentre)); err != nil {
			d.mu.Lock()
			d.failed = append(d.failed, err)
			d.mu.Unlock()
		}
	}
}

// stopped is called by the platform once it has stopped a target.
func (d *Deployment) stopped(t fake.PlatformTarget) {
	d.mu.Lock()
	x := d.targets[fleet.TargetName(t.Name)]
	d.mu.Unlock()
	if x != nil {
		go d.End(x.Host)
	}
}

// Stop ends everything: entries first, so that they can settle their requests
// with agents and control, and control last.
func (d *Deployment) Stop() {
	d.mu.Lock()
	var stages [3][]func()
	for host, stop := range d.stops {
		stage := 1
		switch s := d.settings[host]; {
		case s.Entry != nil:
			stage = 0
		case s.Control != nil:
			stage = 2
		}
		stages[stage] = append(stages[stage], stop)
	}
	d.stops = make(map[fleet.Host]func())
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
	ends := d.ends
	d.mu.Unlock()
	for _, end := range ends {
		end()
	}
	_ = d.platform.Close()
}

// prices returns the price of a running target by pool.
func prices(a answers.Answers) map[string]float64 {
	out := make(map[string]float64, len(a.Pools))
	for _, p := range a.Pools {
		out[p.Name] = p.PricePerHour
	}
	return out
}
