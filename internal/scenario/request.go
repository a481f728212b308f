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
	status int
	header http.Header
	method string
	url    string
	body   string
	retry  bool // until the status is right
}

func readCall(ts *testscript.TestScript, args []string) call {
	const usage = "request [-key K] [-header H:V] [-status N] [-retry] METHOD URL [BODY | @FILE]"
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
			n, err := strconv.Atoi(args[1])
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
	status, body, err := c.send(of(ts).client)
	for end := time.Now().Add(awaitLimit); c.retry && (err != nil || status != c.status) && time.Now().Before(end); {
		time.Sleep(awaitInterval)
		status, body, err = c.send(of(ts).client)
	}
	_, _ = ts.Stdout().Write(body)
	switch {
	case neg && err == nil:
		ts.Fatalf("%s %s: whole answer with status %d", c.method, c.url, status)
	case neg:
	case err != nil:
		ts.Fatalf("%s %s: %v", c.method, c.url, err)
	case status != c.status:
		ts.Fatalf("%s %s: status %d, want %d: %s", c.method, c.url, status, c.status, body)
	}
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
