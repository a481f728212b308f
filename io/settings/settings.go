package settings

import (
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/internal/tomlfile"
)

// ErrSettings is returned for settings that are invalid or cannot be read.
var ErrSettings = errors.New("settings are not valid")

// Settings contains the settings of one process. Roles that are nil are not run.
type Settings struct {
	Host            fleet.Host
	Region          fleet.Region
	DataCentre      fleet.DataCentre
	Addresses       []netip.Addr // addresses at which other hosts reach this host
	ControlHosts    []ControlHost
	Relays          []ControlHost  // non-voting control replicas
	Metrics         netip.AddrPort // listen address for metrics scrapers; zero disables it
	Status          netip.AddrPort // loopback listen address for state dumps and metrics; zero disables it
	Links           Links
	LogLevel        hclog.Level
	ShutdownTimeout time.Duration // deadline of a graceful shutdown
	MaxDescriptors  int           // limit of open descriptors; zero if only that of the operating system applies
	Entry           *Entry
	Agent           *Agent
	Control         *Control
	Peers           *Peers // required by Gateway and Registry
	Gateway         *Gateway
	Registry        *Registry
}

// ControlHost identifies a control replica.
type ControlHost struct {
	Host     fleet.Host
	Address  netip.AddrPort // link address
	Operator netip.AddrPort // address at which operators reach the replica; zero if not configured
}

// Links configures how this process authenticates itself on links. The files are
// in PEM format.
type Links struct {
	Plain       bool // no TLS; the file names are then empty
	Certificate string
	Key         string
	Authority   string
}

// Entry contains the settings of the entry role.
type Entry struct {
	Listen netip.AddrPort // listen address for callers
	Link   netip.AddrPort // listen address for links from other processes; zero disables it
	Limits Limits
	Static *StaticConfiguration // nil if the control replicas provide the configuration
}

// Limits bounds the resources that callers can occupy in an entry.
type Limits struct {
	MaxHeaderBytes          int           // maximum size of a request header
	MaxBodyBytes            int           // maximum size of a request body
	HeaderTimeout           time.Duration // timeout for reading a request header
	IdleTimeout             time.Duration // timeout after which an idle connection is closed
	MaxConnections          int           // maximum number of open connections
	MaxStreamsPerConnection int           // maximum number of concurrent requests on one HTTP/2 connection
}

// StaticConfiguration is the configuration of an entry that runs without control
// replicas. It does not change while the process runs.
type StaticConfiguration struct {
	Configuration string // file written by papayarock answers generate
	Keys          []config.Key
	Targets       []fleet.Target
}

// Agent contains the settings of the agent role.
type Agent struct {
	Listen        netip.AddrPort // listen address for links
	Target        *url.URL       // base URL of the target, on a loopback address
	Name          fleet.TargetName
	Kind          fleet.Kind
	Pool          string
	Role          fleet.Role
	Slots         uint32
	ChecksFencing bool // the target refuses orders with an outdated number
}

// Control contains the settings of the control role.
type Control struct {
	Data     string         // data directory
	Listen   netip.AddrPort // listen address for links
	Operator netip.AddrPort // listen address for operators
	Platform *url.URL       // platform endpoint for target orders
	Usage    *url.URL       // platform endpoint for usage reports
	Learner  bool           // non-voting replica that relays the configuration
	// UsageWindow is the length of a usage reporting window.
	UsageWindow time.Duration
}

// Load reads and validates the settings file at path. Relative paths in the file
// are resolved against its directory.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(ErrSettings, err.Error())
	}
	s, faults := Check(text)
	if len(faults) > 0 {
		return Settings{}, &tomlfile.FileError{Kind: ErrSettings, Path: path, Faults: faults}
	}
	s.resolve(filepath.Dir(path))
	return s, nil
}

// resolve joins relative paths in s with dir.
func (s *Settings) resolve(dir string) {
	paths := []*string{&s.Links.Certificate, &s.Links.Key, &s.Links.Authority}
	if s.Entry != nil && s.Entry.Static != nil {
		paths = append(paths, &s.Entry.Static.Configuration)
	}
	if s.Control != nil {
		paths = append(paths, &s.Control.Data)
	}
	if s.Registry != nil {
		paths = append(paths, &s.Registry.Data)
	}
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
}
