package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"papayarock/core/answer"
	"papayarock/io/link"
	"papayarock/io/wire"
)

const (
	// aheadBytes is what is read from the target beyond what was sent.
	aheadBytes = 64 << 10
	// A reader of a lost link is at most this far behind what was sent: the
	// window of its stream, its read buffer and one part.
	behindBytes = link.WindowBytes + 64<<10
	partBytes   = 32 << 10
	beatEvery   = 3 * time.Second
)

var readBuffers = sync.Pool{New: func() any { return new([readBytes]byte) }}

// job is one request that runs or has ended.
type job struct {
	request wire.Request
	body    []byte
	cancel  context.CancelFunc
	stream  bool          // set by the goroutine that receives, before the head
	room    chan struct{} // signals that a reader moved on

	mu      sync.Mutex
	head    *wire.Head
	held    bool // the head waits for the data of a small answer
	answer  answer.Buffer
	end     *wire.End
	failed  *wire.Failed
	readers []chan struct{}
	sent    uint64 // offset up to which a reader has sent
	free    bool   // nobody reads: the target is not held back
	orphan  *time.Timer
}

func newJob(r wire.Request, body []byte, cancel context.CancelFunc) *job {
	return &job{
		request: r,
		body:    body,
		cancel:  cancel,
		room:    make(chan struct{}, 1),
		answer:  answer.Buffer{Max: behindBytes + aheadBytes + readBytes},
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (j *job) wakeReaders() {
	for _, r := range j.readers {
		signal(r)
	}
}

func (j *job) setHead(h *wire.Head, held bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.head, j.held = h, held
	if !held {
		j.wakeReaders()
	}
}

func (j *job) append(data []byte, held bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answer.Append(data)
	if !held {
		j.wakeReaders()
	}
}

// await blocks while the target is too far ahead of the readers.
func (j *job) await(ctx context.Context) error {
	for {
		j.mu.Lock()
		ready := j.free || j.answer.Length < j.sent+aheadBytes
		j.mu.Unlock()
		if ready {
			return nil
		}
		select {
		case <-j.room:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tail returns the part of the answer that is held. Only the goroutine that
// appends may use it.
func (j *job) tail() []byte {
	held := uint64(j.answer.Len())
	b, _ := j.answer.From(j.answer.Length - held)
	return b
}

// attach adds a reader, which wakes when the answer moves on.
func (j *job) attach() chan struct{} {
	wake := make(chan struct{}, 1)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers = append(j.readers, wake)
	if j.orphan != nil {
		j.orphan.Stop()
		j.orphan = nil
	}
	return wake
}

// detach removes a reader. A request that nobody reads is cancelled after a
// time if it is idempotent, and runs on by itself otherwise.
func (j *job) detach(wake chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers = slices.DeleteFunc(j.readers, func(c chan struct{}) bool { return c == wake })
	if len(j.readers) > 0 || j.end != nil || j.failed != nil {
		return
	}
	j.orphan = time.AfterFunc(orphanAfter, j.abandon)
}

func (j *job) abandon() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.readers) > 0 {
		return
	}
	if j.request.Idempotent {
		j.cancel()
		return
	}
	j.free = true
	signal(j.room)
}

// conclude records the end and lets the readers see it.
func (j *job) conclude(end *wire.End, failed *wire.Failed) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.end, j.failed, j.held = end, failed, false
	j.body = nil
	if j.orphan != nil {
		j.orphan.Stop()
	}
	j.wakeReaders()
}

// reader sends an answer over one stream.
type reader struct {
	job    *job
	stream *link.Stream
	wake   chan struct{}
	offset uint64
	headed bool
}

// queue encodes what can be sent now. It returns true after the last frame.
func (r *reader) queue() (last bool, err error) {
	j := r.job
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.held {
		return false, nil
	}
	if j.head != nil && !r.headed {
		r.headed = true
		if err := r.stream.Queue(&wire.Frame{Frame: &wire.Frame_Head{Head: j.head}}); err != nil {
			return false, err
		}
	}
	data, err := j.answer.From(r.offset)
	if err != nil {
		f := &wire.Failed{RequestId: j.request.ID[:], Ran: wire.Ran_RAN_YES, Reason: err.Error()}
		return true, r.stream.Queue(&wire.Frame{Frame: &wire.Frame_Failed{Failed: f}})
	}
	more := len(data) > partBytes
	data = data[:min(len(data), partBytes)]
	if len(data) > 0 {
		part := &wire.Part{RequestId: j.request.ID[:], Offset: r.offset, Data: data}
		if err := r.stream.Queue(&wire.Frame{Frame: &wire.Frame_Part{Part: part}}); err != nil {
			return false, err
		}
		r.offset += uint64(len(data))
	}
	switch {
	case more:
		signal(r.wake)
		return false, nil
	case j.end != nil:
		return true, r.stream.Queue(&wire.Frame{Frame: &wire.Frame_End{End: j.end}})
	case j.failed != nil:
		return true, r.stream.Queue(&wire.Frame{Frame: &wire.Frame_Failed{Failed: j.failed}})
	}
	return false, nil
}

func (r *reader) moved() {
	j := r.job
	j.mu.Lock()
	defer j.mu.Unlock()
	if r.offset > j.sent {
		j.sent = r.offset
		signal(j.room)
	}
}

// send sends the answer until it ends, the stream fails or gone is closed. It
// returns true after the last frame.
func (r *reader) send(ctx context.Context, gone <-chan struct{}) (bool, error) {
	beat := time.NewTimer(beatEvery)
	defer beat.Stop()
	for {
		last, err := r.queue()
		if err != nil {
			return false, err
		}
		if err := r.stream.Flush(); err != nil {
			return false, err
		}
		r.moved()
		if last {
			return true, nil
		}
		select {
		case <-r.wake:
		case <-beat.C:
			if err := r.stream.Send(&wire.Frame{Frame: &wire.Frame_Beat{Beat: &wire.Beat{}}}); err != nil {
				return false, err
			}
			beat.Reset(beatEvery)
		case <-gone:
			return false, nil
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
}
