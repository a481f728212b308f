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
	status int // expected status, or its first digit if given as Nxx
	header http.Header
	method string
	url    string
	body   string
	retry  bool // resend until the status matches
}

// parseRequest parses the arguments of the command request.
func parseRequest(ts *testscript.TestScript, args []string) requestSpec {
	const usage = "request [-key K] [-header H:V] [-status N | -status Nxx] [-retry] METHOD URL [BODY | @FILE]"
	s := requestSpec{status: http.StatusOK, header: make(http.Header)}
	for len(args) >= 2 && strings.HasPrefix(args[0], "-") {
		switch args[0] {
		case "-retry":
			s.retry = true
			args = args[1:]
			continue
		case "-key":
			s.header.Set("Authorization", "Bearer "+args[1])
		case "-header":
			name, value, _ := strings.Cut(args[1], ":")
			s.header.Add(name, strings.TrimSpace(value))
		case "-status":
			n, err := strconv.Atoi(strings.TrimSuffix(args[1], "xx"))
			ts.Check(err)
			s.status = n
		default:
			ts.Fatalf("usage: %s", usage)
		}
		args = args[2:]
	}
	checkUsage(ts, false, args, 2, usage)
	s.method, s.url = args[0], args[1]
	if len(args) > 2 {
		s.body = args[2]
		if file, ok := strings.CutPrefix(s.body, "@"); ok {
			s.body = ts.ReadFile(file)
		}
	}
	return s
}

// request implements the command request: it sends a request and checks the
// response.
func request(ts *testscript.TestScript, neg bool, args []string) {
	s := parseRequest(ts, args)
	s.check(ts, neg, s.do(stateOf(ts).client))
}

// response is the result of a request.
type response struct {
	status int
	body   []byte
	err    error
}

// do sends the request; with retry it does so until the status matches or
// awaitTimeout has passed.
func (s requestSpec) do(client *http.Client) response {
	for end := time.Now().Add(awaitTimeout); ; time.Sleep(awaitPollInterval) {
		var r response
		r.status, r.body, r.err = s.send(client)
		if !s.retry || r.err == nil && s.statusMatches(r.status) || time.Now().After(end) {
			return r
		}
	}
}

func (s requestSpec) statusMatches(status int) bool {
	return status == s.status || status/100 == s.status
}

// check fails the script if the request failed or its status does not match; with
// neg, if the response is complete. It writes the body to the script's stdout.
func (s requestSpec) check(ts *testscript.TestScript, neg bool, r response) {
	_, _ = ts.Stdout().Write(r.body)
	switch {
	case neg && r.err == nil:
		ts.Fatalf("%s %s: complete response with status %d", s.method, s.url, r.status)
	case neg:
	case r.err != nil:
		ts.Fatalf("%s %s: %v", s.method, s.url, r.err)
	case !s.statusMatches(r.status):
		ts.Fatalf("%s %s: status %d, want %d: %s", s.method, s.url, r.status, s.status, r.body)
	}
}

// pendingRequest is a request sent in the background. Its response is set before
// done is closed.
type pendingRequest struct {
	requestSpec
	response
	done chan struct{}
}

// send implements "send NAME ARGS": it sends a request in the background. ARGS are
// those of the command request.
func send(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 3, "send NAME [options of request] METHOD URL [BODY | @FILE]")
	st := stateOf(ts)
	if _, ok := st.pending[args[0]]; ok {
		ts.Fatalf("request %q was sent", args[0])
	}
	p := &pendingRequest{requestSpec: parseRequest(ts, args[1:]), done: make(chan struct{})}
	st.pending[args[0]] = p
	go func() {
		defer close(p.done)
		p.response = p.do(st.client)
	}()
}

// answer implements "answer NAME": it waits for the response to a pending request
// and checks it as request does.
func answer(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, false, args, 1, "answer NAME")
	p, ok := stateOf(ts).pending[args[0]]
	if !ok {
		ts.Fatalf("request %q was not sent", args[0])
	}
	delete(stateOf(ts).pending, args[0])
	<-p.done
	p.check(ts, neg, p.response)
}

// send sends the request once and returns the status and body of the response.
func (s requestSpec) send(client *http.Client) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, s.method, s.url, strings.NewReader(s.body))
	if err != nil {
		return 0, nil, err
	}
	req.Header = s.header
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}
