package logstream

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"papayarock/core/fleet"
	"papayarock/io/link"
	"papayarock/io/wire"
)

const (
	// maxQueuedMessages limits the messages queued for one peer. Further messages
	// are dropped; the replicated log resends what it needs.
	maxQueuedMessages = 256
	// messageTimeout is the time limit for writing one message. A stream that
	// exceeds it is replaced, because its connection may have failed.
	messageTimeout = time.Second
	// idleTimeout is how long a received stream may carry no message before it is
	// closed. A leader sends heartbeats to each member, so a stream from a leader that
	// carries none is no longer in use. The timeout is much longer than the heartbeat
	// interval, because a stream between two followers carries no messages either.
	idleTimeout = 10 * time.Minute
	// reconnectDelay is the delay before a stream that ended or could not be opened
	// is opened again.
	reconnectDelay = 200 * time.Millisecond
	// unusedTimeout is how long a stream to a peer is opened again for which there are no
	// messages: a member that was removed, or a follower that is down.
	unusedTimeout = time.Minute
)

// Transport sends log messages over one stream per peer. Messages sent before
// Start or after Stop are dropped.
type Transport struct {
	Self fleet.Host
	Pool *link.Pool
	// Address returns the address of a peer, and false if it is unknown.
	Address func(fleet.Host) (link.Address, bool)
	Log     hclog.Logger

	mu     sync.Mutex
	queues map[fleet.Host]*sendQueue // each has a sendLoop goroutine
	ctx    context.Context           // context passed to Start; nil while stopped
	wg     sync.WaitGroup
}

// sendQueue holds the messages for one peer.
type sendQueue struct {
	messages chan *wire.LogMessage
	lastUsed time.Time // when the last message was queued; guarded by Transport.mu
}

// Send queues a message for a peer. The message is dropped if the queue is full or
// the address of the peer is unknown.
func (t *Transport) Send(peer fleet.Host, m *wire.LogMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx == nil {
		return
	}
	queue := t.queues[peer]
	if queue == nil {
		queue = &sendQueue{messages: make(chan *wire.LogMessage, maxQueuedMessages)}
		t.queues[peer] = queue
		ctx := t.ctx
		t.wg.Go(func() { t.sendLoop(ctx, peer, queue) })
	}
	queue.lastUsed = time.Now()
	select {
	case queue.messages <- m:
	default:
	}
}

// dropUnused removes the queue of a peer if no message was queued within unusedTimeout, and
// reports whether it has done so.
func (t *Transport) dropUnused(peer fleet.Host, queue *sendQueue) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(queue.lastUsed) < unusedTimeout {
		return false
	}
	delete(t.queues, peer)
	return true
}

// Start enables sending until ctx is cancelled or Stop is called.
func (t *Transport) Start(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ctx, t.queues = ctx, make(map[fleet.Host]*sendQueue)
}

// Stop disables sending and waits for the streams to end. The context passed to
// Start must already be cancelled.
func (t *Transport) Stop() {
	t.mu.Lock()
	t.ctx = nil
	t.mu.Unlock()
	t.wg.Wait()
}

// sendLoop sends the messages in queue to a peer until ctx is cancelled, reopening
// the stream when it fails, or until a stream has failed and the queue is unused. The message that finds the stream ended is sent again at
// once on the next one: a stream between two followers carries no messages, so that the
// restart of the peer is noticed only by the first message of an election.
func (t *Transport) sendLoop(ctx context.Context, peer fleet.Host, queue *sendQueue) {
	var unsent *wire.LogMessage
	for ctx.Err() == nil {
		var err error
		unsent, err = t.sendOverStream(ctx, peer, queue.messages, unsent)
		if err != nil && ctx.Err() == nil {
			t.Log.Debug("log stream ended", "peer", peer, "error", err)
		}
		if unsent != nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
		if t.dropUnused(peer, queue) {
			return
		}
		discardQueued(queue.messages) // messages queued during the delay are out of date; the log resends what it needs
	}
}

// discardQueued removes the messages that are currently in the queue.
func discardQueued(queue <-chan *wire.LogMessage) {
	for range len(queue) {
		<-queue
	}
}

// sendOverStream opens a stream to a peer and sends first, if it is not nil, and then the
// messages from queue, until a send fails or ctx is cancelled. It returns a message from
// queue that the stream refused without a delay.
func (t *Transport) sendOverStream(ctx context.Context, peer fleet.Host, queue <-chan *wire.LogMessage, first *wire.LogMessage) (unsent *wire.LogMessage, err error) {
	addr, ok := t.Address(peer)
	if !ok {
		return nil, nil
	}
	stream, err := t.Pool.Open(ctx, addr, &wire.ControlLogStream{From: string(t.Self)})
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	stream.Timeout = messageTimeout
	if first != nil {
		if err := stream.Send(first); err != nil {
			return nil, err
		}
	}
	for {
		select {
		case <-ctx.Done():
			return nil, nil
		case m := <-queue:
			resendUntil := time.Now().Add(reconnectDelay)
			err := stream.Send(m)
			switch {
			case err != nil && time.Now().Before(resendUntil):
				return m, err
			case err != nil:
				return nil, err
			}
		}
	}
}

// Receive passes the messages of a stream from peer to deliver until the stream
// fails, ends or carries no message for idleTimeout (10 min). It returns the error
// that ended it.
func Receive(stream *link.Stream, peer fleet.Host, deliver func(fleet.Host, *wire.LogMessage)) error {
	stream.Timeout = idleTimeout
	for {
		var m wire.LogMessage
		if err := stream.Receive(&m); err != nil {
			return err
		}
		deliver(peer, &m)
	}
}
