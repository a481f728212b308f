// Command rig2 plays the cases of an independent review against the project's own
// programs, which it starts as separate processes on loopback addresses.
package main

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// Bounds of a small deployment, as its settings state them.
const (
	contact       = 4 * time.Second         // contact_ms
	drainTime     = 2500 * time.Millisecond // drain_ms
	heartbeatTime = 1200 * time.Millisecond // heartbeat_ms
	callTimeout   = time.Second             // of heartbeats and calls of the operator
	readyTimeout  = 20 * time.Second
	key           = "key-1"
	host          = "h.example"
	service       = "orders"
	replicas      = 3
)

//go:embed names.txt
var namesText string

// names are the names of the platform's interface.
var names = func() map[string]string {
	out := make(map[string]string)
	for line := range strings.Lines(namesText) {
		k, v, _ := strings.Cut(strings.TrimSpace(line), " ")
		out[k] = v
	}
	return out
}()

// record writes record.txt, with times in seconds from the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// process is a gateway or a registry replica.
type process struct {
	name, settings string
	mu             sync.Mutex
	cmd            *exec.Cmd
	done           chan struct{}
}

// rig is a deployment: machines with a registry replica and a gateway each.
type rig struct {
	*record
	ctx        context.Context
	dir        string
	trouble    bool
	registries []*process
	gateways   []*process
	operators  []string // addresses of the registry replicas for servers and the operator
	frontends  []string // addresses of the gateways for requesters
	readies    []string
	usage      string // address of the platform's API
	ports      [portCount]int
	version    uint64
}

// Ports, the same on all machines.
const (
	portLink = iota
	portOperator
	portFrontend
	portReady
	portCount
)

// subnet is the part of the loopback range that this process uses, so that scripts which run
// at the same time don't share addresses.
var subnet = fmt.Sprintf("127.%d.%d.", 64+os.Getpid()>>8&63, os.Getpid()&255)

// Last bytes of the addresses of machines and servers.
const (
	firstMachine = 10
	maxMachines  = 5
	firstServer  = 100
)

// ip returns the address of machine i.
func ip(i int) string { return subnet + strconv.Itoa(firstMachine+i) }

// freePorts fills list with different ports that are free on the addresses of all machines.
func freePorts(list []int) error {
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for i := range list {
		for machine := range maxMachines {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip(machine), list[i])) //nolint:noctx // ended at once
			if err != nil {
				return err
			}
			open = append(open, l)
			list[i] = l.Addr().(*net.TCPAddr).Port
		}
	}
	return nil
}

// newRig starts a deployment of replicas machines.
func newRig(ctx context.Context, rec *record, trouble bool, usage string) (*rig, error) {
	dir, err := os.MkdirTemp("", "papayarock-review-")
	if err != nil {
		return nil, err
	}
	r := &rig{record: rec, ctx: ctx, dir: dir, trouble: trouble, usage: usage}
	if err := freePorts(r.ports[:]); err != nil {
		return r, err
	}
	seeds := []int{0, 1, 2}
	for i := range replicas {
		r.addMachine(i)
	}
	for i := range replicas {
		if err := r.writeSettings(i, seeds, true); err != nil {
			return r, err
		}
	}
	for i := range replicas {
		if err := r.startMachine(i); err != nil {
			return r, err
		}
	}
	time.Sleep(time.Second) // the processes have read their settings
	for i := range replicas {
		if err := r.writeSettings(i, seeds, false); err != nil { // only the first start is a bootstrap
			return r, err
		}
	}
	return r, nil
}

// addMachine adds the addresses and processes of machine i, which must be the next one.
func (r *rig) addMachine(i int) {
	process := func(role string) *process {
		name := fmt.Sprintf("%s-%d", role, i)
		return &process{name: name, settings: filepath.Join(r.dir, name+".toml")}
	}
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip(i), r.ports[port]) }
	r.registries, r.gateways = append(r.registries, process("registry")), append(r.gateways, process("gateway"))
	r.operators = append(r.operators, address(portOperator))
	r.frontends = append(r.frontends, address(portFrontend))
	r.readies = append(r.readies, address(portReady))
}

