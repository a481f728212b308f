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
	// maxUsageWaiting is the number of unacknowledged records from which on new
	// requests are refused, and maxUsageBatch the number of records in one report.
	maxUsageWaiting = 100_000
	maxUsageBatch   = 500
	reportTimeout   = 5 * time.Second
	// bytesPerToken is used to estimate tokens if the target does not report them.
	bytesPerToken = 4
	// maxUsageLines is how many non-empty lines at the end of an event stream are
	// searched for the usage member.
	maxUsageLines = 4
)

// usageQueue assigns sequence numbers to usage records and keeps them until control
// acknowledges them.
type usageQueue struct {
	node        fleet.Host
	incarnation fleet.Incarnation
	retain      bool // false if there is no control plane to report to

	mu       sync.Mutex
	sequence uint64 // of the last record
	pending  []state.UsageRecord
	// reporting is held during a report, so that each batch is removed only once.
	reporting *semaphore.Weighted
}

func (q *usageQueue) add(r state.UsageRecord) state.UsageRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence++
	r.ID = state.UsageID{Node: q.node, Incarnation: q.incarnation, Sequence: q.sequence}
	if q.retain {
		q.pending = append(q.pending, r)
	}
	return r
}

func (q *usageQueue) waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending)
}

func (q *usageQueue) lastSequence() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.sequence
}

// report reports the oldest records, up to maxUsageBatch, and removes them once control
// acknowledges them.
func (q *usageQueue) report(ctx context.Context, c Control) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := q.reporting.Acquire(ctx, 1); err != nil {
		return errors.Wrap(err, "wait for a concurrent report")
	}
	defer q.reporting.Release(1)
	q.mu.Lock()
	batch := append([]state.UsageRecord(nil), q.pending[:min(len(q.pending), maxUsageBatch)]...)
	q.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	if err := c.ReportUsage(ctx, batch); err != nil {
		return errors.Wrapf(err, "report %d usage records", len(batch))
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = append(q.pending[:0], q.pending[len(batch):]...)
	return nil
}

// responseUsage is the part of a completion API's response, or of an event of its
// stream, that states the token counts.
type responseUsage struct {
	Usage *struct {
		PromptTokens     uint64 `json:"prompt_tokens"`
		CompletionTokens uint64 `json:"completion_tokens"`
	} `json:"usage"`
}

// countTokens returns the token counts of a request from the usage member of its
// response. Without one it estimates them from the sizes of the prompt and of the
// response, in bytes. tail is the end of the response, or all of it if its size equals
// length.
func countTokens(eventStream bool, promptBytes int, tail []byte, length uint64) (promptTokens, outputTokens uint64) {
	var u responseUsage
	found := false
	switch {
	case eventStream:
		u, found = lastUsageEvent(tail)
	case uint64(len(tail)) == length && bytes.Contains(tail, []byte(`"usage"`)):
		found = json.Unmarshal(tail, &u) == nil
	}
	if found && u.Usage != nil {
		return u.Usage.PromptTokens, u.Usage.CompletionTokens
	}
	return (uint64(promptBytes) + bytesPerToken - 1) / bytesPerToken, (length + bytesPerToken - 1) / bytesPerToken
}

// lastUsageEvent returns the last event in tail that has a usage member. It searches at
// most maxUsageLines non-empty lines from the end.
func lastUsageEvent(tail []byte) (responseUsage, bool) {
	for range maxUsageLines {
		tail = bytes.TrimRight(tail, "\r\n ")
		start := bytes.LastIndexByte(tail, '\n') + 1
		line := tail[start:]
		tail = tail[:start]
		var u responseUsage
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok && json.Unmarshal(data, &u) == nil && u.Usage != nil {
			return u, true
		}
		if start == 0 {
			break
		}
	}
	return responseUsage{}, false
}
