package slopes

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/io/agent"
	"papayarock/io/entry"
	"papayarock/io/identity"
	"papayarock/io/link"
	"papayarock/io/wire"
)

const (
	pathCallers  = 64  // concurrent callers in measureEntry
	maxIdleConns = 512 // idle connections that the caller keeps; above the number of streams
	// tokenPace is the interval between the tokens of a paced stream, a third of the
	// 61 ms promised to callers.
	tokenPace = 20 * time.Millisecond
	secret    = "pk-measure"
	prompt    = "stone 7 is loose at the waterline"
)

// requestPath is the path of a request through an entry and an agent to a fake target,
// all on loopback.
type requestPath struct {
	authority           *identity.Authority
	targetURL, entryURL string
	client              *http.Client
	agent               link.Address
	cleanups            []func() // run in reverse order by stop
}

// streamTokens is the handler of the fake target. It streams as many tokens as the
// request asks for, one every tokenPace if the request is paced.
func streamTokens(w http.ResponseWriter, r *http.Request) {
	var in struct {
		MaxTokens int  `json:"max_tokens"`
		Paced     bool `json:"paced"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, "no number of tokens", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := range in.MaxTokens {
		if in.Paced {
			time.Sleep(tokenPace)
		}
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"token %d\"}]}\n\n", i)
		_ = rc.Flush()
	}
	_, _ = fmt.Fprintf(w, "data: {\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", in.MaxTokens)
}

// startPath starts a request path. The caller must stop the returned path even if there
// is an error.
func startPath(ctx context.Context) (*requestPath, error) {
	x := &requestPath{}
	fakeTarget := httptest.NewServer(http.HandlerFunc(streamTokens))
	x.cleanups = append(x.cleanups, fakeTarget.Close)
	now := time.Now()
	var err error
	if x.authority, err = identity.NewAuthority(now, now.Add(certificateTime)); err != nil {
		return x, err
	}
	if err := x.startAgent(ctx, fakeTarget.URL); err != nil {
		return x, err
	}
	id, err := x.authority.Issue("entry", []identity.Role{identity.Entry}, now, now.Add(certificateTime))
	if err != nil {
		return x, err
	}
	var index atomic.Pointer[config.Index]
	s := config.Snapshot{Revision: 1, Document: document(customersToday)}
	s.Keys = []config.Key{{ID: "key", Digest: sha256.Sum256([]byte(secret)), Customer: customer(0)}}
	s.Targets = []fleet.Target{{Name: "target", Host: "agent", Agent: x.agent.AddrPort, Pool: pool(0), Phase: fleet.Ready}}
	index.Store(config.NewIndex(s))
	links := &link.Pool{Credentials: id, Roles: []identity.Role{identity.Agent}}
	entryServer := httptest.NewUnstartedServer(&entry.Entry{Config: &index, Links: links})
	entry.Limits{}.Apply(entryServer.Config)
	entryServer.Start()
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	x.targetURL, x.entryURL, x.client = fakeTarget.URL, entryServer.URL, &http.Client{Transport: transport}
	x.cleanups = append(x.cleanups, links.Close, entryServer.Close, transport.CloseIdleConnections)
	return x, nil
}

// startAgent starts the agent of the target at a URL.
func (x *requestPath) startAgent(ctx context.Context, target string) error {
	now := time.Now()
	id, err := x.authority.Issue("agent", []identity.Role{identity.Agent}, now, now.Add(certificateTime))
	if err != nil {
		return err
	}
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	u, err := url.Parse(target)
	if err != nil {
		return errors.Wrap(err, "parse target URL")
	}
	x.agent = link.Address{Host: "agent", AddrPort: netip.MustParseAddrPort(l.Addr().String())}
	a := &agent.Agent{Listener: l, Identity: id, TargetURL: u, StopTimeout: stopTimeout}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { _ = a.Serve(ctx) })
	x.cleanups = append(x.cleanups, func() { cancel(); wg.Wait() })
	return nil
}

func (x *requestPath) stop() {
	for i := len(x.cleanups) - 1; i >= 0; i-- {
		x.cleanups[i]()
	}
}

// request returns a request to the entry or the target at a base URL, for a streamed
// response.
func request(ctx context.Context, base string, tokens int, paced bool) (*http.Request, error) {
	address := fmt.Sprintf("%s/%s/v1/completions", base, pool(0))
	body := fmt.Sprintf(`{"prompt": %q, "max_tokens": %d, "paced": %t, "stream": true}`, prompt, tokens, paced)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	return req, nil
}

// sendRequest sends a request and reads the whole response.
func (x *requestPath) sendRequest(ctx context.Context, base string, tokens int) error {
	req, err := request(ctx, base, tokens, false)
	if err != nil {
		return err
	}
	resp, err := x.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d, want %d", resp.StatusCode, http.StatusOK)
	}
	return errors.Wrap(err, "read response")
}

// measureEntry measures what entry and agent add to a streamed response, by its number
// of tokens. The target flushes each token separately.
func measureEntry(ctx context.Context, p parameters) (Table, error) {
	t := Table{
		Title: "answers streamed through entry and agent, less the same straight from the stand-in, 64 callers",
		Columns: []string{"tokens/answer", "added CPU µs/answer", "answers/s", "p50 ms", "p95 ms",
			"straight p50 ms", "straight p95 ms"},
	}
	x, err := startPath(ctx)
	defer x.stop()
	if err != nil {
		return t, err
	}
	for _, base := range []string{x.targetURL, x.entryURL} { // warm-up, opens the connections
		if _, _, err := runCallers(pathCallers, 1, func(int, int) error { return x.sendRequest(ctx, base, 1) }); err != nil {
			return t, err
		}
	}
	for _, tokens := range p.tokens {
		var cpu, rate [2]float64
		var latency [2]samples
		for i, base := range []string{x.targetURL, x.entryURL} {
			start := currentUsage()
			each := (p.requests + pathCallers - 1) / pathCallers
			latency[i], rate[i], err = runCallers(pathCallers, each, func(int, int) error { return x.sendRequest(ctx, base, tokens) })
			if err != nil {
				return t, err
			}
			cpu[i] = (currentUsage().cpu - start.cpu).Seconds() * 1e6 / float64(each*pathCallers)
		}
		t.add(float64(tokens), cpu[1]-cpu[0], rate[1], latency[1].millis(50), latency[1].millis(95),
			latency[0].millis(50), latency[0].millis(95))
	}
	return t, nil
}

// measureLoadPolls measures polls of one agent for the load of its target, by the
// number of entries that poll it.
func measureLoadPolls(ctx context.Context, p parameters) (Table, error) {
	t := Table{
		Title:   "load polls of one agent, by polling entries; CPU of both ends",
		Columns: []string{"entries", "polls/s", "CPU µs/poll", "B/poll"},
	}
	x, err := startPath(ctx)
	defer x.stop()
	if err != nil {
		return t, err
	}
	for _, n := range []int{1, 4, 16} {
		var count traffic
		pools := make([]*link.Pool, n)
		for i := range pools {
			now := time.Now()
			id, err := x.authority.Issue(fleet.Host(fmt.Sprintf("entry-%d", i)), []identity.Role{identity.Entry}, now, now.Add(certificateTime))
			if err != nil {
				return t, err
			}
			pools[i] = &link.Pool{Credentials: id, Roles: []identity.Role{identity.Agent}, Dial: dialCounting(func(link.Address) *traffic { return &count })}
			defer pools[i].Close()
		}
		poll := func(i, _ int) error {
			open := &wire.Open{Call: &wire.Open_LoadPoll{LoadPoll: &wire.LoadPoll{}}}
			_, err := link.Call[wire.Frame](ctx, pools[i], x.agent, open)
			return err
		}
		if _, _, err := runCallers(n, 1, poll); err != nil { // opens the connections
			return t, err
		}
		bytes, start := count.bytes(), currentUsage()
		_, rate, err := runCallers(n, p.polls/n+1, poll)
		if err != nil {
			return t, err
		}
		total := float64(n * (p.polls/n + 1))
		t.add(float64(n), rate, (currentUsage().cpu-start.cpu).Seconds()*1e6/total, (count.bytes()-bytes)/total)
	}
	return t, nil
}

// measureSessions measures idle link sessions between entries and one agent, by their
// number.
func measureSessions(ctx context.Context, p parameters) (Table, error) {
	t := Table{
		Title:   "idle link sessions with heartbeats and mutual TLS; both ends; bytes both ways, above TCP",
		Columns: []string{"sessions", "memory B", "cores", "B/s", "set-up CPU ms/session"},
	}
	for _, n := range p.sessions {
		row, err := sessionRow(ctx, p, n)
		if err != nil {
			return t, err
		}
		t.add(row...)
	}
	return t, nil
}

// sessionRow returns the row of n sessions. Each has its own pool, since a pool keeps
// one session per agent.
func sessionRow(ctx context.Context, p parameters, n int) ([]float64, error) {
	x, err := startPath(ctx)
	defer x.stop()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	id, err := x.authority.Issue("entry", []identity.Role{identity.Entry}, now, now.Add(certificateTime))
	if err != nil {
		return nil, err
	}
	var count traffic
	pools := make([]*link.Pool, n)
	defer func() {
		for _, l := range pools {
			if l != nil { // nil after an error
				l.Close()
			}
		}
	}()
	before, start := memory(), currentUsage()
	for i := range pools {
		pools[i] = &link.Pool{Credentials: id, Roles: []identity.Role{identity.Agent}, Dial: dialCounting(func(link.Address) *traffic { return &count })}
		open := &wire.Open{Call: &wire.Open_LoadPoll{LoadPoll: &wire.LoadPoll{}}}
		if _, err := link.Call[wire.Frame](ctx, pools[i], x.agent, open); err != nil {
			return nil, err
		}
	}
	setUp := (currentUsage().cpu - start.cpu).Seconds() * 1000 / float64(n)
	time.Sleep(p.settle)
	size := memory() - before
	bytes, idle := count.bytes(), currentUsage()
	// 6 s with the full parameters, which covers two heartbeats: idle sessions send
	// one every 3 s.
	time.Sleep(p.window + p.window/2)
	cores, seconds := idle.cores(), time.Since(idle.wall).Seconds()
	return []float64{float64(n), size, cores, (count.bytes() - bytes) / seconds, setUp}, nil
}
