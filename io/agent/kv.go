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
	// maxPrefills and maxMoves bound the prompts processed for other engines and
	// the KV caches on their way at one time.
	maxPrefills = 256
	maxMoves    = 64
	// A prompt is kept for promptTime, so that its KV cache can be asked for.
	promptTime      = 30 * time.Second
	maxPrompts      = 1024
	maxPromptBytes  = 64 << 20
	moveTimeout     = 5 * time.Second
	kvPartBytes     = 64 << 10
	maxPromptAnswer = 1 << 20 // bytes of the answer of one token
)

// ErrKV reports a KV cache that was not moved.
var ErrKV = errors.New("KV cache is not moved")

// prompts are those whose KV cache other agents may ask for. Agent.mu guards
// them.
type prompts struct {
	bodies   expiry.Map[fleet.RequestID, []byte]
	prefills int
	moves    int
}

// prefill has the engine process a prompt for an answer that another engine
// gives. Its one token is dropped and nothing is billed: the request runs at the
// other engine.
func (a *Agent) prefill(ctx context.Context, s *link.Stream, m *wire.Prefill) {
	answer := &wire.Prefilled{}
	body, err := a.receiveBody(s)
	defer a.release(len(body))
	if err == nil {
		ctx, cancel := context.WithCancel(ctx)
		s.SetContext(ctx)
		s.ReceiveTimeout = -1
		gone := make(chan struct{})
		go func() {
			defer close(gone)
			defer cancel() // nobody waits for the prompt any more
			var none wire.BodyPart
			_ = s.Receive(&none)
		}()
		defer func() {
			cancel()
			<-gone // the stream must not be closed beside Receive
		}()
		err = a.processPrompt(ctx, m, body)
	}
	if err != nil {
		a.Log.Info("prompt not processed", "request", idText(m.GetRequestId()), "error", err)
		answer.Failure = err.Error()
	}
	if err := s.Send(answer); err != nil {
		a.Log.Debug("stream ended early", "peer", s.Peer.Address, "error", err)
	}
}

func (a *Agent) processPrompt(ctx context.Context, m *wire.Prefill, body []byte) error {
	id, err := wire.DecodeRequestID(m.GetRequestId())
	if err != nil {
		return err
	}
	if !strings.HasPrefix(m.GetPath(), "/") || m.GetClass() > uint32(fleet.Urgent) {
		return errors.Wrapf(wire.ErrMessage, "path %q, class %d", m.GetPath(), m.GetClass())
	}
	deadline := time.Unix(0, m.GetDeadlineUnixNanos())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	one, err := oneToken(body)
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.Target.String()+m.GetPath(), bytes.NewReader(one))
	if err != nil {
		return errors.Wrap(wire.ErrMessage, err.Error())
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
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxPromptAnswer)); err != nil {
		return errors.Wrap(ErrTarget, err.Error())
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrTarget, "status %d", resp.StatusCode)
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.prompts.bodies.Put(now, id, one, int64(len(one)), now.Add(promptTime)) {
		return errors.Wrapf(ErrFull, "prompt of %d bytes", len(one))
	}
	return nil
}

// oneToken returns a completion request for the shortest answer to its prompt.
func oneToken(body []byte) ([]byte, error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(body, &m); err != nil || m == nil {
		return nil, errors.Wrapf(ErrBody, "no JSON object: %v", err)
	}
	for _, name := range []string{"max_completion_tokens", "stream", "stream_options"} {
		delete(m, name)
	}
	m["max_tokens"] = json.RawMessage("1")
	return json.Marshal(m)
}

// beginMove counts a KV cache on its way, unless there are too many.
func (a *Agent) beginMove() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.prompts.moves >= maxMoves {
		return false
	}
	a.prompts.moves++
	return true
}

func (a *Agent) endMove() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.prompts.moves--
}

// exportKV sends the KV cache of a prompt to another agent.
func (a *Agent) exportKV(ctx context.Context, s *link.Stream, m *wire.KVExport) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	err := a.export(ctx, s, m)
	last := &wire.KVPart{Last: err == nil}
	if err != nil {
		a.Log.Info("KV cache not exported", "request", idText(m.GetRequestId()), "error", err)
		last.Failure = err.Error()
	}
	if err := s.Send(last); err != nil {
		a.Log.Debug("stream ended early", "peer", s.Peer.Address, "error", err)
	}
}

