package daemon

import (
	"context"
	"fmt"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"
)

// server is a part of the process with a life of its own. Start returns when it
// has ended.
type server interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// sequence runs servers as one: kratos stops its servers at the same time, but
// an entry must end its requests before the links below it close.
type sequence struct{ servers []server }

// Start runs the servers until they have all ended, or one has failed. They end
// by Stop only: an HTTP server hands its context to running requests, which must
// outlive the context of the process during a graceful shutdown.
func (s *sequence) Start(ctx context.Context) error {
	ctx = context.WithoutCancel(ctx)
	ended := make(chan error, len(s.servers))
	for _, x := range s.servers {
		go func() { ended <- x.Start(ctx) }()
	}
	for range s.servers {
		if err := <-ended; err != nil {
			return err // kratos stops the others
		}
	}
	return nil
}

// Stop stops the servers in reverse order.
func (s *sequence) Stop(ctx context.Context) error {
	var first error
	for i := len(s.servers) - 1; i >= 0; i-- {
		if err := s.servers[i].Stop(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// closer is a server that only has something to close.
type closer func()

// Start returns at once.
func (closer) Start(context.Context) error { return nil }

// Stop closes.
func (c closer) Stop(context.Context) error {
	c()
	return nil
}

// drained is an HTTP server that is told to end its requests before it stops.
type drained struct {
	*khttp.Server
	drain func(ctx context.Context)
	limit time.Duration // for the requests to end
}

// Stop ends the requests, then the connections.
func (d drained) Stop(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, d.limit)
	defer cancel()
	d.drain(limited)
	return d.Server.Stop(ctx)
}

// supervisor makes a supervisor tree a server.
type supervisor struct {
	tree   *suture.Supervisor
	ctx    context.Context // ends the tree
	cancel context.CancelFunc
	done   chan struct{}
	err    error // of the tree, set before done is closed
}

func newSupervisor(ctx context.Context, tree *suture.Supervisor) *supervisor {
	s := &supervisor{tree: tree, done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return s
}

// Start runs the tree until it is stopped.
func (s *supervisor) Start(context.Context) error {
	defer close(s.done)
	s.err = s.tree.Serve(s.ctx)
	return nil
}

// Stop ends the tree and waits for its children until ctx ends: what they still
// send to control then is sent again by others or was not promised.
func (s *supervisor) Stop(ctx context.Context) error {
	s.cancel()
	select {
	case <-s.done:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "stop supervisor")
	}
	if s.err != nil && !errors.Is(s.err, context.Canceled) {
		return errors.Wrap(s.err, "stop supervisor")
	}
	return nil
}

// kratosLog writes the log lines of kratos in the format of the process.
type kratosLog struct{ log hclog.Logger }

var kratosLevels = map[klog.Level]hclog.Level{
	klog.LevelDebug: hclog.Debug, klog.LevelInfo: hclog.Debug, // kratos tells of each start and stop
	klog.LevelWarn: hclog.Warn, klog.LevelError: hclog.Error, klog.LevelFatal: hclog.Error,
}

// Log writes one line.
func (k kratosLog) Log(level klog.Level, pairs ...any) error {
	message := "kratos"
	var rest []any
	for i := 0; i+1 < len(pairs); i += 2 {
		if key := fmt.Sprint(pairs[i]); key == klog.DefaultMessageKey {
			message = fmt.Sprint(pairs[i+1])
		} else {
			rest = append(rest, key, pairs[i+1])
		}
	}
	k.log.Log(kratosLevels[level], message, rest...)
	return nil
}
