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

// server is a part of the process that is started and stopped: an HTTP server, the
// supervisor tree or the link pool. Start blocks until the server has ended.
type server interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// serverGroup runs several servers as one kratos server and stops them in reverse
// order. Kratos stops its servers concurrently, but an entry must finish its
// requests before the links that they use close.
type serverGroup struct{ servers []server }

// Start runs the servers until all have ended or one has failed. Cancelling ctx
// does not end them, only Stop does: an HTTP server passes its context to its
// requests, which must outlive the process context during a graceful shutdown.
func (s *serverGroup) Start(ctx context.Context) error {
	ctx = context.WithoutCancel(ctx)
	ended := make(chan error, len(s.servers))
	for _, x := range s.servers {
		go func() { ended <- x.Start(ctx) }()
	}
	for range s.servers {
		if err := <-ended; err != nil {
			return err // kratos then calls Stop, which stops the others
		}
	}
	return nil
}

// Stop stops the servers in reverse order and returns the first error.
func (s *serverGroup) Stop(ctx context.Context) error {
	var first error
	for i := len(s.servers) - 1; i >= 0; i-- {
		if err := s.servers[i].Stop(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// closeFunc is a server that does nothing but release resources on Stop.
type closeFunc func()

func (closeFunc) Start(context.Context) error { return nil }

func (c closeFunc) Stop(context.Context) error {
	c()
	return nil
}

// leaver is a server that only prepares a role for the stop of the servers before it in a
// serverGroup.
type leaver struct {
	leave func(ctx context.Context)
	limit time.Duration // of leave
}

// Start returns at once.
func (leaver) Start(context.Context) error { return nil }

// Stop calls leave and waits for it within the limit.
func (l leaver) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.limit)
	defer cancel()
	l.leave(ctx)
	return nil
}

// drainingServer is an HTTP server that drains its requests before it stops.
type drainingServer struct {
	*khttp.Server
	drain func(ctx context.Context)
	limit time.Duration // bounds drain
}

// Stop drains the requests, then closes the connections.
func (d drainingServer) Stop(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, d.limit)
	defer cancel()
	d.drain(limited)
	return d.Server.Stop(ctx)
}

// treeServer runs a supervisor tree as a server.
type treeServer struct {
	tree   *suture.Supervisor
	ctx    context.Context // stops the tree when cancelled
	cancel context.CancelFunc
	done   chan struct{}
	err    error // result of the tree, set before done is closed
}

// newTreeServer returns a server that runs tree. Cancelling ctx does not stop the tree,
// since requests that outlive ctx need its services; only Stop does.
func newTreeServer(ctx context.Context, tree *suture.Supervisor) *treeServer {
	s := &treeServer{tree: tree, done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return s
}

// Start runs the tree until Stop is called.
func (s *treeServer) Start(context.Context) error {
	defer close(s.done)
	s.err = s.tree.Serve(s.ctx)
	return nil
}

// Stop stops the services of the tree and waits for them until ctx ends. Messages to
// control that the services have not sent by then are lost: other processes send them
// again, or their delivery is not guaranteed.
func (s *treeServer) Stop(ctx context.Context) error {
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

// kratosLogger writes the log lines of kratos to the log of the process.
type kratosLogger struct{ log hclog.Logger }

var kratosLevels = map[klog.Level]hclog.Level{
	klog.LevelDebug: hclog.Debug, klog.LevelInfo: hclog.Debug, // kratos logs each start and stop at info level
	klog.LevelWarn: hclog.Warn, klog.LevelError: hclog.Error, klog.LevelFatal: hclog.Error,
}

func (k kratosLogger) Log(level klog.Level, pairs ...any) error {
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
