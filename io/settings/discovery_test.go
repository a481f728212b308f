package settings_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"papayarock/io/settings"
)

// A fault in the settings of the gateway or the registry must be reported exactly
// once, and a registry behind a forwarder must listen on its own address.
func TestPeerDiscoveryRoles(t *testing.T) {
	const common = "host = \"h\"\nregion = \"r\"\ndata-centre = \"z\"\naddresses = [\"10.0.0.1\"]\n[links]\nplain = true\n"
	const peers = "[peers]\nseeds = [\"10.0.0.1:7100\", \"10.0.0.2:7100\"]\nlink-port = 7000\n"
	const registry = "[registry]\nlink = \"10.0.0.1:7000\"\noperator = \"10.0.0.1:7100\"\ndata = \"/d\"\n"
	const gateway = "[gateway]\nlisten = \"10.0.0.1:80\"\nready = \"10.0.0.1:81\"\n"
	for name, test := range map[string]struct {
		text   string
		fault  string // part of the only fault; empty for none
		listen string // where the registry accepts links
	}{
		"registry":             {common + peers + registry, "", "10.0.0.1:7000"},
		"behind a forwarder":   {common + peers + registry + "listen = \"10.0.0.1:7001\"\n", "", "10.0.0.1:7001"},
		"listen is taken":      {common + peers + registry + "listen = \"10.0.0.1:7100\"\n", "is taken by", ""},
		"listen is no address": {common + peers + registry + "listen = \"here\"\n", "registry.listen", ""},
		"gateway":              {common + peers + gateway, "", ""},
		"no peers":             {common + gateway, "[peers]", ""},
		"other link port":      {common + peers + strings.Replace(registry, ":7000", ":7002", 1), "has port 7002, but peers.link-port is 7000", ""},
		"no data directory":    {common + peers + strings.Replace(registry, "data = \"/d\"\n", "", 1), "data", ""},
		"retry window":         {common + peers + gateway + "retry-window = \"5s\"\n", "", ""},
		"no retry window":      {common + peers + gateway + "retry-window = \"0s\"\n", "retry-window", ""},
		"quota bounds":         {common + peers + gateway + "quota-window = \"8s\"\nquota-overage = 0.1\nquota-slack = 73000\n", "", ""},
		"no quota window":      {common + peers + gateway + "quota-window = \"0s\"\n", "quota-window", ""},
		"quota slack below 0":  {common + peers + registry + "quota-slack = -1\n", "quota-slack", ""},
		"descriptors":          {"max-descriptors = 4100\n" + common + peers + gateway, "", ""},
		"too few descriptors":  {"max-descriptors = 200\n" + common + peers + gateway, "max-descriptors", ""},
		"share above one":      {common + peers + gateway + "retry-share = 1.5\n", "retry-share", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, faults := settings.Check([]byte(test.text))
			if test.fault == "" {
				is.Equal(len(faults), 0)
				if test.listen != "" {
					is.Equal(s.Registry.Listen.String(), test.listen)
				}
				return
			}
			is.Equal(len(faults), 1)
			is.True(strings.Contains(faults[0].String(), test.fault))
		})
	}
}
