package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/expiry"
	"papayarock/core/fleet"
	"papayarock/io/link"
	"papayarock/io/wire"
)

const (
	// maxKVBytes bounds the KV cache of one prompt.
	maxKVBytes = 256 << 20
	// maxPrefills bounds the prefills for other engines that are in progress at one
	// time, and maxTransfers the KV cache transfers.
	maxPrefills  = 256
	maxTransfers = 64
	// After a prefill the prompt is retained for promptRetention, so that another
	// agent can request its KV cache. maxPrompts and maxPromptBytes bound the
	// retained prompts.
	promptRetention         = 30 * time.Second
	maxPrompts              = 1024
	maxPromptBytes          = 64 << 20
	transferTimeout         = 5 * time.Second
	kvPartBytes             = 64 << 10
	maxPrefillResponseBytes = 1 << 20 // of the target's response to a prefill, with one token
)

// ErrKVTransfer reports a failed transfer of a KV cache.
var ErrKVTransfer = errors.New("KV cache transfer failed")

// promptStore holds the prompts whose KV cache other agents may request, and the
// numbers of prefills and transfers in progress. It is guarded by Agent.mu.
type promptStore struct {
	bodies    expiry.Map[fleet.RequestID, []byte] // request bodies with the prompts, as sent to the engine
	prefills  int
	transfers int
}

// handlePrefill has the engine process the prompt of a request that will run at another
// engine, which imports the KV cache. The one token that this engine generates is
// discarded, and this agent records no usage, since the agent of the other engine does.
func (a *Agent) handlePrefill(ctx context.Context, s *link.Stream, m *wire.Prefill) {
	reply := &wire.Prefilled{}
	body, err := a.receiveRequestBody(s)
	defer a.releaseBody(len(body))
	if err == nil {
		ctx, cancel := context.WithCancel(ctx)
		s.SetContext(ctx)
		s.ReceiveTimeout = -1
		streamClosed := make(chan struct{})
		go func() {
			defer close(streamClosed)
			defer cancel() // stops the prefill when the entry closes the stream
			var part wire.BodyPart
			_ = s.Receive(&part)
		}()
		defer func() {
			cancel()
			<-streamClosed // the stream must not be closed during Receive
		}()
		err = a.processPrompt(ctx, m, body)
	}
	if err != nil {
		a.Log.Info("prefill failed", "request", formatRequestID(m.GetRequestId()), "error", err)
		reply.Failure = err.Error()
	}
	if err := s.Send(reply); err != nil {
		a.Log.Debug("sending the reply to a prefill failed", "peer", s.Peer.Address, "error", err)
	}
}

// processPrompt sends the prompt in body to the engine and retains it.
func (a *Agent) processPrompt(ctx context.Context, m *wire.Prefill, body []byte) error {
	id, err := wire.DecodeRequestID(m.GetRequestId())
	if err != nil {
		return err
	}
	if !strings.HasPrefix(m.GetPath(), "/") || m.GetClass() > uint32(fleet.Urgent) {
		return errors.Wrapf(wire.ErrInvalidMessage, "prefill: path %q or class %d is invalid", m.GetPath(), m.GetClass())
	}
	deadline := time.Unix(0, m.GetDeadlineUnixNanos())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	prompt, err := singleTokenRequest(body)
	if err != nil {
		return err
	}
	a.mu.Lock()
	ok := !a.refusing() && a.prompts.prefills < maxPrefills
	if ok {
		a.prompts.prefills++
	}
	a.mu.Unlock()
	if !ok {
		return errors.Wrapf(ErrDraining, "target %q", a.Announcement.Name)
	}
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.prompts.prefills--
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.TargetURL.String()+m.GetPath(), bytes.NewReader(prompt))
	if err != nil {
		return errors.Wrap(wire.ErrInvalidMessage, err.Error())
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Request-Id", id.String()+"-prompt")
	req.Header.Set("Papayarock-Class", fleet.Class(m.GetClass()).String())
	if m.GetCustomer() != "" {
		req.Header.Set("Papayarock-Customer", m.GetCustomer())
	}
	resp, err := a.pooled.RoundTrip(req)
	if err != nil {
		return errors.Wrap(ErrTarget, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxPrefillResponseBytes)); err != nil {
		return errors.Wrap(ErrTarget, err.Error())
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrTarget, "prefill: status %d", resp.StatusCode)
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.prompts.bodies.Put(now, id, prompt, int64(len(prompt)), now.Add(promptRetention)) {
		return errors.Wrapf(ErrCapacity, "prompt of %d bytes is too large to be retained", len(prompt))
	}
	return nil
}

// singleTokenRequest returns body changed to request a single output token.
func singleTokenRequest(body []byte) ([]byte, error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(body, &m); err != nil || m == nil {
		return nil, errors.Wrapf(ErrBody, "body is not a JSON object: %v", err)
	}
	for _, name := range []string{"max_completion_tokens", "stream", "stream_options"} {
		delete(m, name)
	}
	m["max_tokens"] = json.RawMessage("1")
	return json.Marshal(m)
}

// beginTransfer counts a KV cache transfer. It returns false if maxTransfers are
// in progress.
func (a *Agent) beginTransfer() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.prompts.transfers >= maxTransfers {
		return false
	}
	a.prompts.transfers++
	return true
}