func (a *Agent) export(ctx context.Context, s *link.Stream, m *wire.KVExport) error {
	id, err := wire.DecodeRequestID(m.GetRequestId())
	if err != nil {
		return err
	}
	a.mu.Lock()
	body, ok := a.prompts.bodies.Get(time.Now(), id)
	a.mu.Unlock()
	if !ok {
		return errors.Wrapf(ErrKV, "prompt of request %s is not known", id)
	}
	if !a.beginMove() {
		return errors.Wrapf(ErrFull, "%d KV caches on their way", maxMoves)
	}
	defer a.endMove()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.Target.String()+"/kv/export", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(ErrKV, err.Error())
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.pooled.RoundTrip(req)
	if err != nil {
		return errors.Wrap(ErrKV, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrKV, "status %d", resp.StatusCode)
	}
	buf := make([]byte, kvPartBytes)
	for total := 0; ; {
		n, err := resp.Body.Read(buf)
		if total += n; total > maxKVBytes {
			return errors.Wrapf(ErrKV, "more than %d bytes", maxKVBytes)
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
			return errors.Wrap(ErrKV, err.Error())
		}
	}
}

// importKV fetches the KV cache of a prompt from another agent and has the
// engine import it. Without it the engine processes the prompt again.
func (a *Agent) importKV(ctx context.Context, s *link.Stream, m *wire.KVImport) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	answer := &wire.KVImported{}
	n, err := a.fetchKV(ctx, m)
	answer.Bytes = n
	if err != nil {
		a.Log.Info("KV cache not imported", "request", idText(m.GetRequestId()), "error", err)
		answer.Failure = err.Error()
	}
	if err := s.Send(answer); err != nil {
		a.Log.Debug("stream ended early", "peer", s.Peer.Address, "error", err)
	}
}

func (a *Agent) fetchKV(ctx context.Context, m *wire.KVImport) (received uint64, err error) {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil || a.Links == nil {
		return 0, errors.Wrapf(ErrKV, "address %q, links %v", m.GetAddress(), a.Links != nil)
	}
	if !a.beginMove() {
		return 0, errors.Wrapf(ErrFull, "%d KV caches on their way", maxMoves)
	}
	defer a.endMove()
	ctx, cancel := context.WithCancel(ctx)
	from, err := a.Links.Open(ctx, link.Address{Host: fleet.Host(m.GetHost()), AddrPort: address}, &wire.KVExport{RequestId: m.GetRequestId()})
	if err != nil {
		cancel()
		return 0, err
	}
	r, w := io.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		n, err := pump(from, w)
		received = n
		_ = w.CloseWithError(err) // an import that breaks off changes nothing
	}()
	err = a.postKV(ctx, r)
	_ = r.Close()
	cancel()
	<-done
	_ = from.Close()
	return received, err
}

// pump writes the parts of a KV cache to w until the last.
func pump(from *link.Stream, w io.Writer) (n uint64, err error) {
	for {
		var part wire.KVPart
		if err := from.Receive(&part); err != nil {
			return n, errors.Wrap(ErrKV, err.Error())
		}
		if part.GetFailure() != "" {
			return n, errors.Wrap(ErrKV, part.GetFailure())
		}
		n += uint64(len(part.GetData()))
		if n > maxKVBytes {
			return n, errors.Wrapf(ErrKV, "more than %d bytes", maxKVBytes)
		}
		if _, err := w.Write(part.GetData()); err != nil {
			return n, err
		}
		if part.GetLast() {
			return n, nil
		}
	}
}

func (a *Agent) postKV(ctx context.Context, body io.Reader) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.Target.String()+"/kv/import", body)
	if err != nil {
		return errors.Wrap(ErrKV, err.Error())
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	resp, err := a.single.RoundTrip(req)
	if err != nil {
		return errors.Wrap(ErrKV, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStateBytes)); err != nil || resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrKV, "import: status %d, %v", resp.StatusCode, err)
	}
	return nil
}
