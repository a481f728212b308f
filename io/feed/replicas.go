package feed

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// maxReplicas limits the number of replicas to connect to.
	maxReplicas = 32
	// reconnectDelay is the delay before a new stream replaces one that ended.
	reconnectDelay = 250 * time.Millisecond
	// forgetAfter is how long a replica is followed that is not named any more.
	forgetAfter = time.Minute
)

// replicaFeed is the state of the feed to one replica. It is guarded by Client.mu.
type replicaFeed struct {
	address   netip.AddrPort
	stop      context.CancelFunc
	lastNamed time.Time // when the replica was last named as a seed or member
	lastAlive time.Time // when the feed was last connected; until then, when it was started
	connected bool      // the current stream has delivered an update
}

// countConnected implements Connected. The caller holds mu.
func (c *Client) countConnected() int {
	n := 0
	for _, f := range c.feeds {
		if f.connected {
			n++
		}
	}
	return n
}

// startFeeds records that addresses were named as seeds or members, and starts a feed to
// each one that has none yet. Once there are maxReplicas feeds, a new one takes the place of
// one to a replica that does not answer; if there is none, the address is ignored until it is
// named again.
func (c *Client) startFeeds(ctx context.Context, addresses []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	// In a fixed order, the same dead replicas would take each other's places for ever.
	for _, i := range rand.Perm(len(addresses)) {
		address := addresses[i]
		f := c.feeds[address]
		if f == nil {
			if ctx.Err() != nil || len(c.feeds) >= maxReplicas && !c.dropDeadFeed(now) {
				continue
			}
			feedCtx, stop := context.WithCancel(ctx)
			f = &replicaFeed{address: address, stop: stop, lastAlive: now}
			c.feeds[address] = f
			c.wg.Go(func() { c.maintainFeed(ctx, feedCtx, f) })
		}
		f.lastNamed = now
	}
}

// dropDeadFeed ends the feed that has not been connected for the longest time, and reports
// whether there was one. Seeds are kept, and so are feeds that have not had the time to open
// a stream. The caller holds mu.
func (c *Client) dropDeadFeed(now time.Time) bool {
	var dead *replicaFeed
	for _, f := range c.feeds {
		if f.connected || now.Sub(f.lastAlive) < idleTimeout || slices.Contains(c.seeds, f.address) {
			continue
		}
		if dead == nil || f.lastAlive.Before(dead.lastAlive) {
			dead = f
		}
	}
	if dead == nil {
		return false
	}
	c.options.Log.Info("feed replaced by one to another replica", "replica", dead.address, "silent", now.Sub(dead.lastAlive))
	delete(c.feeds, dead.address)
	dead.stop()
	return true
}

// maintainFeed runs the streams to one replica, one after the other. It returns when ctx,
// which is that of the feed, is cancelled, or when a stream ends, the replica is not a seed
// and it has not been named as a member within forgetAfter.
func (c *Client) maintainFeed(serveCtx, ctx context.Context, f *replicaFeed) {
	defer f.stop()
	var failures uint64 // streams without an update, one after the other
	for ctx.Err() == nil {
		err := c.runStream(serveCtx, ctx, f)
		connected, forget := c.endStream(f)
		switch {
		case connected:
			failures = 0
			c.options.Log.Warn("feed lost", "replica", f.address, "left", c.Connected(), "error", err)
		case ctx.Err() == nil:
			// The streams 1, 2, 4, 8 and so on are logged, since a replica may be gone for long.
			if failures++; failures&(failures-1) == 0 {
				c.options.Log.Info("feed ended before its first update", "replica", f.address, "times", failures, "error", err)
			}
		}
		if forget {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// endStream records that the stream of a feed has ended. It reports whether the stream was
// connected, and whether the feed has ended with it.
func (c *Client) endStream(f *replicaFeed) (connected, forget bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.connected {
		f.connected, connected, f.lastAlive = false, true, time.Now()
	}
	forget = time.Since(f.lastNamed) > forgetAfter && !slices.Contains(c.seeds, f.address)
	if forget && c.feeds[f.address] == f {
		delete(c.feeds, f.address)
	}
	return connected, forget
}
