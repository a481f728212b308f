package scenario

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// requestSpec is a request as given in a script, and the status expected for it.
type requestSpec struct {
	status int // expected; below 10, the first digit of the status
	header http.Header
	method string
	url    string
	body   string
	retry  bool // until the status matches
}

func parseRequest(ts *testscript.TestScript, args []string) requestSpec {
	const usage = "request [-key K] [-header H:V] [-status N | -status Nxx] [-retry] METHOD URL [BODY | @FILE]"
	c := requestSpec{status: http.StatusOK, header: make(http.Header)}
	for len(args) >= 2 && strings.HasPrefix(args[0], "-") {
		switch args[0] {
		case "-retry":
			c.retry = true
			args = args[1:]
			continue
		case "-key":
			c.header.Set("Authorization", "Bearer "+args[1])
		case "-header":
			name, value, _ := strings.Cut(args[1], ":")
			c.header.Add(name, strings.TrimSpace(value))
		case "-status":
			n, err := strconv.Atoi(strings.TrimSuffix(args[1], "xx"))
			ts.Check(err)
			c.status = n
		default:
			ts.Fatalf("usage: %s", usage)
		}
		args = args[2:]
	}
	checkUsage(ts, false, args, 2, usage)
	c.method, c.url = args[0], args[1]
	if len(args) > 2 {
		c.body = args[2]
		if file, ok := strings.CutPrefix(c.body, "@"); ok {
			c.body = ts.ReadFile(file)
		}
	}
	return c
}

func request(ts *testscript.TestScript, neg bool, args []string) {
	c := parseRequest(ts, args)
	c.check(ts, neg, c.do(stateOf(ts).client))
}

// response is the result of a request.
type response struct {
	status int
	body   []byte
	err    error
}

// do sends the request; with retry it does so until the status matches or
// awaitTimeout has passed.
func (c requestSpec) do(client *http.Client) response {
	for end := time.Now().Add(awaitTimeout); ; time.Sleep(awaitPollInterval) {
		var o response
		o.status, o.body, o.err = c.send(client)
		if !c.retry || o.err == nil && c.statusMatches(o.status) || time.Now().After(end) {
			return o
		}
	}
}

func (c requestSpec) statusMatches(status int) bool {
	return status == c.status || status/100 == c.status
}

func (c requestSpec) check(ts *testscript.TestScript, neg bool, o response) {
	_, _ = ts.Stdout().Write(o.body)
	switch {
	case neg && o.err == nil:
		ts.Fatalf("%s %s: complete response with status %d", c.method, c.url, o.status)
	case neg:
	case o.err != nil:
		ts.Fatalf("%s %s: %v", c.method, c.url, o.err)
	case !c.statusMatches(o.status):
		ts.Fatalf("%s %s: status %d, want %d: %s", c.method, c.url, o.status, c.status, o.body)
	}
}

// pendingRequest is a request sent in the background.
type pendingRequest struct {
	requestSpec
	response
	done chan struct{}
}

// send implements "send NAME ARGS": it sends a request in the background.
func send(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 3, "send NAME [flags of request] METHOD URL [BODY]")
	st := stateOf(ts)
	if _, ok := st.pending[args[0]]; ok {
		ts.Fatalf("request %q was sent", args[0])
	}
	s := &pendingRequest{requestSpec: parseRequest(ts, args[1:]), done: make(chan struct{})}
	st.pending[args[0]] = s
	go func() {
		defer close(s.done)
		s.response = s.do(st.client)
	}()
}

// answer implements "answer NAME": it waits for the response to a pending request
// and checks it as request does.
func answer(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, false, args, 1, "answer NAME")
	s, ok := stateOf(ts).pending[args[0]]
	if !ok {
		ts.Fatalf("request %q was not sent", args[0])
	}
	delete(stateOf(ts).pending, args[0])
	<-s.done
	s.check(ts, neg, s.response)
}

func (c requestSpec) send(client *http.Client) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, c.url, strings.NewReader(c.body))
	if err != nil {
		return 0, nil, err
	}
	req.Header = c.header
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}
