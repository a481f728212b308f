package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
	"papayarock/core/roster"
	"papayarock/io/gateway"
	"papayarock/io/upstream"
)

// The limit on repeated requests of budgetRun: in any window, all gateways together send
// at most limitRatio repeats per request of that window and limitSlack more.
const (
	limitRatio  = 0.2
	limitSlack  = 62
	limitWindow = 10 * time.Second
)

// budgetRun runs gateways in virtual time whose targets are in memory and fail all
// requests from failFrom on.
type budgetRun struct {
	gateways  int
	perSecond int // requests to all gateways
	reported  int // number of gateways that the registry reports; gateways if zero
	noSlack   bool
	length    time.Duration
	failFrom  time.Duration
	failure   string // response of a failing target; empty if it closes the connection
	// restarts returns the gateways that restart at the given half second.
	restarts func(step int) []int

	mu       sync.Mutex
	start    time.Time
	requests []time.Duration // when callers sent them
	arrivals []time.Duration // those at targets beyond the first one of each request
	seen     map[string]bool // ids of requests that have arrived
	conns    []net.Conn      // to targets
}

const budgetResponse = "HTTP/1.1 200 OK\r\nMark: m\r\nContent-Length: 2\r\n"

// serveTarget responds to the requests on one connection.
func (b *budgetRun) serveTarget(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id, now := r.Header.Get("Id"), time.Since(b.start)
		b.mu.Lock()
		if b.seen[id] {
			b.arrivals = append(b.arrivals, now)
		}
		b.seen[id] = true
		b.mu.Unlock()
		response := b.failure
		if now < b.failFrom {
			response = budgetResponse + "Id: " + id + "\r\n\r\nok"
		} else if response != "" {
			response += "Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
		}
		if response == "" {
			return
		}
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
	}
}

// slack returns the number of repeats that are allowed whatever the number of requests.
func (b *budgetRun) slack() float64 {
	if b.noSlack {
		return 0
	}
	return limitSlack
}

