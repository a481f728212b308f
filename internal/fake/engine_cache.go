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
	maxCacheEvents = 4096      // older events are dropped
	maxKVBytes     = 256 << 20 // maximum size of one import
)

// BlockHashes returns the hash of each complete block of a prompt, which identifies
// the block in cache events. A hash covers the prompt up to the end of its block.
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

// CacheEvent reports a change of the prefix cache.
type CacheEvent struct {
	Incarnation uint64    `json:"incarnation"` // number of the engine's run; a crash, which clears the cache, starts a new one
	Sequence    uint64    `json:"sequence"`    // from 1 in each incarnation; a gap means lost events
	Kind        string    `json:"kind"`        // stored or removed for one block, cleared for all blocks
	Block       string    `json:"block"`       // hash in hexadecimal
	Tokens      int       `json:"tokens"`      // length of the prefix that ends with the block
	At          time.Time `json:"at"`
}

// cacheListing is the response to GET /cache: the content of the prefix cache
// after the event with number Sequence. EventLag does not delay it.
type cacheListing struct {
	Incarnation uint64        `json:"incarnation"`
	Sequence    uint64        `json:"sequence"`
	Blocks      []listedBlock `json:"blocks"`
}

type listedBlock struct {
	Block  string `json:"block"`
	Tokens int    `json:"tokens"`
}

// prefixCache is an LRU cache of prompt blocks.
type prefixCache struct {
	blocks   []cachedBlock // least recently used first
	events   []CacheEvent
	sequence uint64
}

type cachedBlock struct {
	hash   uint64
	tokens int
}

// match returns the length in tokens of the cached prefix of a prompt and marks
// its blocks as used.
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

// touch marks a block as the most recently used one and reports whether it is
// cached.
func (c *prefixCache) touch(h uint64) bool {
	i := slices.IndexFunc(c.blocks, func(b cachedBlock) bool { return b.hash == h })
	if i < 0 {
		return false
	}
	b := c.blocks[i]
	c.blocks = append(slices.Delete(c.blocks, i, i+1), b)
	return true
}

func (c *prefixCache) storePrompt(prompt []string, capacity, eventGapEvery int) {
	c.storeBlocks(blockHashes(prompt), capacity, eventGapEvery)
}

// storeBlocks adds consecutive blocks from the start of a prompt and evicts the
// least recently used blocks above capacity.
func (c *prefixCache) storeBlocks(hashes []uint64, capacity, eventGapEvery int) {
	if capacity <= 0 {
		return
	}
	for i, h := range hashes {
		if c.touch(h) {
			continue
		}
		b := cachedBlock{h, (i + 1) * blockTokens}
		c.blocks = append(c.blocks, b)
		c.record("stored", b, eventGapEvery)
		if len(c.blocks) > capacity {
			c.record("removed", c.blocks[0], eventGapEvery)
			c.blocks = c.blocks[1:]
		}
	}
}

// clear removes all blocks. EventGapEvery does not apply to its event.
func (c *prefixCache) clear() {
	if len(c.blocks) > 0 {
		c.record("cleared", cachedBlock{}, 0)
	}
	c.blocks = nil
}

// record numbers an event and appends it, unless the number is a multiple of a
// positive eventGapEvery.
func (c *prefixCache) record(kind string, b cachedBlock, eventGapEvery int) {
	c.sequence++
	if eventGapEvery > 0 && c.sequence%uint64(eventGapEvery) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{
		Sequence: c.sequence, Kind: kind, Block: strconv.FormatUint(b.hash, 16), Tokens: b.tokens, At: time.Now(),
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// serveEvents returns the events that follow the sequence number in parameter
// "after" and are at least EventLag old. If parameter "incarnation" names
// another incarnation, "after" is ignored.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	e.mu.Lock()
	if i := r.FormValue("incarnation"); i != "" && i != strconv.FormatUint(e.incarnation(), 10) {
		after = 0
	}
	cutoff := time.Now().Add(-e.EventLag)
	events := []CacheEvent{}
	for _, ev := range e.cache.events {
		if ev.Sequence > after && !ev.At.After(cutoff) {
			ev.Incarnation = e.incarnation()
			events = append(events, ev)
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

// incarnation returns a number that changes when a crash clears the cache and
// resets its sequence numbers.
func (e *Engine) incarnation() uint64 { return uint64(e.generation) + 1 }

// serveCache lists all blocks of the prefix cache.
func (e *Engine) serveCache(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := cacheListing{Incarnation: e.incarnation(), Sequence: e.cache.sequence, Blocks: []listedBlock{}}
	for _, b := range e.cache.blocks {
		l.Blocks = append(l.Blocks, listedBlock{strconv.FormatUint(b.hash, 16), b.tokens})
	}
	e.counts.CacheListings++
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, l)
}

// kvHeader is the first line of an export of KV cache. The data follows it.
type kvHeader struct {
	Blocks []uint64 `json:"blocks"` // hashes
	Bytes  int      `json:"bytes"`  // size of the data
}

// exportKV writes the cached blocks of the prompt in the request body,
// {"prompt": "..."}. It waits for KVTime when it has written half of the data, so
// that CrashInExport truncates the export.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "request body: "+err.Error())
		return
	}
	e.mu.Lock()
	if e.faults.LoseKV {
		e.cache.clear()
	}
	n := e.cache.match(req.promptTokens())
	crashed := e.crashed
	e.mu.Unlock()
	header := kvHeader{Blocks: blockHashes(req.promptTokens())[:n/blockTokens], Bytes: n * e.KVBytesPerToken}
	w.Header().Set("Content-Type", "application/octet-stream")
	if json.NewEncoder(w).Encode(header) != nil {
		return
	}
	_, _ = io.CopyN(w, zeroReader{}, int64(header.Bytes/2))
	_ = http.NewResponseController(w).Flush()
	waitUnlessCrashed(e.KVTime, crashed)
	e.crashIfSet(func(f *EngineFaults) *bool { return &f.CrashInExport }, crashed)
	if _, err := io.CopyN(w, zeroReader{}, int64(header.Bytes-header.Bytes/2)); err == nil {
		e.mu.Lock()
		e.counts.Exports++
		e.mu.Unlock()
	}
}

// crashIfSet crashes the engine if the fault is set, and clears the fault. It
// aborts the request if the engine has crashed.
func (e *Engine) crashIfSet(fault func(f *EngineFaults) *bool, crashed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if set := fault(&e.faults); *set {
		*set = false
		e.crash()
	}
	select {
	case <-crashed:
		panic(http.ErrAbortHandler)
	default:
	}
}

// importKV adds the blocks of an export to the prefix cache. It rejects a truncated
// export without changing the cache.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	body := bufio.NewReader(http.MaxBytesReader(w, r.Body, maxKVBytes))
	line, err := body.ReadBytes('\n')
	var header kvHeader
	if err == nil {
		err = json.Unmarshal(line, &header)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "KV header: "+err.Error())
		return
	}
	if n, err := io.Copy(io.Discard, body); err != nil || n != int64(header.Bytes) {
		writeError(w, http.StatusBadRequest, fmt.Sprintf("KV data has %d bytes, the header says %d", n, header.Bytes))
		return
	}
	e.mu.Lock()
	crashed := e.crashed
	e.mu.Unlock()
	e.crashIfSet(func(f *EngineFaults) *bool { return &f.CrashInImport }, crashed)
	e.mu.Lock()
	e.counts.Imports++
	e.cache.storeBlocks(header.Blocks, e.CacheBlocks, e.EventGapEvery)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"blocks": len(header.Blocks)})
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
