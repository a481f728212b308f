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
	// minSplitPromptTokens is the minimum prompt length for a separate prefill. It is
	// half of a chunk, the about 1,000 tokens that an engine processes per step. A
	// decode engine processes a shorter prompt in one or two steps.
	minSplitPromptTokens = 512
	// maxPrefillResponseBytes limits what is read of the response to a prefill or
	// release request.
	maxPrefillResponseBytes = 4 << 10
	// releaseTimeout limits the request that drops a KV cache. If it fails, the cache
	// expires on its own.
	releaseTimeout = time.Second
	bitsPerByte    = 8
	bitsPerMbit    = 1e6
)

// splitsPrefill reports whether a separate prefill engine should process the prompt and a
// decode engine the rest of the request.
// A stream that the caller resumes is not split.
func (j *job) splitsPrefill() bool {
	return j.route.Kind == catalog.Stream && j.params.PromptTokens >= minSplitPromptTokens && j.lastEventID == ""
}

// kvCacheTransferTime estimates the time to transfer the KV cache of the prompt within
// a data centre.
func (j *job) kvCacheTransferTime() time.Duration {
	p, ok := j.index.Pool(j.pool)
	if !ok || p.Engine == nil || p.Engine.LinkMbps <= 0 {
		return 0
	}
	bits := float64(j.prompt().Tokens) * float64(p.Engine.BytesPerToken) * bitsPerByte
	return time.Duration(bits / (p.Engine.LinkMbps * bitsPerMbit) * float64(time.Second))
}

// prefill has a prefill engine process the prompt. If that fails, the returned KVCacheRef
// is empty. A prefill alone does not count as execution of the request, so the returned
// execution state never exceeds Barred.
func (j *job) prefill(ctx context.Context, choice place.Choice) (KVCacheRef, retry.Execution) {
	to := choice.Target
	a := &attempt{job: j, record: to, sent: time.Now(), prefillOnly: true, uncached: choice.Uncached, expectedFirst: choice.Expected}
	j.target, j.prefillTarget = to.Target, to.Target
	ctx, stall := a.watchStream(ctx)
	a.stall = stall
	defer stall.stop()
	r, err := a.exchange(ctx, ForwardInfo{Prefill: true, FetchFrom: choice.FetchFrom})
	if err != nil {
		return KVCacheRef{}, min(a.handleNoResponse(err), retry.Barred)
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxPrefillResponseBytes))
	info := a.decodeResponse(r)
	outcome, handle := place.Served, ""
	switch {
	case err != nil:
		outcome = place.Failed
	case info.Misdirected:
		outcome = place.Gone
	case info.NotExecuted:
		outcome = place.RejectedFull
	case r.Status != http.StatusOK:
		outcome = place.Erred
	default:
		if handle, err = j.g.options.HeaderCodec.DecodeKVCacheHandle(body); err != nil {
			outcome = place.Failed
		}
	}
	if outcome == place.Served {
		a.reportFirstEvent()
		a.reportOutcome(outcome)
		return KVCacheRef{Source: to.Address, Handle: handle}, retry.NotSent
	}
	a.reportOutcome(outcome)
	j.g.log.Info("prefill failed", "id", j.params.ID, "target", to.Target, "status", r.Status, "outcome", outcome, "error", err)
	return KVCacheRef{}, retry.Barred
}

// releaseKVCache asks a prefill engine, in the background, to drop an unused KV cache. If
// the engine wants no requests, the cache is left to expire.
func (j *job) releaseKVCache(source roster.Record, c KVCacheRef) {
	j.g.mu.Lock()
	paused := j.g.placer.Paused(time.Now(), source)
	j.g.mu.Unlock()
	if paused {
		return
	}
	method, uri := j.g.options.HeaderCodec.KVCacheReleaseRequest(c.Handle)
	id := j.params.ID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		r, err := j.g.options.Upstream.Do(ctx, endpoint(source), &upstream.Request{Method: method, URI: uri, Host: source.Address.String()})
		if err != nil {
			j.g.log.Info("releasing KV cache failed", "id", id, "target", source.Target, "error", err)
			return
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxPrefillResponseBytes))
		_ = r.Body.Close()
	}()
}
