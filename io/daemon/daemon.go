package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"papayarock/core/config"
	"papayarock/io/agent"
	"papayarock/io/entry"
	"papayarock/io/link"
	"papayarock/io/settings"
)

// ErrStart reports a process that could not start.
var ErrStart = errors.New("start process")

// Run runs the roles that s names until ctx ends.
func Run(ctx context.Context, s settings.Settings, log hclog.Logger) error {
	tree := suture.New("papayarock", suture.Spec{EventHook: func(e suture.Event) {
		log.Warn("supervisor event", "event", e.String())
	}})
	if s.Control != nil {
		return errors.Wrap(ErrStart, "control: the role is not available yet")
	}
	servers := []transport.Server{newSupervisor(ctx, tree)}
	if s.Agent != nil {
		a, err := newAgent(ctx, *s.Agent, log)
		if err != nil {
			return err
		}
		tree.Add(a)
	}
	if s.Entry != nil {
		server, err := newEntry(*s.Entry, log)
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	app := kratos.New(kratos.Name("papayarock"), kratos.Context(ctx), kratos.Server(servers...), kratos.StopTimeout(s.Shutdown))
	return errors.Wrap(app.Run(), "run process")
}

func newAgent(ctx context.Context, s settings.Agent, log hclog.Logger) (*agent.Agent, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Listen.String())
	if err != nil {
		return nil, errors.Wrapf(ErrStart, "agent: %v", err)
	}
	return &agent.Agent{Listener: l, Target: s.Target, Client: http.DefaultClient, Log: log.Named("agent")}, nil
}

func newEntry(s settings.Entry, log hclog.Logger) (*khttp.Server, error) {
	if s.Static == nil {
		return nil, errors.Wrap(ErrStart, "entry: a configuration from control is not available yet; use [entry.static]")
	}
	snapshot, err := settings.LoadStatic(s.Static)
	if err != nil {
		return nil, errors.Wrapf(ErrStart, "entry: %v", err)
	}
	var index atomic.Pointer[config.Index]
	index.Store(config.NewIndex(snapshot))
	server := khttp.NewServer(khttp.Address(s.Listen.String()), khttp.Timeout(0))
	server.Handler = &entry.Entry{Config: &index, Links: &link.Pool{}, Log: log.Named("entry")}
	return server, nil
}

// supervisor makes a supervisor tree a server of the kratos app, which calls
// Start and Stop from different goroutines.
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

// Stop ends the tree and waits for its children.
func (s *supervisor) Stop(context.Context) error {
	s.cancel()
	<-s.done
	if s.err != nil && !errors.Is(s.err, context.Canceled) {
		return errors.Wrap(s.err, "stop supervisor")
	}
	return nil
}