// writeSettings writes the settings of the processes of machine i, as the templates of the
// deploy file make them.
func (r *rig) writeSettings(i int, seeds []int, bootstrap bool) error {
	var list []string
	for _, n := range seeds {
		list = append(list, fmt.Sprintf("%q", r.operators[n]))
	}
	common := fmt.Sprintf("host = \"m%d\"\nregion = \"r\"\ndata-centre = \"z%d\"\naddresses = [%q]\nshutdown-deadline = \"8s\"\n", i, i%replicas, ip(i)) +
		fmt.Sprintf("[links]\nplain = true\n[peers]\nseeds = [%s]\nlink-port = %d\n", strings.Join(list, ","), r.ports[portLink])
	zones := func(role string) (text string) {
		for z := range replicas {
			text += fmt.Sprintf("[[%s.data-centres]]\nname = \"z%d\"\nregion = \"r\"\n", role, z)
		}
		return text
	}
	gateway := fmt.Sprintf("[gateway]\nlisten = %q\nready = %q\nretry-share = 0.2\nretry-slack = 62.0\nretry-window = \"10s\"\nusage-window = \"5s\"\nmemory-mb = 284\n",
		r.frontends[i], r.readies[i])
	registry := fmt.Sprintf("[registry]\nlink = \"%s:%d\"\noperator = %q\ndata = %q\nform = %v\nlosses = 1\nusage = %q\nusage-window = \"5s\"\nusage-due = \"10s\"\nmemory-mb = 284\n",
		ip(i), r.ports[portLink], r.operators[i], filepath.Join(r.dir, r.registries[i].name), bootstrap, r.usage)
	return errors.Join(os.WriteFile(r.gateways[i].settings, []byte(common+gateway+zones("gateway")), 0o600),
		os.WriteFile(r.registries[i].settings, []byte(common+registry+zones("registry")), 0o600))
}

// startMachine starts the processes of machine i.
func (r *rig) startMachine(i int) error {
	return errors.Join(r.run(r.registries[i]), r.run(r.gateways[i]))
}

// killMachine kills the processes of machine i.
func (r *rig) killMachine(i int) {
	for _, p := range []*process{r.registries[i], r.gateways[i]} {
		r.signal(p, syscall.SIGKILL)
		<-p.done
	}
}

// run starts a process with the command of the deploy file.
func (r *rig) run(p *process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(r.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command("target/papayarock", "run", "--settings", p.settings) //nolint:noctx // ended by signals, as on the platform
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}(p.cmd, p.done)
	r.printf("started %s", p.name)
	return nil
}

// signal sends a signal to a process that the rig has started.
func (r *rig) signal(p *process, s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
		r.printf("%s: %v", p.name, s)
	}
}

// stop ends all processes and removes the files.
func (r *rig) stop() {
	for _, p := range append(append([]*process(nil), r.registries...), r.gateways...) {
		r.signal(p, syscall.SIGKILL)
		if p.done != nil {
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		r.printf("kept %s", r.dir)
	}
}

// call sends a call to a registry replica and returns its status, or 0 without an answer
// within a second.
func call(ctx context.Context, method, address, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if body != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	t := &http.Transport{DisableKeepAlives: true}
	a, err := (&http.Client{Transport: t}).Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, nil
	}
	return a.StatusCode, text
}

// manifest returns a manifest with one route for each kind of request.
func manifest(version uint64) []byte {
	route := func(name, kind string, attempts int, more string) string {
		return fmt.Sprintf(`{"name":%q,"hostname":%q,"path_prefix":"/%s/","type":%q,"timeout_ms":4000,"target_latency_ms":250,"priority":0,"service":%q,"attempts":%d,"public":false%s}`,
			name, host, name, kind, service, attempts, more)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s,%s],"services":[{"name":%q,"health_check_path":"/healthz","max_connections":130,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":[%q],"priority":1}]}`,
		version, route("read", "idempotent", 2, ""), route("order", "non_idempotent", 1, ""),
		route("stream", "streaming", 1, `,"resumable":false,"session_affinity":false,"target_itl_ms":250`), service, key)
}

// put sends a manifest to one replica after the other until it has a clear answer.
func (r *rig) put(text []byte) (int, error) {
	for n := range 100 {
		status, _ := call(r.ctx, http.MethodPost, r.operators[n%replicas], names["replace"], text)
		if status == http.StatusOK || status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			r.printf("operator: manifest of %d bytes answered %d", len(text), status)
			return status, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, errors.New("no clear answer to a manifest")
}

// ready reports whether gateway i answers its status check with 200.
func (r *rig) ready(i int) bool {
	status, _ := call(r.ctx, http.MethodGet, r.readies[i], "/readyz", nil)
	return status == http.StatusOK
}

// prepare sends the first manifest and waits until all gateways serve.
func (r *rig) prepare() error {
	r.version = 1
	if _, err := r.put(manifest(r.version)); err != nil {
		return err
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for i := range replicas {
			if r.ready(i) {
				n++
			}
		}
		if n == replicas {
			return nil
		}
	}
	return errors.New("gateways are not ready")
}

// arrival is a request that has reached a server.
type arrival struct {
	id, server string
	at         time.Time
}

// server is a stand-in for a replica of the service.
type server struct {
	r         *rig
	id        string
	zone      string
	service   string
	registry  func(n int) int // replica to which call n is sent
	work      time.Duration
	l         net.Listener
	http      *http.Server
	stopBeats context.CancelFunc

	mu       sync.Mutex
	born     time.Time
	sequence uint64
	beats    int
	arrivals []arrival
	finished map[string]int // complete runs by request
	lastBeat time.Time
}

// newServer starts a server of the service in zone i.
func (r *rig) newServer(i int, work time.Duration, registry func(n int) int) (*server, error) {
	l, err := net.Listen("tcp", subnet+strconv.Itoa(firstServer+i)+":0") //nolint:noctx // closed by exit
	if err != nil {
		return nil, err
	}
	s := &server{r: r, id: fmt.Sprintf("i-%d", i), zone: fmt.Sprintf("z%d", i%replicas), service: service, registry: registry, work: work, l: l, born: time.Now(), finished: make(map[string]int)}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(l) }()
	ctx, cancel := context.WithCancel(r.ctx)
	s.stopBeats = cancel
	go s.beat(ctx)
	return s, nil
}

// beat sends heartbeats until ctx ends.
func (s *server) beat(ctx context.Context) {
	for ctx.Err() == nil {
		s.beatOnce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatTime):
		}
	}
}

