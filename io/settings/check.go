package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"papayarock/core/fleet"
	"papayarock/internal/tomlfile"
)

// Defaults and bounds of the settings. Those of the gateway and the registry are
// in discovery.go.
const (
	defaultMaxHeaderBytes          = 16 << 10
	defaultMaxBodyBytes            = 8 << 20
	defaultHeaderTimeout           = 10 * time.Second
	defaultIdleTimeout             = 2 * time.Minute
	defaultMaxConnections          = 4096
	defaultMaxStreamsPerConnection = 256
	defaultShutdownTimeout         = 30 * time.Second
	defaultSlots                   = 8
	defaultUsageWindow             = time.Minute

	maxHeaderBytes = 1 << 20
	maxBodyBytes   = 8 << 20 // the agent rejects larger bodies
	maxConnections = 1 << 20
	maxSlots       = 1 << 16
	minDuration    = 10 * time.Millisecond
	maxDuration    = time.Hour
	maxUsageWindow = 24 * time.Hour
	minDescriptors = 256 // a process of a small deployment needs about 100 beside its clients
	maxDescriptors = 1 << 20
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9.-]{0,62}$`)

// Check parses and validates settings. It returns all faults, each with its key,
// its line and a suggested correction. The settings are valid only if there are
// no faults.
func Check(text []byte) (Settings, tomlfile.Faults) {
	file := tomlfile.Parse(text)
	if faults := file.Faults(); len(faults) > 0 {
		return Settings{}, faults
	}
	root := file.Root()
	r := &reader{root: root}
	r.readCommon()
	r.readEntry()
	r.readAgent()
	r.readControl()
	r.readPeers()
	r.readGateway()
	r.readRegistry()
	r.checkConsistency()
	root.ReportUnknownKeys()
	return r.settings, file.Faults()
}

// reader collects the settings while tables are read. It also collects the listen
// addresses, to detect two that conflict.
type reader struct {
	root      *tomlfile.Table
	settings  Settings
	listeners []listener
}

// listener is a listen address and the key that sets it.
type listener struct {
	table   *tomlfile.Table
	key     string
	address netip.AddrPort
}

func (r *reader) readCommon() {
	s, t := &r.settings, r.root
	s.Host = fleet.Host(name(t, "host", "write the name of this host"))
	s.Region = fleet.Region(name(t, "region", "write the region of this host"))
	s.DataCentre = fleet.DataCentre(name(t, "data-centre", "write the data centre of this host"))
	s.Addresses = r.readAddresses()
	s.ControlHosts = r.readControlHosts()
	s.Relays = readHosts(r.root, "relays", s.ControlHosts)
	s.Status = r.readStatus()
	if t.Has("metrics") {
		s.Metrics = r.listen(t, "metrics")
	}
	s.Links = r.readLinks()
	s.LogLevel = tomlfile.Choice(t, "log-level", hclog.Info, map[string]hclog.Level{
		"trace": hclog.Trace, "debug": hclog.Debug, "info": hclog.Info, "warn": hclog.Warn, "error": hclog.Error,
	})
	if t.Has("max-descriptors") {
		s.MaxDescriptors = int(t.Int("max-descriptors", minDescriptors, maxDescriptors, 0))
	}
	s.ShutdownTimeout = t.Duration("shutdown-deadline", minDuration, maxDuration, defaultShutdownTimeout)
}

// name reads a required name. Its characters are restricted because names appear
// in certificates and log lines.
func name(t *tomlfile.Table, key, fix string) string {
	if !t.Require(key, fix) {
		return ""
	}
	s, ok := t.LookupString(key)
	if ok && !namePattern.MatchString(s) {
		t.AddFault(key, fmt.Sprintf("has the value %q", s), "write a name that matches "+namePattern.String())
	}
	return s
}

func (r *reader) readAddresses() []netip.Addr {
	t := r.root
	if !t.Require("addresses", `write the IP addresses at which other hosts reach this one, such as ["10.0.0.7"]`) {
		return nil
	}
	var addresses []netip.Addr
	for i, text := range t.Strings("addresses") {
		a, err := netip.ParseAddr(text)
		if err != nil || a.IsUnspecified() {
			t.AddFault(fmt.Sprintf("addresses[%d]", i), fmt.Sprintf("has the value %q", text), "write an IP address of this host")
			continue
		}
		addresses = append(addresses, a)
	}
	return addresses
}

func (r *reader) readControlHosts() []ControlHost {
	hosts := readHosts(r.root, "control-hosts", nil)
	if n := len(hosts); n != 0 && n != 3 && n != 5 {
		r.root.AddFault("control-hosts", fmt.Sprintf("there are %d", n), "list the three or five voters")
	}
	return hosts
}

// readHosts reads a list of control replicas. It reports a host or address that
// occurs twice in the list or also occurs in others, a list read before.
func readHosts(root *tomlfile.Table, key string, others []ControlHost) []ControlHost {
	var hosts []ControlHost
	for i, t := range root.Subtables(key) {
		h := ControlHost{Host: fleet.Host(name(t, "host", "write the name of the host")), Address: address(t, "address")}
		if t.Has("operator") {
			h.Operator = address(t, "operator")
		}
		t.ReportUnknownKeys()
		duplicate := func(o ControlHost) bool { return o.Host == h.Host || o.Address == h.Address }
		if slices.ContainsFunc(hosts, duplicate) || slices.ContainsFunc(others, duplicate) {
			root.AddFault(fmt.Sprintf("%s[%d]", key, i), "repeats a host or address", "list each control host once")
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// readStatus reads the address for state dumps and metrics. It must be a loopback
// address because dumps and metrics contain the names of customers and targets.
func (r *reader) readStatus() netip.AddrPort {
	if !r.root.Has("status") {
		return netip.AddrPort{}
	}
	a := r.listen(r.root, "status")
	if a.IsValid() && !a.Addr().IsLoopback() {
		r.root.AddFault("status", fmt.Sprintf("%s is not a loopback address", a), "write an address on 127.0.0.1 or ::1")
	}
	return a
}

func (r *reader) readLinks() Links {
	if !r.root.Require("links", "add a table [links] with certificate, key and authority, or with plain = true") {
		return Links{}
	}
	t, ok := r.root.Subtable("links")
	if !ok {
		return Links{}
	}
	links := Links{Plain: t.Bool("plain"), Certificate: t.String("certificate"), Key: t.String("key"), Authority: t.String("authority")}
	for key, value := range map[string]string{"certificate": links.Certificate, "key": links.Key, "authority": links.Authority} {
		switch {
		case links.Plain && value != "":
			t.AddFault(key, "is not used on plain links", "remove it, or remove plain")
		case !links.Plain && value == "":
			t.AddFault(key, "is missing", "write the name of a PEM file, or plain = true to run without TLS")
		}
	}
	t.ReportUnknownKeys()
	return links
}

// address reads a required address with a non-zero port.
func address(t *tomlfile.Table, key string) netip.AddrPort {
	if !t.Require(key, `write an IP address and a port, such as "10.0.0.7:7100"`) {
		return netip.AddrPort{}
	}
	a := t.AddrPort(key)
	if a.IsValid() && a.Port() == 0 {
		t.AddFault(key, "has port 0", "write the port at which other hosts connect")
	}
	return a
}

// listen reads an address that the process listens on. It reports a conflict if a
// listen address read before has the same port and an overlapping IP address.
func (r *reader) listen(t *tomlfile.Table, key string) netip.AddrPort {
	a := address(t, key)
	if !a.IsValid() {
		return a
	}
	for _, l := range r.listeners {
		overlaps := l.address.Addr() == a.Addr() || l.address.Addr().IsUnspecified() || a.Addr().IsUnspecified()
		if overlaps && l.address.Port() == a.Port() {
			t.AddFault(key, fmt.Sprintf("%s is taken by %s", a, l.table.KeyPath(l.key)), "write another port")
		}
	}
	r.listeners = append(r.listeners, listener{t, key, a})
	return a
}

// readEntry, readAgent, readControl, readPeers, readGateway and readRegistry read
// the tables with these names. Without the table they leave the settings nil.
func (r *reader) readEntry() {
	t, ok := r.root.Subtable("entry")
	if !ok {
		return
	}
	e := &Entry{Listen: r.listen(t, "listen")}
	if t.Has("link") {
		e.Link = r.listen(t, "link")
	}
	limits, ok := t.Subtable("limits")
	e.Limits = readLimits(limits)
	if ok {
		limits.ReportUnknownKeys()
	}
	e.Static = readStatic(t)
	t.ReportUnknownKeys()
	r.settings.Entry = e
}

// readLimits reads the limits, each of which has a default. t is empty if the table
// is missing.
func readLimits(t *tomlfile.Table) Limits {
	return Limits{
		MaxHeaderBytes:          int(t.Int("header-bytes", 1<<10, maxHeaderBytes, defaultMaxHeaderBytes)),
		MaxBodyBytes:            int(t.Int("body-bytes", 1<<10, maxBodyBytes, defaultMaxBodyBytes)),
		HeaderTimeout:           t.Duration("first-byte", minDuration, maxDuration, defaultHeaderTimeout),
		IdleTimeout:             t.Duration("idle", minDuration, maxDuration, defaultIdleTimeout),
		MaxConnections:          int(t.Int("connections", 1, maxConnections, defaultMaxConnections)),
		MaxStreamsPerConnection: int(t.Int("streams-per-peer", 1, maxConnections, defaultMaxStreamsPerConnection)),
	}
}

func (r *reader) readAgent() {
	t, ok := r.root.Subtable("agent")
	if !ok {
		return
	}
	a := &Agent{Listen: r.listen(t, "listen"), Target: readTarget(t)}
	a.Name = fleet.TargetName(name(t, "name", "write the name of the target"))
	t.Require("kind", `write "engine" or "service"`)
	a.Kind = tomlfile.Choice(t, "kind", fleet.Service, kinds())
	a.Pool = name(t, "pool", "write the pool that the target belongs to")
	a.Role = tomlfile.Choice(t, "role", fleet.Mixed, roles())
	a.Slots = uint32(t.Int("slots", 1, maxSlots, defaultSlots))
	t.Require("checks-fencing", "write true if the target refuses orders with an outdated number, otherwise false")
	a.ChecksFencing = t.Bool("checks-fencing")
	if a.Kind == fleet.Service && a.Role != fleet.Mixed {
		t.AddFault("role", "a plain service has no role", "remove it")
	}
	t.ReportUnknownKeys()
	r.settings.Agent = a
}

func kinds() map[string]fleet.Kind {
	return map[string]fleet.Kind{"engine": fleet.Engine, "service": fleet.Service}
}

func roles() map[string]fleet.Role {
	return map[string]fleet.Role{"mixed": fleet.Mixed, "prefill": fleet.Prefill, "decode": fleet.Decode}
}

// readTarget reads the base URL of the target. Its host must be a loopback address,
// so that other hosts cannot bypass the agent.
func readTarget(t *tomlfile.Table) *url.URL {
	u := readURL(t, "target", "write the base URL of the target, such as \"http://127.0.0.1:9000\"")
	if u == nil {
		return nil
	}
	a, err := netip.ParseAddr(u.Hostname())
	if err != nil || !a.IsLoopback() {
		t.AddFault("target", fmt.Sprintf("%q is not on a loopback address", u), "bind the target to 127.0.0.1 or ::1")
	}
	return u
}

func readURL(t *tomlfile.Table, key, fix string) *url.URL {
	if !t.Require(key, fix) {
		return nil
	}
	text, ok := t.LookupString(key)
	if !ok {
		return nil
	}
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		t.AddFault(key, fmt.Sprintf("has the value %q", text), fix)
		return nil
	}
	return u
}

func (r *reader) readControl() {
	t, ok := r.root.Subtable("control")
	if !ok {
		return
	}
	c := &Control{Listen: r.listen(t, "listen"), Operator: r.listen(t, "operator"), Learner: t.Bool("learner")}
	if t.Require("data", "write the data directory") {
		text, ok := t.LookupString("data")
		if ok && text == "" {
			t.AddFault("data", "is empty", "write the data directory")
		}
		c.Data = text
	}
	c.Platform = readURL(t, "platform", "write the URL of the platform's target orders, such as \"http://10.0.0.1:9100\"")
	c.UsageWindow = t.Duration("usage-window", time.Second, maxUsageWindow, defaultUsageWindow)
	c.Usage = readURL(t, "usage", "write the URL of the platform's usage reports, such as \"http://10.0.0.1:9100\"")
	t.ReportUnknownKeys()
	r.settings.Control = c
}

// checkConsistency checks constraints between several keys.
func (r *reader) checkConsistency() {
	s, t := &r.settings, r.root
	if s.Entry == nil && s.Agent == nil && s.Control == nil && s.Gateway == nil && s.Registry == nil {
		t.AddFault("", "no role is set", "add a table [entry], [agent], [control], [gateway] or [registry]")
	}
	r.checkPeers(t)
	hasControlHosts := len(s.ControlHosts) > 0
	if s.Entry != nil && (s.Entry.Static != nil) == hasControlHosts {
		t.AddFault("control-hosts", "the entry needs exactly one source of its configuration", "list the control hosts, or add a table [entry.static]")
	}
	if s.Control == nil {
		return
	}
	i := slices.IndexFunc(s.ControlHosts, func(h ControlHost) bool { return h.Host == s.Host })
	switch {
	case !hasControlHosts:
		t.AddFault("control-hosts", "is missing", "list the three or five voters")
	case s.Control.Learner && i >= 0:
		t.AddFault("host", fmt.Sprintf("%q is listed as a voter and set to be a learner", s.Host), "remove learner or the voter")
	case !s.Control.Learner && i < 0:
		t.AddFault("host", fmt.Sprintf("%q is not among the control hosts", s.Host), "list this host, or write learner = true")
	case i >= 0 && s.ControlHosts[i].Address.Port() != s.Control.Listen.Port():
		t.AddFault(fmt.Sprintf("control-hosts[%d]", i), fmt.Sprintf("this host listens on port %d", s.Control.Listen.Port()), "write the port of control.listen")
	}
}
