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
	Incarnation uint64    `json:"incarnation"` // of the engine; a crash loses the cache
	Sequence    uint64    `json:"sequence"`    // from 1 in each incarnation; a gap means lost events
	Kind        string    `json:"kind"`        // stored, removed, or cleared for all blocks
	Block       string    `json:"block"`       // hash in hexadecimal
	Tokens      int       `json:"tokens"`      // of the prefix that ends with the block
	At          time.Time `json:"at"`
}

// cacheListing is the whole content of a prefix cache after the event with the
// sequence number.
type cacheListing struct {
	Incarnation uint64        `json:"incarnation"`
	Sequence    uint64        `json:"sequence"`
	Blocks      []listedBlock `json:"blocks"`
}

type listedBlock struct {
	Block  string `json:"block"`
	Tokens int    `json:"tokens"`
}

// prefixCache keeps prompt blocks, the least recently used first.
type prefixCache struct {
	blocks   []cachedBlock
	events   []CacheEvent
	sequence uint64
}

type cachedBlock struct {
	hash   uint64
	tokens int
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
	i := slices.IndexFunc(c.blocks, func(b cachedBlock) bool { return b.hash == h })
	if i < 0 {
		return false
	}
	b := c.blocks[i]
	c.blocks = append(slices.Delete(c.blocks, i, i+1), b)
	return true
}

func (c *prefixCache) store(prompt []string, limit, gapEvery int) {
	c.add(blockHashes(prompt), limit, gapEvery)
}

// add stores the blocks of one prompt, from its beginning.
func (c *prefixCache) add(hashes []uint64, limit, gapEvery int) {
	if limit <= 0 {
		return
	}
	for i, h := range hashes {
		if c.touch(h) {
			continue
		}
		b := cachedBlock{h, (i + 1) * blockTokens}
		c.blocks = append(c.blocks, b)
		c.record("stored", b, gapEvery)
		if len(c.blocks) > limit {
			c.record("removed", c.blocks[0], gapEvery)
			c.blocks = c.blocks[1:]
		}
	}
}

// clear loses the whole content, as an engine does when it is rebuilt.
func (c *prefixCache) clear() {
	if len(c.blocks) > 0 {
		c.record("cleared", cachedBlock{}, 0)
	}
	c.blocks = nil
}

func (c *prefixCache) record(kind string, b cachedBlock, gapEvery int) {
	c.sequence++
	if gapEvery > 0 && c.sequence%uint64(gapEvery) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{
		Sequence: c.sequence, Kind: kind, Block: strconv.FormatUint(b.hash, 16), Tokens: b.tokens, At: time.Now(),
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// serveEvents returns the events after the sequence number "after" that are
// older than EventLag. With another "incarnation" than the engine's it returns
// all.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	e.mu.Lock()
	if i := r.FormValue("incarnation"); i != "" && i != strconv.FormatUint(e.incarnation(), 10) {
		after = 0
	}
	published := time.Now().Add(-e.EventLag)
	events := []CacheEvent{}
	for _, ev := range e.cache.events {
		if ev.Sequence > after && !ev.At.After(published) {
			ev.Incarnation = e.incarnation()
			events = append(events, ev)
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

// incarnation changes whenever the cache and its sequence numbers are lost.
func (e *Engine) incarnation() uint64 { return uint64(e.generation) + 1 }

// serveCache lists the whole content of the prefix cache.
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
	if e.faults.LoseKV {
		e.cache.clear()
	}
	n := e.cache.match(in.words())
	crashed := e.crashed
	e.mu.Unlock()
	head := kvHeader{Blocks: blockHashes(in.words())[:n/blockTokens], Bytes: n * e.KVBytesPerToken}
	w.Header().Set("Content-Type", "application/octet-stream")
	if json.NewEncoder(w).Encode(head) != nil {
		return
	}
	_, _ = io.CopyN(w, zeros{}, int64(head.Bytes/2))
	_ = http.NewResponseController(w).Flush()
	wait(e.KVTime, crashed)
	e.crashOnce(func(f *EngineFaults) *bool { return &f.CrashInExport }, crashed)
	if _, err := io.CopyN(w, zeros{}, int64(head.Bytes-head.Bytes/2)); err == nil {
		e.mu.Lock()
		e.counts.Exports++
		e.mu.Unlock()
	}
}

// crashOnce crashes the engine if a fault is set, and ends the call of an engine
// that has crashed.
func (e *Engine) crashOnce(fault func(f *EngineFaults) *bool, crashed <-chan struct{}) {
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
	crashed := e.crashed
	e.mu.Unlock()
	e.crashOnce(func(f *EngineFaults) *bool { return &f.CrashInImport }, crashed)
	e.mu.Lock()
	e.counts.Imports++
	e.cache.add(head.Blocks, e.CacheBlocks, e.EventGapEvery)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"blocks": len(head.Blocks)})
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