// beatOnce sends one heartbeat to the replicas in turn until one acknowledges it.
func (s *server) beatOnce(ctx context.Context) {
	s.mu.Lock()
	s.sequence++
	body := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":%d}`,
		s.service, s.l.Addr(), s.zone, s.sequence, s.born.UnixMilli())
	s.mu.Unlock()
	for range replicas {
		s.mu.Lock()
		n := s.registry(s.beats) % replicas
		s.beats++
		s.mu.Unlock()
		if status, _ := call(ctx, http.MethodPost, s.r.operators[n], names["heartbeat"]+s.id, body); status == http.StatusOK {
			s.mu.Lock()
			s.lastBeat = time.Now()
			s.mu.Unlock()
			s.r.printf("%s: heartbeat acknowledged by registry-%d", s.id, n)
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// exit ends the server with its connections.
func (s *server) exit() {
	s.stopBeats()
	_ = s.http.Close()
	s.r.printf("%s: exits", s.id)
}

// ServeHTTP runs a request, unless it expects another replica.
func (s *server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if want := q.Header.Get(names["expect"]); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set(names["not-run"], "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id, s.id, time.Now()})
	s.mu.Unlock()
	_, _ = io.Copy(io.Discard, q.Body)
	select {
	case <-time.After(s.work):
	case <-q.Context().Done():
		return
	}
	w.Header().Set(names["signature"], "sig-"+s.id+"-"+id)
	if strings.HasPrefix(q.URL.Path, "/stream/") {
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range events {
			_, _ = io.WriteString(w, event(id, n+1))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(eventPause)
		}
	} else {
		_, _ = io.WriteString(w, answer(id))
	}
	if q.Context().Err() == nil {
		s.mu.Lock()
		s.finished[id]++
		s.mu.Unlock()
	}
}

// Events of a stream.
const (
	events     = 8
	eventPause = 100 * time.Millisecond
)

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id) }

func answer(id string) string { return strings.Repeat("answer to "+id+"\n", 20) }

// outcome is what a requester has seen of a request.
type outcome struct {
	id         string
	gateway    int
	sent       time.Time
	status     int // 0 without an answer
	signed, ok bool
}

// send sends one request to a gateway.
func (r *rig) send(c *http.Client, gateway int, path, id string) outcome {
	o := outcome{id: id, gateway: gateway, sent: time.Now()}
	ctx, cancel := context.WithTimeout(r.ctx, 5*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.frontends[gateway]+path+id, strings.NewReader("order "+id))
	if err != nil {
		return o
	}
	q.Host = host
	q.Header.Set("X-Request-Id", id)
	q.Header.Set(names["deadline"], "4000")
	q.Header.Set("Authorization", "Bearer "+key)
	a, err := c.Do(q)
	if err != nil {
		return o
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	o.status, o.signed = a.StatusCode, a.Header.Get(names["signature"]) != ""
	o.ok = err == nil && string(text) == answer(id)
	return o
}

// usageSink stands in for the platform's API.
func usageSink(ctx context.Context, rec *record) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		var in json.RawMessage
		if json.NewDecoder(q.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		rec.printf("platform: %s from %s with token %s: %s", q.URL.Path, q.Header.Get(names["holder"]), q.Header.Get(names["token"]), in)
	})}
	go func() { _ = s.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(r *rig) (int, error){
	"sign-off":   signOff,
	"manifest":   invalidManifest,
	"half-close": halfClose,
	"replaced":   replacedCore,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns its exit code.
func play(name, path string) int {
	c := cases[name]
	file, err := os.Create(path)
	if c == nil || err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", name, err)
		return failed
	}
	defer func() { _ = file.Close() }()
	rec := &record{file: file, start: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	usage, err := usageSink(ctx, rec)
	if err != nil {
		rec.printf("cannot run: %v", err)
		return failed
	}
	r, err := newRig(ctx, rec, os.Getenv("TROUBLE") != "0", usage)
	if r != nil {
		defer r.stop()
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
		go func() {
			<-signals
			r.stop()
			os.Exit(failed)
		}()
	}
	code := failed
	if err == nil {
		code, err = c(r)
	}
	if err != nil {
		rec.printf("cannot run: %v", err)
		return failed
	}
	rec.printf("exit %d", code)
	return code
}
