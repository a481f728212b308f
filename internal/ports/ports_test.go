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

// drawn is how many ports each program of the test draws: more than a block.
const drawn = 120

// TestMain lets the test run itself as another program that draws ports.
func TestMain(m *testing.M) {
	if os.Getenv("PAPAYAROCK_DRAW_PORTS") == "" {
		os.Exit(m.Run())
	}
	for range drawn {
		p, err := ports.Free()
		if err != nil {
			os.Exit(1)
		}
		_, _ = os.Stdout.WriteString(p.String() + "\n")
	}
	os.Exit(0)
}

// Guards against a port that is drawn twice, by one program or by two that run
// at the same time.
func TestPortsAreDrawnOnce(t *testing.T) {
	is := is.New(t)
	seen := make(map[netip.AddrPort]bool)
	for range drawn {
		p, err := ports.Free()
		is.NoErr(err)
		is.True(!seen[p])
		seen[p] = true
	}
	other := exec.Command(os.Args[0])
	other.Env = append(os.Environ(), "PAPAYAROCK_DRAW_PORTS=1")
	out, err := other.Output()
	is.NoErr(err)
	lines := strings.Fields(string(out))
	is.Equal(len(lines), drawn)
	for _, line := range lines {
		is.True(!seen[netip.MustParseAddrPort(line)])
	}
}
