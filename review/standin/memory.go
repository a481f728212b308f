package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// usualUploads is the number of large bodies that are usually on their way to the
	// gateway at a time.
	usualUploads = 21
	// burstUploads is that in a burst of 1.9 times the traffic.
	burstUploads = 39
	// smallCallers is the number of callers with small requests. With those of the burst
	// they are fewer than the 70 callers of the site.
	smallCallers = 30
)

// uploadBytes is the size of a large body, the limit of the document.
const uploadBytes = 4194304

// watchMemory does what the platform does: it kills a process that uses more than its
// memory. It returns the peak, in MB.
func watchMemory(ctx context.Context, r *record, p *process, killed *atomic.Bool) (peak int) {
	for ctx.Err() == nil && p.running() {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid()))
		if err != nil {
			return peak
		}
		_, rest, _ := strings.Cut(string(text), "VmRSS:")
		var kib int
		_, _ = fmt.Sscan(rest, &kib)
		peak = max(peak, kib>>10)
		if kib > memoryMB<<10 {
			r.say("gateway %s uses %d MB, its limit is %d MB: killed by the platform", p.name, kib>>10, memoryMB)
			killed.Store(true)
			p.signal(syscall.SIGKILL)
			return peak
		}
		time.Sleep(5 * time.Millisecond)
	}
	return peak
}

// slowBody is a body that is sent over some time, as by a caller with a slow link.
type slowBody struct {
	left int
	rate int // bytes per second
	buf  []byte
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.left, 64<<10)
	time.Sleep(time.Duration(n) * time.Second / time.Duration(b.rate))
	copy(p[:n], b.buf)
	b.left -= n
	return n, nil
}

// memoryCase plays a burst of requests with large bodies, each within the limits of the
// document, beside small requests.
func memoryCase(r *record, binary, dir string, trouble bool) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	usage, err := servePlatform(ctx)
	if err != nil {
		r.say("cannot run: %v", err)
		return notRun
	}
	d, err := newDeployment(r, dir, binary, options{gateways: 1, usage: usage})
	if err != nil {
		r.say("cannot run: %v", err)
		return notRun
	}
	defer d.stop()
	routes := []route{{"order", "/order/", "non_idempotent", 1200, 1}, {"upload", "/upload/", "idempotent", 10000, 2}}
	if err := d.put(document(3, routes), 20*time.Second); err != nil {
		r.say("cannot run: %v", err)
		return notRun
	}
	var targets []*target
	for i, name := range []string{"i-1", "i-2", "i-3"} {
		t, err := newTarget(r, name, 60*time.Millisecond, d.controls, i)
		if err != nil {
			r.say("cannot run: %v", err)
			return notRun
		}
		defer t.end()
		targets = append(targets, t)
		go t.announce(ctx)
	}
	if !d.ready(20 * time.Second) {
		r.say("cannot run: the gateway is not ready")
		return notRun
	}
	time.Sleep(contactTime + time.Second)
	var killed atomic.Bool
	peak := make(chan int, 1)
	go func() { peak <- watchMemory(ctx, r, d.gateways[0], &killed) }()
	c := &callers{record: r, fronts: d.fronts}
	callCtx, stopCalls := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for range smallCallers {
		wg.Go(func() { c.steady(callCtx, 0, "/order/", 20*time.Millisecond) })
	}
	time.Sleep(3 * time.Second)
	// Three rounds; the second one is the burst.
	for round := range 3 {
		n := usualUploads
		if trouble && round == 1 {
			n = burstUploads
		}
		r.say("%d callers send a body of %d bytes each, in about 3 s", n, uploadBytes)
		var uploading sync.WaitGroup
		for range n {
			uploading.Go(func() {
				client := newClient()
				defer client.CloseIdleConnections()
				body := &slowBody{left: uploadBytes, rate: uploadBytes / 3, buf: bytes.Repeat([]byte("b"), 64<<10)}
				c.send(client, 0, "/upload/", body, uploadBytes, 10*time.Second)
			})
		}
		uploading.Wait()
	}
	time.Sleep(time.Second)
	stopCalls()
	wg.Wait()
	cancel()
	lost, served := 0, 0
	for _, o := range c.list {
		if o.status == 200 && o.whole {
			served++
		}
		for _, t := range targets {
			if o.path == "/order/" && o.status == 0 && t.ran(o.id) {
				lost++
				r.line("lost: %s was run by %s, its caller got no answer", o.id, t.name)
			}
		}
	}
	r.say("%d requests, %d served, peak %d MB; %d orders that a target ran ended without an answer on a kept connection", len(c.list), served, <-peak, lost)
	if killed.Load() && lost > 3 {
		r.say("LOST broken")
		return broken
	}
	r.say("LOST held")
	return held
}