func (a *Agent) endTransfer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.prompts.transfers--
}

// handleKVExport sends the KV cache of a prompt to another agent.
func (a *Agent) handleKVExport(ctx context.Context, s *link.Stream, m *wire.KVExport) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	err := a.sendKV(ctx, s, m)
	last := &wire.KVPart{Last: err == nil}
	if err != nil {
		a.Log.Info("KV cache export failed", "request", formatRequestID(m.GetRequestId()), "error", err)
		last.Failure = err.Error()
	}
	if err := s.Send(last); err != nil {
		a.Log.Debug("sending the end of a KV cache failed", "peer", s.Peer.Address, "error", err)
	}
}

// sendKV requests the KV cache of a retained prompt from the engine and sends its parts.
func (a *Agent) sendKV(ctx context.Context, s *link.Stream, m *wire.KVExport) error {
	id, err := wire.DecodeRequestID(m.GetRequestId())
	if err != nil {
		return err
	}
	a.mu.Lock()
	body, ok := a.prompts.bodies.Get(time.Now(), id)
	a.mu.Unlock()
	if !ok {
		return errors.Wrapf(ErrKVTransfer, "prompt of request %s is not retained", id)
	}
	if !a.beginTransfer() {
		return errors.Wrapf(ErrCapacity, "%d KV cache transfers in progress", maxTransfers)
	}
	defer a.endTransfer()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.TargetURL.String()+"/kv/export", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(ErrKVTransfer, err.Error())
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.pooled.RoundTrip(req)
	if err != nil {
		return errors.Wrap(ErrKVTransfer, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrKVTransfer, "export: status %d", resp.StatusCode)
	}
	buf := make([]byte, kvPartBytes)
	for total := 0; ; {
		n, err := resp.Body.Read(buf)
		if total += n; total > maxKVBytes {
			return errors.Wrapf(ErrKVTransfer, "more than %d bytes", maxKVBytes)
		}
		if n > 0 {
			if err := s.Send(&wire.KVPart{Data: buf[:n]}); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Wrap(ErrKVTransfer, err.Error())
		}
	}
}

// handleKVImport fetches the KV cache of a prompt from another agent and has the engine
// import it. If that fails, the engine processes the prompt itself.
func (a *Agent) handleKVImport(ctx context.Context, s *link.Stream, m *wire.KVImport) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	reply := &wire.KVImported{}
	n, err := a.fetchKV(ctx, m)
	reply.Bytes = n
	if err != nil {
		a.Log.Info("KV cache import failed", "request", formatRequestID(m.GetRequestId()), "error", err)
		reply.Failure = err.Error()
	}
	if err := s.Send(reply); err != nil {
		a.Log.Debug("sending the reply to a KV cache import failed", "peer", s.Peer.Address, "error", err)
	}
}

// fetchKV transfers a KV cache from another agent to the engine, and returns the
// number of bytes received.
func (a *Agent) fetchKV(ctx context.Context, m *wire.KVImport) (received uint64, err error) {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil || a.Links == nil {
		return 0, errors.Wrapf(ErrKVTransfer, "address %q is invalid or there are no links to other agents (links: %v)", m.GetAddress(), a.Links != nil)
	}
	if !a.beginTransfer() {
		return 0, errors.Wrapf(ErrCapacity, "%d KV cache transfers in progress", maxTransfers)
	}
	defer a.endTransfer()
	ctx, cancel := context.WithCancel(ctx)
	source, err := a.Links.Open(ctx, link.Address{Host: fleet.Host(m.GetHost()), AddrPort: address}, &wire.KVExport{RequestId: m.GetRequestId()})
	if err != nil {
		cancel()
		return 0, err
	}
	r, w := io.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		n, err := copyKV(source, w)
		received = n
		_ = w.CloseWithError(err) // the engine ignores an incomplete import
	}()
	err = a.postKV(ctx, r)
	_ = r.Close()
	cancel()
	<-done
	_ = source.Close()
	return received, err
}

// copyKV receives the parts of a KV cache and writes them to w, up to the last
// part. It returns the number of bytes received.
func copyKV(source *link.Stream, w io.Writer) (n uint64, err error) {
	for {
		var part wire.KVPart
		if err := source.Receive(&part); err != nil {
			return n, errors.Wrap(ErrKVTransfer, err.Error())
		}
		if part.GetFailure() != "" {
			return n, errors.Wrap(ErrKVTransfer, part.GetFailure())
		}
		n += uint64(len(part.GetData()))
		if n > maxKVBytes {
			return n, errors.Wrapf(ErrKVTransfer, "more than %d bytes", maxKVBytes)
		}
		if _, err := w.Write(part.GetData()); err != nil {
			return n, err
		}
		if part.GetLast() {
			return n, nil
		}
	}
}

// postKV has the engine import the KV cache in body.
func (a *Agent) postKV(ctx context.Context, body io.Reader) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.TargetURL.String()+"/kv/import", body)
	if err != nil {
		return errors.Wrap(ErrKVTransfer, err.Error())
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	resp, err := a.single.RoundTrip(req)
	if err != nil {
		return errors.Wrap(ErrKVTransfer, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStateBytes)); err != nil || resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrKVTransfer, "import: status %d, error %v", resp.StatusCode, err)
	}
	return nil
}