func (b *budgetRun) newGateway(t *testing.T) *gateway.Gateway {
	g := gateway.New(gateway.Options{
		DataCentre: "kt", Regions: map[fleet.DataCentre]fleet.Region{"kt": "east"}, HeaderCodec: testCodec{}, DecodeCatalog: decode,
		Log: hclog.NewNullLogger(), Now: time.Now, RetryRatio: limitRatio, RetryBurst: b.slack(), RetryWindow: limitWindow, UsageWindow: time.Hour,
		Upstream: &upstream.Pool{Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
			near, far := net.Pipe()
			b.mu.Lock()
			b.conns = append(b.conns, near)
			b.mu.Unlock()
			go b.serveTarget(far)
			return near, nil
		}},
	})
	text, err := json.Marshal(catalog.Document{
		Version: 1, Pools: []catalog.Pool{{Name: "pool"}},
		Routes:    []catalog.Route{route(func(r *catalog.Route) { r.Timeout, r.Objective, r.Attempts = 2*time.Second, 250*time.Millisecond, 3 })},
		Customers: []catalog.Customer{{Name: "klang", Keys: []string{"secret"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	g.UpdateCatalog(1, text)
	return g
}

// announce sends the targets to a gateway, as a feed does.
func (b *budgetRun) announce(g *gateway.Gateway) {
	var records []roster.Record
	for i := range 5 {
		records = append(records, roster.Record{Heard: time.Now(), Announcement: roster.Announcement{
			Target: fleet.TargetName("t" + strconv.Itoa(i)), Started: time.UnixMilli(1000), Sequence: uint64(time.Since(b.start)), Pool: "pool",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80), DataCentre: "kt", Slots: 8, Role: fleet.Mixed,
		}})
	}
	g.UpdateTargets(records, b.gateways)
	if b.reported > 0 { // by another replica
		g.UpdateTargets(nil, b.reported)
	}
}

func (b *budgetRun) run(t *testing.T) {
	b.start, b.seen = time.Now(), make(map[string]bool)
	list := make([]*gateway.Gateway, b.gateways)
	for i := range list {
		list[i] = b.newGateway(t)
	}
	var wg sync.WaitGroup
	sent := 0
	for step := 0; time.Since(b.start) < b.length; step++ {
		if b.restarts != nil && time.Since(b.start) >= b.failFrom {
			for _, i := range b.restarts(step) {
				list[i%len(list)] = b.newGateway(t)
			}
		}
		for _, g := range list {
			b.announce(g)
		}
		for end := b.start.Add(time.Duration(step+1) * time.Second / 2); time.Now().Before(end); sent++ {
			g, id := list[sent%len(list)], strconv.Itoa(sent)
			b.requests = append(b.requests, time.Since(b.start))
			wg.Go(func() {
				r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h.example/r/1", nil)
				r.Header.Set("Key", "secret")
				r.Header.Set("Id", id)
				g.ServeHTTP(httptest.NewRecorder(), r)
			})
			time.Sleep(time.Second / time.Duration(b.perSecond))
		}
	}
	wg.Wait()
	for _, c := range b.conns {
		_ = c.Close()
	}
}

// count returns how many times are in the window that ends at end, which it excludes.
func count(times []time.Duration, end time.Duration) int {
	from, _ := slices.BinarySearch(times, end-limitWindow)
	to, _ := slices.BinarySearch(times, end)
	return to - from
}

// worst returns the repeats in the window with the highest share of those allowed, and
// those allowed. Requests count in the window, the one before or the one half a window
// before, whichever has most.
func (b *budgetRun) worst() (repeats int, allowed float64) {
	slices.Sort(b.arrivals)
	allowed = 1
	for _, at := range b.arrivals {
		end := at + 1
		n := max(count(b.requests, end), count(b.requests, end-limitWindow/2), count(b.requests, end-limitWindow))
		r, a := count(b.arrivals, end), limitRatio*float64(n)+b.slack()
		if float64(r)/a > float64(repeats)/allowed {
			repeats, allowed = r, a
		}
	}
	return repeats, allowed
}

// Guards against more repeated requests than the settings allow in a window for all
// gateways together: because each gateway that restarts, or learns of too low a number of
// gateways, has a burst of repeats of its own, or because there are many gateways.
func TestRetryBudgetOfAllGateways(t *testing.T) {
	all := func(each int) func(int) []int {
		return func(step int) []int {
			if step%each != 0 {
				return nil
			}
			return []int{0, 1, 2, 3, 4, 5}
		}
	}
	inTurn := func(step int) []int { return []int{step} }
	const rejected, failed = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n", "HTTP/1.1 500 Failed\r\nMark: m\r\n"
	for name, b := range map[string]*budgetRun{
		"no restarts":              {gateways: 6, perSecond: 60},
		"all restart, resets":      {gateways: 6, perSecond: 20, restarts: all(7)},
		"all restart, rejections":  {gateways: 6, perSecond: 40, failure: rejected, restarts: all(7)},
		"all restart often":        {gateways: 6, perSecond: 20, restarts: all(2)},
		"in turn, resets":          {gateways: 6, perSecond: 18, restarts: inTurn},
		"in turn, rejections":      {gateways: 6, perSecond: 18, failure: rejected, restarts: inTurn},
		"in turn, status 500":      {gateways: 6, perSecond: 30, failure: failed, restarts: inTurn},
		"late, all restart":        {gateways: 6, perSecond: 20, failFrom: 30 * time.Second, restarts: all(7)},
		"late, low count reported": {gateways: 6, perSecond: 20, failFrom: 60 * time.Second, reported: 1},
		"late, no slack":           {gateways: 6, perSecond: 6, failFrom: 60 * time.Second, noSlack: true},
		"late, many gateways":      {gateways: 150, perSecond: 20, failFrom: 120 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			b.length = b.failFrom + 30*time.Second
			synctest.Test(t, b.run)
			repeats, allowed := b.worst()
			t.Logf("%d requests, %d repeats; at most %d of %.0f allowed in %v", len(b.requests), len(b.arrivals), repeats, allowed, limitWindow)
			is.New(t).True(float64(repeats) <= allowed)
		})
	}
}

// Guards against a gateway that never repeats a request after its start.
func TestRetryBudgetAfterStart(t *testing.T) {
	is := is.New(t)
	b := &budgetRun{gateways: 2, perSecond: 4, failFrom: 15 * time.Second, length: 20 * time.Second}
	synctest.Test(t, b.run)
	is.True(len(b.arrivals) > 10) // 60 requests alone would earn six
}
