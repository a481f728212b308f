package fake

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	blockTokens    = 16
	maxCacheEvents = 4096 // older events are lost
	maxKVBytes     = 256 << 20
)

// BlockHashes returns the chained hash of each whole block of a prompt, as
// cache events name them. A hash covers the blocks before its own.
func BlockHashes(prompt string) []uint64 { return blockHashes(strings.Fields(prompt)) }

func blockHashes(words []string) []uint64 {
	var hashes []uint64
	d := xxhash.New()
	for i, w := range words {
		_, _ = d.WriteString(w + " ")
		if (i+1)%blockTokens == 0 {
			hashes = append(hashes, d.Sum64())
		}
	}
	return hashes
}

// CacheEvent tells that a prompt block entered or left the prefix cache.
type CacheEvent struct {
	Sequence uint64    `json:"sequence"` // from 1; a gap means lost events
	Kind     string    `json:"kind"`     // stored or removed
	Block    string    `json:"block"`    // hash in hexadecimal
	At       time.Time `json:"at"`
}

// prefixCache keeps prompt blocks, the least recently used first.
type prefixCache struct {
	blocks   []uint64
	events   []CacheEvent
	sequence uint64
}

// match returns the number of leading tokens of a prompt in the cache.
func (c *prefixCache) match(prompt []string) int {
	n := 0
	for _, h := range blockHashes(prompt) {
		if !c.touch(h) {
			break
		}
		n += blockTokens
	}
	return n
}

func (c *prefixCache) touch(h uint64) bool {
	i := slices.Index(c.blocks, h)
	if i < 0 {
		return false
	}
	c.blocks = append(slices.Delete(c.blocks, i, i+1), h)
	return true
}

func (c *prefixCache) store(prompt []string, limit, gapEvery int) {
	c.add(blockHashes(prompt), limit, gapEvery)
}

func (c *prefixCache) add(hashes []uint64, limit, gapEvery int) {
	if limit <= 0 {
		return
	}
	for _, h := range hashes {
		if c.touch(h) {
			continue
		}
		c.blocks = append(c.blocks, h)
		c.record("stored", h, gapEvery)
		if len(c.blocks) > limit {
			c.record("removed", c.blocks[0], gapEvery)
			c.blocks = c.blocks[1:]
		}
	}
}

func (c *prefixCache) record(kind string, h uint64, gapEvery int) {
	c.sequence++
	if gapEvery > 0 && c.sequence%uint64(gapEvery) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Kind: kind, Block: strconv.FormatUint(h, 16), At: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// serveEvents returns the events after the sequence number "after" that are
// older than EventLag.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	e.mu.Lock()
	published := time.Now().Add(-e.EventLag)
	events := []CacheEvent{}
	for _, ev := range e.cache.events {
		if ev.Sequence > after && !ev.At.After(published) {
			events = append(events, ev)
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

// kvHeader is the first line of exported KV cache; Bytes bytes follow it.
type kvHeader struct {
	Blocks []uint64 `json:"blocks"`
	Bytes  int      `json:"bytes"`
}

// exportKV writes the cached blocks of a prompt, {"prompt": "..."}.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var in completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&in); err != nil {
		apiError(w, http.StatusBadRequest, "request body: "+err.Error())
		return
	}
	e.mu.Lock()
	n := e.cache.match(in.words())
	e.mu.Unlock()
	head := kvHeader{Blocks: blockHashes(in.words())[:n/blockTokens], Bytes: n * e.KVBytesPerToken}
	w.Header().Set("Content-Type", "application/octet-stream")
	if json.NewEncoder(w).Encode(head) == nil {
		_, _ = io.CopyN(w, zeros{}, int64(head.Bytes))
	}
}

// importKV takes what exportKV wrote. An incomplete import changes nothing.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	body := bufio.NewReader(http.MaxBytesReader(w, r.Body, maxKVBytes))
	line, err := body.ReadBytes('\n')
	var head kvHeader
	if err == nil {
		err = json.Unmarshal(line, &head)
	}
	if err != nil {
		apiError(w, http.StatusBadRequest, "KV header: "+err.Error())
		return
	}
	if n, err := io.Copy(io.Discard, body); err != nil || n != int64(head.Bytes) {
		apiError(w, http.StatusBadRequest, fmt.Sprintf("%d of %d KV bytes", n, head.Bytes))
		return
	}
	e.mu.Lock()
	e.cache.add(head.Blocks, e.CacheBlocks, e.EventGapEvery)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"blocks": len(head.Blocks)})
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
