package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// halfClose has a share of 0.3 of the requesters end their side of the connection while a
// server runs their request, and read what still comes. What looks like a success must be one.
func halfClose(r *rig) (int, error) {
	const (
		servers    = 3
		requests   = 30
		period     = 150 * time.Millisecond // all are sent in 4.5 s
		leaveOrder = 100 * time.Millisecond
		leaveOther = 500 * time.Millisecond // after two events of a stream or so
	)
	var list []*server
	for i := range servers {
		s, err := r.newServer(i, 300*time.Millisecond, func(n int) int { return n })
		if err != nil {
			return failed, err
		}
		defer s.exit()
		list = append(list, s)
	}
	if err := r.prepare(); err != nil {
		return failed, err
	}
	time.Sleep(3 * heartbeatTime)
	results := make(chan result, requests)
	for n := range requests {
		path, after := "/order/", leaveOrder
		if n%2 == 1 {
			path, after = "/stream/", leaveOther
		}
		if !r.trouble || n%10 >= 3 {
			after = 0
		}
		go func() {
			correct, err := r.leave(n, path, after)
			results <- result{correct, err}
		}()
		time.Sleep(period)
	}
	code := held
	for range requests {
		x := <-results
		if x.err != nil {
			return failed, x.err
		}
		if !x.correct {
			code = broken
		}
	}
	for _, s := range list {
		s.mu.Lock()
		r.printf("%s: %d complete runs of %d arrivals", s.id, len(s.finished), len(s.arrivals))
		s.mu.Unlock()
	}
	return code, nil
}

// result is that of leave.
type result struct {
	correct bool
	err     error
}

// leave sends a request, ends the sending side of its connection after a while unless that is
// zero, and reads the answer. It returns false if the answer looks like a complete success and isn't one.
func (r *rig) leave(n int, path string, after time.Duration) (bool, error) {
	id := fmt.Sprintf("h-%d", n)
	c, err := net.Dial("tcp", r.frontends[n%replicas]) //nolint:noctx // ends with the case
	if err != nil {
		return false, err
	}
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%s: 4000\r\nAuthorization: Bearer %s\r\nContent-Length: 5\r\n\r\nhello",
		path, id, host, id, names["deadline"], key)
	if err != nil {
		return false, err
	}
	if after > 0 {
		time.AfterFunc(after, func() { _ = c.(*net.TCPConn).CloseWrite() })
	}
	if err := c.SetReadDeadline(time.Now().Add(callTimeout + 4*time.Second)); err != nil {
		return false, err
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.printf("%s %s, leaves after %v: no answer: %v", path, id, after, err)
		return true, nil
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	signed := a.Header.Get(names["signature"]) != ""
	want := answer(id)
	if path == "/stream/" {
		want = ""
		for k := range events {
			want += event(id, k+1)
		}
	}
	whole := string(text) == want
	r.printf("%s %s, leaves after %v: answered %d, signed %v, %d events, %d of %d bytes, the end is proper: %v", path, id, after, a.StatusCode, signed, strings.Count(string(text), "id: "), len(text), len(want), err == nil)
	return a.StatusCode >= http.StatusMultipleChoices || err != nil || signed && whole, nil
}
