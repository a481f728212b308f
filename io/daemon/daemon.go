package daemon

import (
	"context"
	"net"
	"net/url"
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
	servers := []transport.Server{&supervisor{tree: tree}}
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
	app := kratos.New(kratos.Name("papayarock"), kratos.Context(ctx), kratos.Server(servers...))
	return errors.Wrap(app.Run(), "run process")
}

func newAgent(ctx context.Context, s settings.Agent, log hclog.Logger) (*agent.Agent, error) {
	target, err := url.Parse(s.Target)
	if err != nil {
		return nil, errors.Wrapf(ErrStart, "agent target: %v", err)
	}
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Listen.String())
	if err != nil {
		return nil, errors.Wrapf(ErrStart, "agent: %v", err)
	}
	return &agent.Agent{Listener: l, Target: target, Log: log.Named("agent")}, nil
}

func newEntry(s settings.Entry, log hclog.Logger) (*khttp.Server, error) {
	snapshot, err := settings.LoadStatic(s.Static)
	if err != nil {
		return nil, errors.Wrapf(ErrStart, "entry: %v", err)
	}
	var index atomic.Pointer[config.Index]
	index.Store(config.NewIndex(snapshot))
	server := khttp.NewServer(khttp.Address(s.Listen.String()), khttp.Timeout(0))
	entry.Limit(server.Server)
	server.Handler = &entry.Entry{Config: &index, Links: &link.Pool{}, Log: log.Named("entry")}
	return server, nil
}

// supervisor makes a supervisor tree a server of the kratos app.
type supervisor struct {
	tree   *suture.Supervisor
	cancel context.CancelFunc
	done   <-chan error
}

// Start runs the tree until it is stopped.
func (s *supervisor) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.done = s.tree.ServeBackground(ctx)
	return nil
}

// Stop ends the tree and waits for its children.
func (s *supervisor) Stop(context.Context) error {
	s.cancel()
	if err := <-s.done; err != nil && !errors.Is(err, context.Canceled) {
		return errors.Wrap(err, "stop supervisor")
	}
	return nil
}
