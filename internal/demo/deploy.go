package demo

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
	"papayarock/io/answers"
	"papayarock/io/daemon"
	"papayarock/io/identity"
	"papayarock/io/settings"
)

// ErrDemo reports a demo that could not run.
var ErrDemo = errors.New("demo")

const (
	entries = 2
	voters  = 3
	// shutdown bounds how long a process takes to end its requests.
	shutdown = 15 * time.Second
	// validFor is how long the certificates of a demo last.
	validFor = 24 * time.Hour
	// usageWindow is short so that windows are reported while the demo runs.
	usageWindow = 3 * time.Second
	roleChange  = time.Second
)

// target is one target with its stand-in and its agent.
type target struct {
	name    fleet.TargetName
	pool    string
	engine  *fake.Engine
	service *fake.Service
	server  *http.Server
	stop    func() // of the agent
}

// deployment is everything that runs.
type deployment struct {
	dir       string
	log       hclog.Logger
	answers   answers.Answers
	authority *identity.Authority
	platform  *fake.Platform
	platURL   *url.URL
	control   []settings.ControlHost
	operators []netip.AddrPort
	entryURLs []string
	stops     map[fleet.Host]func()
	settings  map[fleet.Host]settings.Settings

	mu      sync.Mutex
	targets map[fleet.TargetName]*target
	failed  []error
}

// freePort finds a port of the loopback interface that nobody listens on.
func freePort() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // returns at once
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(ErrDemo, err.Error())
	}
	defer func() { _ = l.Close() }()
	return netip.ParseAddrPort(l.Addr().String())
}

// serve serves h on a loopback port.
func serve(h http.Handler) (*http.Server, *url.URL, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // returns at once
	if err != nil {
		return nil, nil, errors.Wrap(ErrDemo, err.Error())
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }() // ends when the server is closed
	u, err := url.Parse("http://" + l.Addr().String())
	return s, u, errors.Wrap(err, "demo")
}

// links issues a certificate for a host and says where its files are.
func (d *deployment) links(host fleet.Host, role identity.Role) (settings.Links, error) {
	now := time.Now()
	c, err := d.authority.Issue(host, []identity.Role{role}, now.Add(-time.Minute), now.Add(validFor))
	if err != nil {
		return settings.Links{}, errors.Wrap(ErrDemo, err.Error())
	}
	dir := filepath.Join(d.dir, string(host))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return settings.Links{}, errors.Wrap(ErrDemo, err.Error())
	}
	if err := c.Save(dir); err != nil {
		return settings.Links{}, errors.Wrap(ErrDemo, err.Error())
	}
	return settings.Links{
		Certificate: filepath.Join(dir, identity.CertificateFile), Key: filepath.Join(dir, identity.KeyFile),
		Authority: filepath.Join(dir, identity.AuthorityFile),
	}, nil
}

// base returns the common settings of a host.
func (d *deployment) base(host fleet.Host, place fleet.DataCentre, role identity.Role) (settings.Settings, error) {
	l, err := d.links(host, role)
	return settings.Settings{
		Host: host, Region: d.region(place), DataCentre: place,
		Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.1")}, ControlHosts: d.control, Links: l, Shutdown: shutdown,
	}, err
}

func (d *deployment) region(place fleet.DataCentre) fleet.Region {
	for _, x := range d.answers.DataCentres {
		if x.Name == place {
			return x.Region
		}
	}
	return fleet.Region(place)
}

