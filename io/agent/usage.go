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
	maxUsageBatch   = 500
	reportTimeout   = 5 * time.Second
	// bytesPerToken is used to estimate tokens if the target does not report them.
	bytesPerToken = 4
	// maxUsageEvents is how many events at the end of a stream are searched for
	// the usage member.
	maxUsageEvents = 4
)

// usageQueue assigns sequence numbers to usage records and keeps them until control
// acknowledges them.
type usageQueue struct {
	node        fleet.Host
	incarnation fleet.Incarnation
	retain      bool

	mu       sync.Mutex
	sequence uint64
	pending  []state.UsageRecord
	// reporting is held during a report, so that each batch is removed only once.
	reporting *semaphore.Weighted
}

func (l *usageQueue) add(r state.UsageRecord) state.UsageRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	r.ID = state.UsageID{Node: l.node, Incarnation: l.incarnation, Sequence: l.sequence}
	if l.retain {
		l.pending = append(l.pending, r)
	}
	return r
}

func (l *usageQueue) waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)
}

func (l *usageQueue) lastSequence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sequence
}

func (l *usageQueue) report(ctx context.Context, c Control) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := l.reporting.Acquire(ctx, 1); err != nil {
		return errors.Wrap(err, "wait for a concurrent report")
	}
	defer l.reporting.Release(1)
	l.mu.Lock()
	batch := append([]state.UsageRecord(nil), l.pending[:min(len(l.pending), maxUsageBatch)]...)
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

// countTokens returns the tokens of a request from the usage member of its answer.
// Without one it estimates them from the number of bytes. tail is the end of the
// answer, or all of it if its size equals length.
func countTokens(stream bool, prompt int, tail []byte, length uint64) (promptTokens, outputTokens uint64) {
	var u usageMember
	found := false
	switch {
	case stream:
		u, found = lastUsageEvent(tail)
	case uint64(len(tail)) == length && bytes.Contains(tail, []byte(`"usage"`)):
		found = json.Unmarshal(tail, &u) == nil
	}
	if found && u.Usage != nil {
		return u.Usage.PromptTokens, u.Usage.CompletionTokens
	}
	return (uint64(prompt) + bytesPerToken - 1) / bytesPerToken, (length + bytesPerToken - 1) / bytesPerToken
}

func lastUsageEvent(tail []byte) (usageMember, bool) {
	for range maxUsageEvents {
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
