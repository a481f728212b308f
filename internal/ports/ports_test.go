package ports_test

import (
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"

	"papayarock/internal/ports"
)

// portsPerProgram is the number of ports that each program of the test reserves.
// It exceeds the size of a block.
const portsPerProgram = 120

// TestMain makes the test binary act as another program that reserves ports, if
// the environment variable is set.
func TestMain(m *testing.M) {
	if os.Getenv("PAPAYAROCK_DRAW_PORTS") == "" {
		os.Exit(m.Run())
	}
	for range portsPerProgram {
		p, err := ports.Reserve()
		if err != nil {
			os.Exit(1)
		}
		_, _ = os.Stdout.WriteString(p.String() + "\n")
	}
	os.Exit(0)
}

// Guards against a port that is reserved twice, by one program or by two
// concurrent programs.
func TestPortsAreReservedOnce(t *testing.T) {
	is := is.New(t)
	seen := make(map[netip.AddrPort]bool)
	for range portsPerProgram {
		p, err := ports.Reserve()
		is.NoErr(err)
		is.True(!seen[p])
		seen[p] = true
	}
	other := exec.Command(os.Args[0])
	other.Env = append(os.Environ(), "PAPAYAROCK_DRAW_PORTS=1")
	out, err := other.Output()
	is.NoErr(err)
	lines := strings.Fields(string(out))
	is.Equal(len(lines), portsPerProgram)
	for _, line := range lines {
		is.True(!seen[netip.MustParseAddrPort(line)])
	}
}
