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

// halfClose has requesters end their side of the connection while a server runs their
// request, and read what still comes. What looks like a success must be one.
func halfClose(r *rig) (int, error) {
	s, err := r.newServer(0, 300*time.Millisecond, func(n int) int { return n })
	if err != nil {
		return failed, err
	}
	defer s.exit()
	if err := r.prepare(); err != nil {
		return failed, err
	}
	time.Sleep(3 * heartbeatTime)
	code := held
	for n := range 20 {
		path, leaveAfter := "/order/", 100*time.Millisecond
		if n%2 == 1 {
			path, leaveAfter = "/stream/", 500*time.Millisecond // after two events or so
		}
		correct, err := r.leave(n, path, leaveAfter)
		if err != nil {
			return failed, err
		}
		if !correct {
			code = broken
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.printf("complete runs at the server: %d of %d arrivals", len(s.finished), len(s.arrivals))
	return code, nil
}

// leave sends a request, ends the sending side of its connection after a while, and reads the
// answer. It returns false if the answer looks like a complete success and isn't one.
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
	if r.trouble {
		time.AfterFunc(after, func() { _ = c.(*net.TCPConn).CloseWrite() })
	}
	if err := c.SetReadDeadline(time.Now().Add(callTimeout + 4*time.Second)); err != nil {
		return false, err
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.printf("%s %s: no answer: %v", path, id, err)
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
	r.printf("%s %s: answered %d, signed %v, %d events, %d of %d bytes, the end is proper: %v", path, id, a.StatusCode, signed, strings.Count(string(text), "id: "), len(text), len(want), err == nil)
	return a.StatusCode >= http.StatusMultipleChoices || err != nil || signed && whole, nil
}
