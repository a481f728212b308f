package upstream

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxLateUploadBytes limits the requests that are still being written after their
	// responses have ended, over all connections of a pool. It has room for two requests of
	// the largest size that gateways accept by default, and is small beside the memory of a
	// process.
	maxLateUploadBytes = 8 << 20
	// uploadCheckInterval is how often the state of a request is checked that has been sent as
	// far as it has been written.
	uploadCheckInterval = time.Millisecond
	// lateUploadTimeout limits how long a request is written after its response has ended.
	lateUploadTimeout = 5 * time.Second
)

// errUploadUnfinished reports a response without a length whose connection ended before the
// request was sent completely. It may have broken off.
var errUploadUnfinished = errors.New("response of unknown length ended before the request was sent")

// body is the body of a response. It owns the connection.
type body struct {
	ctx      context.Context
	pool     *Pool
	endpoint Endpoint
	conn     *conn
	response *http.Response
	upload   int          // size of the request's body in bytes
	written  <-chan error // as returned by writeRequest
	stop     func() bool  // as returned by closeOnDone
	readErr  error        // of the last Read; io.EOF after the end
	once     sync.Once
}

// Read reads from the body. For a body with a length or chunked coding, it returns
// io.EOF only if the body is complete. Other bodies end when the target closes the
// connection after it has received the whole request. If that is earlier, Read fails.
func (b *body) Read(p []byte) (int, error) {
	if b.readErr != nil {
		return 0, b.readErr
	}
	n, err := b.response.Body.Read(p)
	atEnd := errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
	if atEnd && !b.selfDelimited() {
		if uploadErr := b.checkUploaded(); uploadErr != nil {
			atEnd, err = false, uploadErr
		}
	}
	switch {
	case atEnd:
		b.readErr = io.EOF
	case err != nil:
		b.readErr = errors.Wrap(contextCause(b.ctx, err), "read answer")
	}
	return n, b.readErr
}

// checkUploaded returns an error unless the target has received the whole request. If it
// resets the connection, the kernel reports that only once, to a read or to a write. After a
// write, reads return io.EOF, as at the end of a complete response.
func (b *body) checkUploaded() error {
	for {
		select {
		case err := <-b.written:
			if err != nil {
				return errors.Wrap(err, errUploadUnfinished.Error())
			}
			return b.checkSent()
		default:
		}
		if err := b.checkSent(); err != nil {
			return err
		}
		// The goroutine that writes the request is not blocked, since the target has
		// received everything so far. It is about to end, or to write more.
		select {
		case <-b.ctx.Done():
			return context.Cause(b.ctx)
		case <-time.After(uploadCheckInterval):
		}
	}
}

// checkSent returns an error if the target has not received all that has been written.
func (b *body) checkSent() error {
	n, err := b.conn.unsent()
	if err == nil && n > 0 {
		err = errUploadUnfinished
	}
	return err
}

// Close returns the connection to the pool if ctx has not ended, the body has been
// read to io.EOF and the connection is reusable. Otherwise it closes the connection, after
// the rest of the request if the target may still read it.
func (b *body) Close() error {
	b.once.Do(func() {
		open := b.stop()
		switch {
		case !open || !b.complete() || b.response.Close || !delimited(b.response) || b.conn.reader.Buffered() > 0:
		case b.checkUploaded() == nil:
			b.pool.putIdle(b.endpoint, b.conn, idleDeadline(time.Now(), b.response.Header))
			return
		case b.finishUpload():
			return
		}
		_ = b.conn.Close()
	})
	return nil
}

// complete reports whether the body has been read to its end.
func (b *body) complete() bool {
	return errors.Is(b.readErr, io.EOF) && !errors.Is(b.readErr, io.ErrUnexpectedEOF)
}

// finishUpload writes the rest of the request in the background, and then closes the
// connection. It returns false if too much is being written already.
func (b *body) finishUpload() bool {
	if b.pool.lateUploads.Add(int64(b.upload)) > maxLateUploadBytes {
		b.pool.lateUploads.Add(int64(-b.upload))
		return false
	}
	if err := b.conn.SetWriteDeadline(time.Now().Add(lateUploadTimeout)); err != nil {
		b.pool.lateUploads.Add(int64(-b.upload))
		return false
	}
	go func() {
		for range b.written { // an error has no further effect: the response is complete
		}
		_ = b.conn.Close()
		b.pool.lateUploads.Add(int64(-b.upload))
	}()
	return true
}

// delimited reports whether a length or chunks mark the end of the body.
func delimited(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// selfDelimited reports whether the end of the body does not depend on the connection.
func (b *body) selfDelimited() bool {
	return delimited(b.response) || b.response.Body == http.NoBody
}
