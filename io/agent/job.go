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
	// readAheadBytes bounds how much of a response is read from the target before
	// it has been sent to an entry.
	readAheadBytes = 64 << 10
	// maxUndeliveredBytes bounds how much of a response has been sent but has not
	// reached the entry when the link breaks: the window of the stream, the read
	// buffer of the entry and one part. It is kept buffered, so that the entry can
	// resume.
	maxUndeliveredBytes = link.WindowBytes + 64<<10
	maxPartBytes        = 32 << 10 // of the response in one frame
	heartbeatInterval   = 3 * time.Second
)

var readBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

// job is a request that is running or has ended, with the buffered end of its
// response.
type job struct {
	request        wire.Request
	body           []byte
	cancel         context.CancelFunc
	eventStream    bool          // the response is an event stream; set by the goroutine of runJob before head
	readerAdvanced chan struct{} // signalled when a reader advances

	mu           sync.Mutex
	head         *wire.Head
	headDeferred bool // the head of a small response is sent together with its body
	response     answer.Buffer
	end          *wire.End
	failed       *wire.Failed
	readers      []chan struct{} // wake channel of each reader
	sentOffset   uint64          // highest offset up to which a reader has sent the response
	unthrottled  bool            // the response is read without waiting for readers
	orphanTimer  *time.Timer     // runs while a running job has no readers
}

func newJob(r wire.Request, body []byte, cancel context.CancelFunc) *job {
	return &job{
		request:        r,
		body:           body,
		cancel:         cancel,
		readerAdvanced: make(chan struct{}, 1),
		response:       answer.Buffer{Max: maxUndeliveredBytes + readAheadBytes + readBufferBytes},
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (j *job) wakeReaders() {
	for _, r := range j.readers {
		notify(r)
	}
}

// setHead records the head of the response. If deferHead is set, the readers send it and
// the body only once the response is complete.
func (j *job) setHead(h *wire.Head, deferHead bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.head, j.headDeferred = h, deferHead
	if !deferHead {
		j.wakeReaders()
	}
}

func (j *job) append(data []byte, deferHead bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.response.Append(data)
	if !deferHead {
		j.wakeReaders()
	}
}

// waitForReaders blocks while readAheadBytes or more of the response are unsent,
// unless the job is unthrottled.
func (j *job) waitForReaders(ctx context.Context) error {
	for {
		j.mu.Lock()
		ready := j.unthrottled || j.response.Length < j.sentOffset+readAheadBytes
		j.mu.Unlock()
		if ready {
			return nil
		}
		select {
		case <-j.readerAdvanced:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// bufferedTail returns the part of the response that is still buffered. Only the
// goroutine that appends to the response may use the result.
func (j *job) bufferedTail() []byte {
	n := uint64(j.response.Len())
	b, _ := j.response.From(j.response.Length - n)
	return b
}

// attach adds a reader. The returned channel is signalled when there is more to
// send.
func (j *job) attach() chan struct{} {
	wake := make(chan struct{}, 1)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers = append(j.readers, wake)
	if j.orphanTimer != nil {
		j.orphanTimer.Stop()
		j.orphanTimer = nil
	}
	return wake
}

// detach removes a reader. A running request that stays without readers for
// orphanTimeout is cancelled if it is idempotent. Otherwise it continues, and its
// response is read without flow control.
func (j *job) detach(wake chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers = slices.DeleteFunc(j.readers, func(c chan struct{}) bool { return c == wake })
	if len(j.readers) > 0 || j.end != nil || j.failed != nil {
		return
	}
	j.orphanTimer = time.AfterFunc(orphanTimeout, j.handleOrphan)
}

func (j *job) handleOrphan() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.readers) > 0 {
		return
	}
	if j.request.Idempotent {
		j.cancel()
		return
	}
	j.unthrottled = true
	notify(j.readerAdvanced)
}

// complete records the end of the response or its failure, and wakes the readers.
func (j *job) complete(end *wire.End, failed *wire.Failed) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.end, j.failed, j.headDeferred = end, failed, false
	j.body = nil
	if j.orphanTimer != nil {
		j.orphanTimer.Stop()
	}
	j.wakeReaders()
}

// reader reads the response of a job from its buffer and sends it over one stream.
type reader struct {
	job      *job
	stream   *link.Stream
	wake     chan struct{} // signalled when there is more to send
	offset   uint64        // of the next byte to send
	headSent bool
}

// queueNext queues the frames that can be sent now, with at most one part of the
// response. It returns true after the last frame.
func (r *reader) queueNext() (last bool, err error) {
	j := r.job
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.headDeferred {
		return false, nil
	}
	if j.head != nil && !r.headSent {
		r.headSent = true
		if err := r.stream.Queue(&wire.Frame{Frame: &wire.Frame_Head{Head: j.head}}); err != nil {
			return false, err
		}
	}
	data, err := j.response.From(r.offset)
	if err != nil {
		// The request has run, but the bytes at this offset are no longer buffered.
		f := &wire.Failed{RequestId: j.request.ID[:], Ran: wire.Ran_RAN_YES, Reason: err.Error()}
		return true, r.stream.Queue(&wire.Frame{Frame: &wire.Frame_Failed{Failed: f}})
	}
	more := len(data) > maxPartBytes
	data = data[:min(len(data), maxPartBytes)]
	if len(data) > 0 {
		part := &wire.Part{RequestId: j.request.ID[:], Offset: r.offset, Data: data}
		if err := r.stream.Queue(&wire.Frame{Frame: &wire.Frame_Part{Part: part}}); err != nil {
			return false, err
		}
		r.offset += uint64(len(data))
	}
	switch {
	case more:
		notify(r.wake)
		return false, nil
	case j.end != nil:
		return true, r.stream.Queue(&wire.Frame{Frame: &wire.Frame_End{End: j.end}})
	case j.failed != nil:
		return true, r.stream.Queue(&wire.Frame{Frame: &wire.Frame_Failed{Failed: j.failed}})
	}
	return false, nil
}

func (r *reader) recordProgress() {
	j := r.job
	j.mu.Lock()
	defer j.mu.Unlock()
	if r.offset > j.sentOffset {
		j.sentOffset = r.offset
		notify(j.readerAdvanced)
	}
}

// send sends the response until it is complete, the stream fails, ctx ends or
// streamClosed is closed. It returns true after the last frame.
func (r *reader) send(ctx context.Context, streamClosed <-chan struct{}) (bool, error) {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		last, err := r.queueNext()
		if err != nil {
			return false, err
		}
		if err := r.stream.Flush(); err != nil {
			return false, err
		}
		r.recordProgress()
		if last {
			return true, nil
		}
		select {
		case <-r.wake:
		case <-heartbeat.C:
			if err := r.stream.Send(&wire.Frame{Frame: &wire.Frame_Beat{Beat: &wire.Beat{}}}); err != nil {
				return false, err
			}
			heartbeat.Reset(heartbeatInterval)
		case <-streamClosed:
			return false, nil
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
}