// run starts a process.
func (d *deployment) run(s settings.Settings) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := daemon.Run(ctx, s, d.log.Named(string(s.Host))); err != nil {
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

// end stops one process gracefully.
func (d *deployment) end(host fleet.Host) {
	d.mu.Lock()
	stop := d.stops[host]
	delete(d.stops, host)
	d.mu.Unlock()
	if stop != nil {
		stop()
	}
}

func newDeployment(dir string, text []byte, log hclog.Logger) (*deployment, error) {
	a, faults := answers.Check(text)
	if len(faults) > 0 {
		return nil, errors.Wrapf(ErrDemo, "questionnaire: %v", faults[0])
	}
	now := time.Now()
	authority, err := identity.NewAuthority(now.Add(-time.Minute), now.Add(validFor))
	if err != nil {
		return nil, errors.Wrap(ErrDemo, err.Error())
	}
	d := &deployment{
		dir: dir, log: log, answers: a, authority: authority,
		stops: make(map[fleet.Host]func()), settings: make(map[fleet.Host]settings.Settings),
		targets: make(map[fleet.TargetName]*target),
	}
	d.platform = &fake.Platform{StartDelay: time.Second, OnStart: d.started, OnStop: d.stopped}
	if _, d.platURL, err = serve(d.platform); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *deployment) start() error {
	places := d.answers.DataCentres
	for i := range voters {
		link, err := freePort()
		if err != nil {
			return err
		}
		op, err := freePort()
		if err != nil {
			return err
		}
		host := fleet.Host("control-" + string(places[i%len(places)].Name))
		d.control = append(d.control, settings.ControlHost{Host: host, Address: link, Operator: op})
		d.operators = append(d.operators, op)
	}
	for i, h := range d.control {
		if err := d.startControl(h, places[i%len(places)].Name); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := d.startEntry(i, places[i%len(places)].Name); err != nil {
			return err
		}
	}
	for _, p := range d.answers.Pools {
		for place, n := range p.Targets {
			for i := range n {
				name := fmt.Sprintf("%s-%s-%d", p.Name, place, i+1)
				if err := d.startTarget(name, p, place); err != nil {
					return err
				}
				d.platform.Add(fake.PlatformTarget{Name: name, DataCentre: string(place), Pool: p.Name})
			}
		}
	}
	return nil
}

func (d *deployment) startControl(h settings.ControlHost, place fleet.DataCentre) error {
	s, err := d.base(h.Host, place, identity.Control)
	if err != nil {
		return err
	}
	s.Control = &settings.Control{
		Data: filepath.Join(d.dir, string(h.Host), "data"), Listen: h.Address, Operator: h.Operator,
		Platform: d.platURL, Usage: d.platURL, UsageWindow: usageWindow,
	}
	d.run(s)
	return nil
}

func (d *deployment) startEntry(i int, place fleet.DataCentre) error {
	s, err := d.base(fleet.Host(fmt.Sprintf("entry-%d", i+1)), place, identity.Entry)
	if err != nil {
		return err
	}
	listen, err := freePort()
	if err != nil {
		return err
	}
	s.Entry = &settings.Entry{Listen: listen}
	d.entryURLs = append(d.entryURLs, "http://"+listen.String())
	d.run(s)
	return nil
}

// startTarget starts a stand-in and the agent beside it.
func (d *deployment) startTarget(name string, p answers.Pool, place fleet.DataCentre) error {
	t := &target{name: fleet.TargetName(name), pool: p.Name}
	kind := fleet.Service
	var h http.Handler
	if p.Kind == fleet.Engine {
		kind = fleet.Engine
		t.engine = &fake.Engine{
			RoleChangeTime: roleChange, LoadTime: 200 * time.Millisecond, LoadLag: 100 * time.Millisecond,
			CacheBlocks: 1000, ChecksFencing: len(d.targets)%2 == 0,
		}
		h = t.engine
	} else {
		t.service = &fake.Service{}
		h = t.service
	}
	server, u, err := serve(h)
	if err != nil {
		return err
	}
	t.server = server
	host := fleet.Host("host-" + name)
	s, err := d.base(host, place, identity.Agent)
	if err != nil {
		return err
	}
	listen, err := freePort()
	if err != nil {
		return err
	}
	s.Agent = &settings.Agent{
		Listen: listen, Target: u, Name: t.name, Kind: kind, Pool: p.Name, Slots: 8,
		ChecksFencing: t.engine != nil && t.engine.ChecksFencing,
	}
	t.stop = func() { d.end(host) }
	d.mu.Lock()
	d.targets[t.name] = t
	d.mu.Unlock()
	d.run(s)
	return nil
}

// started is called by the platform once it has started a target.
func (d *deployment) started(t fake.PlatformTarget) {
	for _, p := range d.answers.Pools {
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
func (d *deployment) stopped(t fake.PlatformTarget) {
	d.mu.Lock()
	x := d.targets[fleet.TargetName(t.Name)]
	d.mu.Unlock()
	if x != nil {
		go x.stop()
	}
}

// stop ends everything, callers' side first.
func (d *deployment) stop() {
	d.mu.Lock()
	stops := d.stops
	d.stops = make(map[fleet.Host]func())
	d.mu.Unlock()
	var wg sync.WaitGroup
	for _, stop := range stops {
		wg.Go(stop)
	}
	wg.Wait()
	for _, t := range d.targets {
		_ = t.server.Close()
	}
}
