package daemon_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/internal/fake"
	"papayarock/internal/ports"
	"papayarock/io/daemon"
	"papayarock/io/settings"
)

const secret = "secret-of-inspector"

func freeAddress(t *testing.T) netip.AddrPort {
	p, err := ports.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// testSettings returns the settings of a process with an entry, an agent and a
// static configuration with a non-idempotent and an idempotent route.
func testSettings(t *testing.T, target *url.URL) settings.Settings {
	agent := freeAddress(t)
	file := filepath.Join(t.TempDir(), "configuration.toml")
	text := `team = "test"

[[customer]]
name = "klang"
weight = 1

[[route]]
name = "orders"
prefix = "/orders"
pool = "repair-log"
promise = "30s"
safe-reads = true

[[route]]
name = "log"
prefix = "/log"
pool = "repair-log"
promise = "30s"
idempotent = true

[[pool]]
name = "repair-log"
minimum = 1
maximum = 1
`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return settings.Settings{
		Host: "h1", Region: "west", DataCentre: "klang", Addresses: []netip.Addr{agent.Addr()},
		Links: settings.Links{Plain: true}, ShutdownTimeout: 10 * time.Second, Status: freeAddress(t),
		Agent: &settings.Agent{Listen: agent, Target: target, Name: "t1", Pool: "repair-log", Slots: 4},
		Entry: &settings.Entry{Listen: freeAddress(t), Limits: settings.Limits{MaxBodyBytes: 1024}, Static: &settings.StaticConfiguration{
			Configuration: file,
			Keys:          []config.Key{{ID: "k1", Digest: sha256.Sum256([]byte(secret)), Customer: "klang"}},
			Targets: []fleet.Target{{
				Name: "t1", Host: "h1", Region: "west", DataCentre: "klang", Agent: agent, Pool: "repair-log",
				Phase: fleet.Ready, Slots: 4, Incarnation: 1,
			}},
		}},
	}
}

// request sends a request and returns status and body. It retries while the process
// does not accept connections yet.
func request(t *testing.T, method, address, key string) (int, string) {
	for range 500 {
		req, err := http.NewRequest(method, address, strings.NewReader("stone"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(body)
	}
	t.Fatalf("no response from %s after 500 attempts", address)
	return 0, ""
}

// Guards against a process that ignores the limits in its settings, that does not
// serve its dumps, metrics or log level, that reveals a secret there or in its log,
// or that does not stop when its context is cancelled.
func TestRunServesRequestsAndStatus(t *testing.T) {
	is := is.New(t)
	backend := httptest.NewServer(&fake.Service{})
	defer backend.Close()
	target, err := url.Parse(backend.URL)
	is.NoErr(err)
	s := testSettings(t, target)
	var log strings.Builder
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		err := daemon.Run(ctx, s, hclog.New(&hclog.LoggerOptions{Output: &log}))
		if err != nil {
			t.Log("process ended:", err)
		}
		done <- err
	}()

	status, body := request(t, http.MethodPost, "http://"+s.Entry.Listen.String()+"/orders", secret)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "stone ran 1\n")

	req, err := http.NewRequest(http.MethodPost, "http://"+s.Entry.Listen.String()+"/orders", strings.NewReader(strings.Repeat("x", 1025)))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge) // the settings allow 1024 bytes

	base := "http://" + s.Status.String()
	_, dump := request(t, http.MethodGet, base+"/dump", "")
	var parts map[string]json.RawMessage
	is.NoErr(json.Unmarshal([]byte(dump), &parts))
	for _, part := range []string{"agent", "entry", "serving"} {
		is.True(len(parts[part]) > 0)
	}
	status, _ = request(t, http.MethodGet, base+"/dump?part=none", "")
	is.Equal(status, http.StatusNotFound)

	_, vars := request(t, http.MethodGet, base+"/vars", "")
	var numbers map[string]float64
	is.NoErr(json.Unmarshal([]byte(vars), &numbers))
	is.Equal(numbers["entry-served-total"], 1.0)
	is.Equal(numbers["agent-usage-total"], 1.0)

	status, _ = request(t, http.MethodPut, base+"/log-level?level=debug", "")
	is.Equal(status, http.StatusOK)
	status, _ = request(t, http.MethodPut, base+"/log-level?level=loud", "")
	is.Equal(status, http.StatusBadRequest)

	cancel()
	is.NoErr(<-done)
	is.True(!strings.Contains(dump+vars+log.String(), secret))
}
