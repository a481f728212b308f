package settings

import (
	"fmt"
	"net/netip"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/quota"
	"papayarock/internal/tomlfile"
)

// Bounds and defaults of the gateway and registry settings.
const (
	minMemoryMB               = 16
	maxMemoryMB               = 1 << 20
	maxRetryRatio             = 1
	maxRetryBurst             = 10_000
	maxRetryWindow            = time.Hour
	defaultRetryRatio         = 0.1
	defaultRetryBurst         = 10
	defaultRetryWindow        = 10 * time.Second
	maxToleratedLosses        = 3
	defaultUsageReportTimeout = 10 * time.Second
	defaultMemoryMB           = 256
	minQuotaWindow            = time.Second
	maxQuotaWindow            = time.Hour
	defaultQuotaWindow        = 8 * time.Second
	maxQuotaOverage           = 1
	defaultQuotaOverage       = 0.1
	maxQuotaSlack             = 1e9
)

// Peers configures how a process discovers the registry replicas. A process with
// peers does not need a list of control hosts.
type Peers struct {
	Seeds    []netip.Addr // hosts of replicas, from which the other replicas are learned
	LinkPort uint16       // port for links, the same on all hosts
}

// Gateway contains the settings of the gateway role.
type Gateway struct {
	Listen      netip.AddrPort // listen address for callers
	ReadyListen netip.AddrPort // listen address for readiness checks by the load balancer
	Regions     map[fleet.DataCentre]fleet.Region
	RetryRatio  float64       // retry attempts allowed per request, over all gateways
	RetryBurst  float64       // retry attempts allowed regardless of the request rate, over all gateways
	RetryWindow time.Duration // to which RetryRatio and RetryBurst apply
	UsageWindow time.Duration // length of a usage reporting window
	MemoryBytes int64         // memory limit of the process
	Quota       quota.Bounds  // within which the limits of customers are enforced
	Contracts   []string      // names of the platform's contracts that are in force
}

// Registry contains the settings of the registry role.
type Registry struct {
	Link               netip.AddrPort // address for links that other hosts use; identifies the replica
	Listen             netip.AddrPort // listen address for links; differs from Link if a forwarder listens there
	Operator           netip.AddrPort // listen address for operators and targets
	Data               string         // data directory
	CreateLog          bool           // the replicas at the seeds create a new log if Data is empty
	Regions            map[fleet.DataCentre]fleet.Region
	ToleratedLosses    int            // number of simultaneous replica failures to tolerate
	Usage              netip.AddrPort // receiver of usage reports; zero if there is none
	UsageWindow        time.Duration  // length of a usage reporting window
	UsageReportTimeout time.Duration  // time after the end of a window by which its usage must have arrived
	MemoryBytes        int64          // memory limit of the process
	Quota              quota.Bounds   // within which the limits of customers are enforced
}

func (r *reader) readPeers() {
	t, ok := r.root.Subtable("peers")
	if !ok {
		return
	}
	peers := &Peers{LinkPort: uint16(t.Int("link-port", 1, 1<<16-1, 0))}
	t.Require("link-port", "write the port for links, which is the same on all hosts")
	t.Require("seeds", "list addresses of hosts that run the registry")
	for _, text := range t.Strings("seeds") {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			t.AddFault("seeds", "has the value "+text, `write IP addresses and ports, such as "10.0.0.7:7100"`)
			continue
		}
		peers.Seeds = append(peers.Seeds, a.Addr()) // links to seeds use LinkPort, not the port of the seed
	}
	t.ReportUnknownKeys()
	r.settings.Peers = peers
}

func (r *reader) readGateway() {
	t, ok := r.root.Subtable("gateway")
	if !ok {
		return
	}
	gateway := &Gateway{
		Listen: r.listen(t, "listen"), ReadyListen: r.listen(t, "ready"), Regions: readRegions(t),
		RetryRatio:  t.Float("retry-share", 0, maxRetryRatio, defaultRetryRatio),
		RetryBurst:  t.Float("retry-slack", 0, maxRetryBurst, defaultRetryBurst),
		RetryWindow: t.Duration("retry-window", time.Second, maxRetryWindow, defaultRetryWindow),
		UsageWindow: t.Duration("usage-window", time.Second, maxUsageWindow, defaultUsageWindow),
		MemoryBytes: t.Int("memory-mb", minMemoryMB, maxMemoryMB, defaultMemoryMB) << 20,
		Quota:       readQuotaBounds(t),
		Contracts:   t.Strings("contracts"),
	}
	t.ReportUnknownKeys()
	r.settings.Gateway = gateway
}

// readQuotaBounds reads the bounds of the limits of customers. They are the same for gateways
// and the registry.
func readQuotaBounds(t *tomlfile.Table) quota.Bounds {
	return quota.Bounds{
		Window:  t.Duration("quota-window", minQuotaWindow, maxQuotaWindow, defaultQuotaWindow),
		Overage: t.Float("quota-overage", 0, maxQuotaOverage, defaultQuotaOverage),
		Slack:   t.Float("quota-slack", 0, maxQuotaSlack, 0),
	}
}

// readRegions reads the region of each data centre from a list of tables.
func readRegions(t *tomlfile.Table) map[fleet.DataCentre]fleet.Region {
	out := make(map[fleet.DataCentre]fleet.Region)
	for _, d := range t.Subtables("data-centres") {
		out[fleet.DataCentre(name(d, "name", "write the name of the data centre"))] = fleet.Region(name(d, "region", "write its region"))
		d.ReportUnknownKeys()
	}
	return out
}

func (r *reader) readRegistry() {
	t, ok := r.root.Subtable("registry")
	if !ok {
		return
	}
	registry := &Registry{
		Link: r.listen(t, "link"), Operator: r.listen(t, "operator"), CreateLog: t.Bool("form"), Regions: readRegions(t),
		ToleratedLosses:    int(t.Int("losses", 0, maxToleratedLosses, 1)),
		UsageWindow:        t.Duration("usage-window", time.Second, maxUsageWindow, defaultUsageWindow),
		MemoryBytes:        t.Int("memory-mb", minMemoryMB, maxMemoryMB, defaultMemoryMB) << 20,
		UsageReportTimeout: t.Duration("usage-due", time.Second, maxUsageWindow, defaultUsageReportTimeout),
		Quota:              readQuotaBounds(t),
	}
	if registry.Listen = registry.Link; t.Has("listen") {
		registry.Listen = r.listen(t, "listen")
	}
	if t.Require("data", "write the data directory") {
		registry.Data = t.String("data")
	}
	if t.Has("usage") {
		registry.Usage = address(t, "usage")
	}
	t.ReportUnknownKeys()
	r.settings.Registry = registry
}

// checkPeers checks that the gateway and the registry, which discover each other
// through seeds, have peers and use the common link port.
func (r *reader) checkPeers(t *tomlfile.Table) {
	s := &r.settings
	if (s.Gateway != nil || s.Registry != nil) && s.Peers == nil {
		t.AddFault("peers", "is missing", "add a table [peers] with seeds and link-port")
	}
	if s.Registry != nil && s.Peers != nil && s.Registry.Link.IsValid() && s.Registry.Link.Port() != s.Peers.LinkPort {
		problem := fmt.Sprintf("has port %d, but peers.link-port is %d", s.Registry.Link.Port(), s.Peers.LinkPort)
		t.AddFault("registry.link", problem, "write the same port")
	}
}
