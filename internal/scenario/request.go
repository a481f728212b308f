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

// call is one request of a script.
type call struct {
	status int // below 10, the first digit of the status
	header http.Header
	method string
	url    string
	body   string
	retry  bool // until the status is right
}

func readCall(ts *testscript.TestScript, args []string) call {
	const usage = "request [-key K] [-header H:V] [-status N | -status Nxx] [-retry] METHOD URL [BODY | @FILE]"
	c := call{status: http.StatusOK, header: make(http.Header)}
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
	positive(ts, false, args, 2, usage)
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
	c := readCall(ts, args)
	c.judge(ts, neg, c.do(of(ts).client))
}

// outcome is what became of a call.
type outcome struct {
	status int
	body   []byte
	err    error
}

// do sends a call, with retry until its status is right.
func (c call) do(client *http.Client) outcome {
	for end := time.Now().Add(awaitLimit); ; time.Sleep(awaitInterval) {
		var o outcome
		o.status, o.body, o.err = c.send(client)
		if !c.retry || o.err == nil && c.right(o.status) || time.Now().After(end) {
			return o
		}
	}
}

func (c call) right(status int) bool {
	return status == c.status || status/100 == c.status
}

func (c call) judge(ts *testscript.TestScript, neg bool, o outcome) {
	_, _ = ts.Stdout().Write(o.body)
	switch {
	case neg && o.err == nil:
		ts.Fatalf("%s %s: whole answer with status %d", c.method, c.url, o.status)
	case neg:
	case o.err != nil:
		ts.Fatalf("%s %s: %v", c.method, c.url, o.err)
	case !c.right(o.status):
		ts.Fatalf("%s %s: status %d, want %d: %s", c.method, c.url, o.status, c.status, o.body)
	}
}

// sent is a request under way.
type sent struct {
	call
	outcome
	done chan struct{}
}

// send is the command "send NAME ARGS", request in the background.
func send(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg, args, 3, "send NAME [flags of request] METHOD URL [BODY]")
	w := of(ts)
	if _, ok := w.sent[args[0]]; ok {
		ts.Fatalf("request %q was sent", args[0])
	}
	s := &sent{call: readCall(ts, args[1:]), done: make(chan struct{})}
	w.sent[args[0]] = s
	go func() {
		defer close(s.done)
		s.outcome = s.do(w.client)
	}()
}

// answer is the command "answer NAME": it waits for the answer to a request
// under way and judges it as request does.
func answer(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, false, args, 1, "answer NAME")
	s, ok := of(ts).sent[args[0]]
	if !ok {
		ts.Fatalf("request %q was not sent", args[0])
	}
	delete(of(ts).sent, args[0])
	<-s.done
	s.judge(ts, neg, s.outcome)
}

func (c call) send(client *http.Client) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
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
