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

// portsPerProcess is the number of ports that each process of the test reserves.
// It exceeds the size of a block, so that each process locks two.
const portsPerProcess = 120

// TestMain makes the test binary reserve and print ports instead of running tests
// if PAPAYAROCK_DRAW_PORTS is set. The test starts it as a second process.
func TestMain(m *testing.M) {
	if os.Getenv("PAPAYAROCK_DRAW_PORTS") == "" {
		os.Exit(m.Run())
	}
	for range portsPerProcess {
		p, err := ports.Reserve()
		if err != nil {
			os.Exit(1)
		}
		_, _ = os.Stdout.WriteString(p.String() + "\n")
	}
	os.Exit(0)
}

// Guards against a port that is reserved twice, by one process or by two
// concurrent processes: one of two servers then finds its port in use.
func TestPortsAreReservedOnce(t *testing.T) {
	is := is.New(t)
	seen := make(map[netip.AddrPort]bool)
	for range portsPerProcess {
		p, err := ports.Reserve()
		is.NoErr(err)
		is.True(!seen[p])
		seen[p] = true
	}
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), "PAPAYAROCK_DRAW_PORTS=1")
	out, err := child.Output()
	is.NoErr(err)
	lines := strings.Fields(string(out))
	is.Equal(len(lines), portsPerProcess)
	for _, line := range lines {
		is.True(!seen[netip.MustParseAddrPort(line)])
	}
}
