package scenario

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"papayarock/core/fleet"
	"papayarock/io/controller"
	"papayarock/io/identity"
	"papayarock/io/link"
)

// leadTimeout bounds the wait for a leader: that of a single voter, and with a
// deployment also the time until its targets are ready.
const leadTimeout = 30 * time.Second

// Control is a control replica that is the only voter of its cluster and serves
// operators on a loopback address.
type Control struct {
	*controller.Controller
	Address       string       // HOST:PORT
	LoseResponses atomic.Int32 // set with Store; the number of next POST requests that are processed without a response

	server *httptest.Server
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// StartControl starts a replica with its data in dir and waits until it leads. It
// runs until Stop. Without credentials it serves plain HTTP.
func StartControl(dir string, credentials *identity.Credentials) (*Control, error) {
	// c2 has an address, so that it can be added as a learner.
	r, err := controller.New(controller.Options{
		Self: "c1", Voters: []fleet.Host{"c1"}, Addresses: map[fleet.Host]netip.AddrPort{"c1": {}, "c2": {}},
		DataDir: dir, Links: &link.Pool{}, Log: hclog.NewNullLogger(),
	})
	if err != nil {
		return nil, err
	}
	c := &Control{Controller: r}
	handler, config := r.OperatorEndpoint(credentials)
	c.server = httptest.NewUnstartedServer(c.dropResponses(handler))
	c.server.Config.ErrorLog = hclog.NewNullLogger().StandardLogger(nil)
	if c.server.TLS = config; config != nil {
		c.server.StartTLS()
	} else {
		c.server.Start()
	}
	c.Address = c.server.URL[strings.LastIndex(c.server.URL, "/")+1:]
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.done.Go(func() { _ = r.Serve(ctx) })
	for end := time.Now().Add(leadTimeout); !r.Status().Leading; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			c.Stop()
			return nil, errors.Errorf("control replica c1 is not the leader after %v", leadTimeout)
		}
	}
	return c, nil
}

// Stop closes the operator server and stops the replica.
func (c *Control) Stop() {
	c.server.CloseClientConnections()
	c.server.Close()
	c.cancel()
	c.done.Wait()
}

// dropResponses returns a handler that processes a POST request and then closes the
// connection without a response, as long as LoseResponses is above 0. Other
// requests go to next unchanged.
func (c *Control) dropResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || c.LoseResponses.Add(-1) < 0 {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

// startControl implements "control NAME": it starts a replica and sets the variable
// NAME to its operator address.
func startControl(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 1, "control NAME")
	dir := ts.MkAbs("control-" + args[0])
	ts.Check(os.MkdirAll(dir, 0o700))
	c, err := StartControl(dir, nil)
	ts.Check(err)
	ts.Defer(c.Stop)
	ts.Setenv(args[0], c.Address)
}
