package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"papayarock/core/fleet"
	"papayarock/core/state"
)

const (
	maxUsageWaiting = 100_000
	usageBatch      = 500
	reportTimeout   = 5 * time.Second
	// bytesPerToken estimates tokens where the target does not count them.
	bytesPerToken = 4
	// The usage member of a stream is in one of its last events.
	usageEvents = 4
)

// ledger numbers usage records and keeps them until control acknowledges them.
type ledger struct {
	node        fleet.Host
	incarnation fleet.Incarnation
	keep        bool

	mu      sync.Mutex
	next    uint64
	pending []state.UsageRecord
	// turn is held while reporting, so that a batch is dropped once.
	turn *semaphore.Weighted
}

func (l *ledger) add(r state.UsageRecord) state.UsageRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	r.ID = state.UsageID{Node: l.node, Incarnation: l.incarnation, Sequence: l.next}
	if l.keep {
		l.pending = append(l.pending, r)
	}
	return r
}

func (l *ledger) waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)
}

func (l *ledger) last() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next
}

func (l *ledger) report(ctx context.Context, c Control) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := l.turn.Acquire(ctx, 1); err != nil {
		return errors.Wrap(err, "wait for another report")
	}
	defer l.turn.Release(1)
	l.mu.Lock()
	batch := append([]state.UsageRecord(nil), l.pending[:min(len(l.pending), usageBatch)]...)
	l.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	if err := c.ReportUsage(ctx, batch); err != nil {
		return errors.Wrapf(err, "report %d usage records", len(batch))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending[:0], l.pending[len(batch):]...)
	return nil
}

type usageMember struct {
	Usage *struct {
		PromptTokens     uint64 `json:"prompt_tokens"`
		CompletionTokens uint64 `json:"completion_tokens"`
	} `json:"usage"`
}

// countTokens returns the tokens of a request from the usage member of its
// answer, or else from bytes. tail is the last part of the answer, which is
// the whole of it if length says so.
func countTokens(stream bool, prompt int, tail []byte, length uint64) (in, out uint64) {
	var u usageMember
	found := false
	switch {
	case stream:
		u, found = lastEvent(tail)
	case uint64(len(tail)) == length && bytes.Contains(tail, []byte(`"usage"`)):
		found = json.Unmarshal(tail, &u) == nil
	}
	if found && u.Usage != nil {
		return u.Usage.PromptTokens, u.Usage.CompletionTokens
	}
	return (uint64(prompt) + bytesPerToken - 1) / bytesPerToken, (length + bytesPerToken - 1) / bytesPerToken
}

func lastEvent(tail []byte) (usageMember, bool) {
	for range usageEvents {
		tail = bytes.TrimRight(tail, "\r\n ")
		start := bytes.LastIndexByte(tail, '\n') + 1
		line := tail[start:]
		tail = tail[:start]
		var u usageMember
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok && json.Unmarshal(data, &u) == nil && u.Usage != nil {
			return u, true
		}
		if start == 0 {
			break
		}
	}
	return usageMember{}, false
}
