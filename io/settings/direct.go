package settings

import (
	"net/netip"
	"time"

	"papayarock/core/fleet"
	"papayarock/internal/tomlfile"
)

// Bounds and defaults of the roles gateway and registry.
const (
	minMemoryMB     = 16
	maxMemoryMB     = 1 << 20
	maxRetryShare   = 1
	maxRetrySlack   = 10_000
	defaultShare    = 0.1
	defaultSlack    = 10
	maxLosses       = 3
	defaultDue      = 10 * time.Second
	defaultMemoryMB = 256
)

// Peers say where the replicas of the registry are found. A process with such
// peers needs no list of control hosts.
type Peers struct {
	Seeds    []netip.Addr // hosts of replicas; others are learned from these
	LinkPort uint16       // for links, equal on all hosts
}

// Gateway are the settings of the gateway role.
type Gateway struct {
	Listen      netip.AddrPort // for callers
	Ready       netip.AddrPort // for the balancer
	Regions     map[fleet.DataCentre]fleet.Region
	RetryShare  float64 // extra sends for each request, over all gateways
	RetrySlack  float64 // extra sends at any time, over all gateways
	UsageWindow time.Duration
	MemoryBytes int64 // limit of the process
}

// Registry are the settings of the registry role.
type Registry struct {
	Link        netip.AddrPort // for links; names the replica
	Listen      netip.AddrPort // where links are accepted: Link, unless a forwarder has that address
	Operator    netip.AddrPort // for operators and targets
	Data        string         // directory
	Form        bool           // the seeds form a new log if Data is empty
	Losses      int            // replicas that may be lost at once
	Usage       netip.AddrPort // takes usage reports; zero for none
	UsageWindow time.Duration
	UsageDue    time.Duration // after the end of a window
}

func (r *reader) readPeers() {
	t, ok := r.root.Sub("peers")
	if !ok {
		return
	}
	p := &Peers{LinkPort: uint16(t.Int("link-port", 1, 1<<16-1, 0))}
	t.Need("link-port", "write the port for links, which is the same on all hosts")
	t.Need("seeds", "list addresses of hosts that run the registry")
	for _, text := range t.Strings("seeds") {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			t.Fault("seeds", "has the value "+text, `write IP addresses and ports, such as "10.0.0.7:7100"`)
			continue
		}
		p.Seeds = append(p.Seeds, a.Addr())
	}
	t.Close()
	r.s.Peers = p
}

func (r *reader) readGateway() {
	t, ok := r.root.Sub("gateway")
	if !ok {
		return
	}
	g := &Gateway{
		Listen: r.listen(t, "listen"), Ready: r.listen(t, "ready"), Regions: make(map[fleet.DataCentre]fleet.Region),
		RetryShare:  t.Float("retry-share", 0, maxRetryShare, defaultShare),
		RetrySlack:  t.Float("retry-slack", 0, maxRetrySlack, defaultSlack),
		UsageWindow: t.Duration("usage-window", time.Second, maxUsageWindow, defaultUsageWindow),
		MemoryBytes: t.Int("memory-mb", minMemoryMB, maxMemoryMB, defaultMemoryMB) << 20,
	}
	for _, d := range t.Subs("data-centres") {
		g.Regions[fleet.DataCentre(name(d, "name", "name the data centre"))] = fleet.Region(name(d, "region", "name its region"))
		d.Close()
	}
	t.Close()
	r.s.Gateway = g
}

func (r *reader) readRegistry() {
	t, ok := r.root.Sub("registry")
	if !ok {
		return
	}
	x := &Registry{
		Link: r.listen(t, "link"), Operator: r.listen(t, "operator"), Form: t.Bool("form"),
		Losses:      int(t.Int("losses", 0, maxLosses, 1)),
		UsageWindow: t.Duration("usage-window", time.Second, maxUsageWindow, defaultUsageWindow),
		UsageDue:    t.Duration("usage-due", time.Second, maxUsageWindow, defaultDue),
	}
	if x.Listen = x.Link; t.Has("listen") {
		x.Listen = r.listen(t, "listen")
	}
	if t.Need("data", "write the data directory") {
		x.Data = t.String("data")
	}
	if t.Has("usage") {
		x.Usage = address(t, "usage")
	}
	t.Close()
	r.s.Registry = x
}

// checkDirect checks the roles that find each other by seeds.
func (r *reader) checkDirect(t *tomlfile.Table) {
	s := &r.s
	if (s.Gateway != nil || s.Registry != nil) && s.Peers == nil {
		t.Fault("peers", "is missing", "add a table [peers] with seeds and link-port")
	}
	if s.Registry != nil && s.Peers != nil && s.Registry.Link.IsValid() && s.Registry.Link.Port() != s.Peers.LinkPort {
		t.Fault("registry.link", "has another port than peers.link-port", "write the same port")
	}
}
