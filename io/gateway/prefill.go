package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"papayarock/core/catalog"
	"papayarock/core/place"
	"papayarock/core/retry"
	"papayarock/core/roster"
	"papayarock/io/upstream"
)

const (
	// splitTokens is the length of a prompt from which a prefill engine reads
	// it: half a piece of about a thousand tokens, in which engines read. A
	// decode engine reads less in one step or two.
	splitTokens = 512
	// maxHandleBytes bounds the answer of an engine that has read a prompt.
	maxHandleBytes = 4 << 10
	// releaseTimeout bounds the call that drops a KV cache. It expires anyway.
	releaseTimeout = time.Second
	bitsPerByte    = 8
	bitsPerMbit    = 1e6
)

// splits reports whether a prefill engine should read the prompt.
func (j *job) splits() bool {
	return j.route.Kind == catalog.Stream && j.ask.Prompt >= splitTokens && j.after == ""
}

// transfer is the time to move the KV cache of the prompt within a data centre.
func (j *job) transfer() time.Duration {
	p, ok := j.index.Pool(j.pool)
	if !ok || p.Engine == nil || p.Engine.LinkMbps <= 0 {
		return 0
	}
	bits := float64(j.ask.Prompt) * float64(p.Engine.BytesPerToken) * bitsPerByte
	return time.Duration(bits / (p.Engine.LinkMbps * bitsPerMbit) * float64(time.Second))
}

// prefill has a prefill engine read the prompt. It returns the KV cache, or what
// is known of the attempt; reading a prompt is not a run of the request.
func (j *job) prefill(ctx context.Context, to roster.Record) (Cache, retry.Execution) {
	a := &attempt{job: j, to: to, sent: time.Now(), prefill: true}
	j.target = to.Target
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := a.exchange(ctx, Forward{Prefill: true})
	if err != nil {
		return Cache{}, min(a.unanswered(err), retry.Barred)
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxHandleBytes))
	v := j.g.o.Dialect.Verdict(r.Status, r.Header)
	outcome, handle := place.Served, ""
	switch {
	case err != nil:
		outcome = place.Failed
	case v.Misdirected:
		outcome = place.Gone
	case v.NotRun:
		outcome = place.NotRun
	case r.Status != http.StatusOK:
		outcome = place.Erred
	default:
		if handle, err = j.g.o.Dialect.Handle(body); err != nil {
			outcome = place.Failed
		}
	}
	if outcome == place.Served {
		a.started()
		a.ended(outcome)
		return Cache{Source: to.Address, Handle: handle}, retry.NotSent
	}
	a.ended(outcome)
	j.g.log.Info("prompt not read", "id", j.ask.ID, "target", to.Target, "status", r.Status, "outcome", outcome, "error", err)
	return Cache{}, retry.Barred
}

// release has a target drop a KV cache that nobody takes.
func (j *job) release(source roster.Record, c Cache) {
	method, uri := j.g.o.Dialect.Release(c.Handle)
	id := j.ask.ID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		r, err := j.g.o.Conns.Do(ctx, endpoint(source), &upstream.Request{Method: method, URI: uri, Host: source.Address.String()})
		if err != nil {
			j.g.log.Debug("KV cache not dropped", "id", id, "target", source.Target, "error", err)
			return
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxHandleBytes))
		_ = r.Body.Close()
	}()
}
