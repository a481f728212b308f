package settings

import (
	"net/netip"
	"os"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"papayarock/core/fleet"
)

// ErrSettings reports settings that cannot be used.
var ErrSettings = errors.New("settings are not valid")

// Settings are the settings of one process. A nil role is not run.
type Settings struct {
	Host       fleet.Host
	Region     fleet.Region
	DataCentre fleet.DataCentre
	Entry      *Entry
	Agent      *Agent
}

// Entry are the settings of the entry role.
type Entry struct {
	Listen netip.AddrPort
	Static string // file with a fixed configuration; used without control
}

// Agent are the settings of the agent role.
type Agent struct {
	Listen netip.AddrPort
	Target string // base URL of the target
}

type file struct {
	Host       string     `toml:"host"`
	Region     string     `toml:"region"`
	DataCentre string     `toml:"data-centre"`
	Entry      *fileEntry `toml:"entry"`
	Agent      *fileAgent `toml:"agent"`
}

type fileEntry struct {
	Listen string `toml:"listen"`
	Static string `toml:"static"`
}

type fileAgent struct {
	Listen string `toml:"listen"`
	Target string `toml:"target"`
}

// Load reads the settings in the file at path.
func Load(path string) (Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return Settings{}, errors.Wrap(ErrSettings, err.Error())
	}
	defer func() { _ = f.Close() }()
	var in file
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&in); err != nil {
		return Settings{}, errors.Wrapf(ErrSettings, "%s: %v", path, err)
	}
	return decode(in)
}

func decode(in file) (Settings, error) {
	s := Settings{
		Host:       fleet.Host(in.Host),
		Region:     fleet.Region(in.Region),
		DataCentre: fleet.DataCentre(in.DataCentre),
	}
	if in.Entry != nil {
		addr, err := netip.ParseAddrPort(in.Entry.Listen)
		if err != nil {
			return s, errors.Wrapf(ErrSettings, "entry.listen: %v", err)
		}
		s.Entry = &Entry{Listen: addr, Static: in.Entry.Static}
	}
	if in.Agent != nil {
		addr, err := netip.ParseAddrPort(in.Agent.Listen)
		if err != nil {
			return s, errors.Wrapf(ErrSettings, "agent.listen: %v", err)
		}
		s.Agent = &Agent{Listen: addr, Target: in.Agent.Target}
	}
	if s.Entry == nil && s.Agent == nil {
		return s, errors.Wrap(ErrSettings, "no role is set")
	}
	return s, nil
}
