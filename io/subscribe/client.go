package subscribe

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/summary"
	"papayarock/core/watch"
	"papayarock/io/link"
	"papayarock/io/wire"
)

// Errors of calls to control.
var (
	ErrUnreachable     = errors.New("control cannot be reached")
	ErrStale           = errors.New("the replica cannot confirm its copy of the configuration")
	ErrNotCommitted    = errors.New("the command was not committed")
	ErrUncertain       = errors.New("the command may or may not be committed")
	ErrRefused         = errors.New("control refused the command")
	ErrInvalidResponse = errors.New("invalid response from control")
)

const (
	// pollTimeout limits one poll. It is longer than watch.MaxPollHold and leaves
	// time to poll a second replica before the copy is stale.
	pollTimeout = watch.MaxPollHold + 600*time.Millisecond
	// demandPeriod is the minimum time between two demand reports.
	demandPeriod = time.Second
	// retryDelay is the pause after a failed poll or submission.
	retryDelay = 100 * time.Millisecond
)

// Demand is the number of requests and tokens that an entry received for a pool
// during a period.
type Demand struct {
	Pool         string
	DataCentre   fleet.DataCentre
	Class        fleet.Class
	Requests     float64
	PromptTokens float64
	OutputTokens float64
	Period       time.Duration
}

// Options configure a Client.
type Options struct {
	Links         *link.Pool
	Addresses     []link.Address // control replicas, nearest first
	Host          fleet.Host
	AgentStatus   func() watch.AgentStatus // status of an agent's target; nil on other nodes
	Contacts      func() []watch.Contact   // an entry's contacts with targets since the last call; nil on other nodes
	Demand        func() []Demand          // an entry's demand since the last call; nil on other nodes
	OnChange      func(x *config.Index)    // called with each new configuration, in order; may be nil
	OnSummaries   func([]summary.Row)      // called with load summaries; nil if none are wanted
	WantSummaries func() bool              // whether the next poll requests summaries; nil means always
	Log           hclog.Logger
}

// Client is a node's connection to control. Create it with New.
type Client struct {
	// Config is the node's copy of the configuration; nil until the first response to
	// a poll.
	Config atomic.Pointer[config.Index]
	// FreshUntilNanos is the time, in Unix nanoseconds, from which keyed requests,
	// those that carry an API key, are refused.
	FreshUntilNanos atomic.Int64

	o                  Options
	runID              uint64    // identifies this run of Serve to control; only used by Serve
	demandSent         time.Time // time of the last demand report; only used by Serve
	summariesRequested time.Time // when summaries were last requested; only used by Serve
	mu                 sync.Mutex
	// mu guards the fields below.
	copy         watch.Copy
	changed      chan struct{} // closed and replaced with each new revision
	replicaIndex int           // index in Options.Addresses of the replica in use, modulo their number
	polls        uint64
	failures     uint64
	lastErr      string
}

// New returns a Client. Serve keeps its configuration current.
func New(o Options) *Client { return &Client{o: o, changed: make(chan struct{})} }

// Fresh reports whether the copy may be used for keyed requests at now.
func (c *Client) Fresh(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copy.Fresh(now)
}

// FreshUntil returns the time from which keyed requests are refused.
func (c *Client) FreshUntil() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copy.FreshUntil
}

// Changed returns a channel that is closed with the next revision.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Serve polls until ctx ends, and then notifies control that this node leaves. It
// returns ErrUnreachable at once if no address of control is set.
func (c *Client) Serve(ctx context.Context) error {
	c.runID = rand.Uint64()
	for ctx.Err() == nil {
		addr, ok := c.address()
		if !ok {
			return errors.Wrap(ErrUnreachable, "no control address is set")
		}
		err := c.poll(ctx, addr)
		c.recordPoll(err)
		if err == nil || ctx.Err() != nil {
			continue
		}
		c.o.Log.Debug("poll failed", "control", addr, "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	c.sendLeave(context.WithoutCancel(ctx))
	return nil
}

func (c *Client) address() (link.Address, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.o.Addresses) == 0 {
		return link.Address{}, false
	}
	return c.o.Addresses[c.replicaIndex%len(c.o.Addresses)], true
}

// recordPoll counts a poll, and after a failed one switches to the next replica.
func (c *Client) recordPoll(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.polls++
	if err != nil {
		c.failures++
		c.lastErr = err.Error()
		c.replicaIndex++
	}
}

// poll polls one replica and applies its response.
func (c *Client) poll(ctx context.Context, addr link.Address) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := time.Now()
	s, err := c.o.Links.Open(ctx, addr, c.pollRequest(sent))
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	defer func() { _ = s.Close() }()
	return c.receive(s, sent)
}

// pollRequest returns the next poll. When the demand is due, the poll includes it and
// the contacts, both of which only entries report.
func (c *Client) pollRequest(now time.Time) *wire.ControlPoll {
	m := &wire.ControlPoll{Self: c.subscriber(now), Summaries: c.wantsSummaries(now)}
	if c.o.Demand == nil || now.Sub(c.demandSent) < demandPeriod {
		return m
	}
	c.demandSent = now
	if c.o.Contacts != nil {
		for _, x := range c.o.Contacts() {
			m.Contacts = append(m.Contacts, wire.EncodeContact(x, now))
		}
	}
	for _, d := range c.o.Demand() {
		m.Demand = append(m.Demand, &wire.ControlDemand{
			Pool: d.Pool, DataCentre: string(d.DataCentre), Class: uint32(d.Class),
			PromptTokens: d.PromptTokens, OutputTokens: d.OutputTokens, Seconds: d.Period.Seconds(),
			Requests: d.Requests,
		})
	}
	return m
}

// receive reads the parts of a poll's response and applies it.
func (c *Client) receive(s *link.Stream, sent time.Time) error {
	var snapshot []byte
	for {
		var m wire.ControlPollAnswer
		if err := s.Receive(&m); err != nil {
			return errors.Wrap(ErrUnreachable, err.Error())
		}
		snapshot = append(snapshot, m.GetSnapshotPart()...)
		if !m.GetLast() {
			continue
		}
		if m.GetStale() {
			return ErrStale
		}
		return c.apply(&m, snapshot, sent)
	}
}

// apply replaces the copy by the newer one in a response and records how long it is
// fresh. The copy is replaced first: a copy that counts as fresh must include the
// revision that the response confirms.
func (c *Client) apply(m *wire.ControlPollAnswer, snapshot []byte, sent time.Time) error {
	current := c.Config.Load()
	next, err := newerIndex(current, m, snapshot)
	if err != nil {
		return errors.Wrap(ErrInvalidResponse, err.Error())
	}
	if next == nil || next.Revision < m.GetRevision() {
		return errors.Wrapf(ErrInvalidResponse, "response of revision %d contains no copy of it", m.GetRevision())
	}
	if next != current {
		c.Config.Store(next)
		if c.o.OnChange != nil {
			c.o.OnChange(next)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if next != current {
		close(c.changed)
		c.changed = make(chan struct{})
		c.o.Log.Debug("configuration changed", "revision", next.Revision)
	}
	age := time.Duration(max(m.GetAgeNanos(), 0))
	if !c.copy.Apply(watch.PollResponse{Sent: sent, Revision: m.GetRevision(), Age: age}) {
		return errors.Wrapf(ErrStale, "replica has revision %d, older than revision %d of this node", m.GetRevision(), c.copy.Revision)
	}
	c.FreshUntilNanos.Store(c.copy.FreshUntil.UnixNano())
	if len(m.GetSummaries()) > 0 && c.o.OnSummaries != nil {
		c.o.OnSummaries(wire.DecodeSummaries(m.GetSummaries(), sent))
	}
	return nil
}

// newerIndex returns the configuration after a response, which is current itself if
// the response has no newer one. The initial configuration, revision 0, is an empty
// snapshot.
func newerIndex(current *config.Index, m *wire.ControlPollAnswer, snapshot []byte) (*config.Index, error) {
	if len(snapshot) > 0 || current == nil && m.GetRevision() == 0 {
		s, err := wire.DecodeConfigSnapshot(snapshot)
		if err != nil {
			return nil, err
		}
		if current != nil && s.Revision <= current.Revision {
			return current, nil
		}
		return config.NewIndex(s), nil
	}
	if len(m.GetDelta()) > 0 && current != nil {
		d, err := wire.DecodeDelta(m.GetDelta())
		if err != nil {
			return nil, err
		}
		return current.Apply(d)
	}
	return current, nil
}

// Dump is the state of a Client for operators.
type Dump struct {
	Revision   uint64
	FreshUntil time.Time
	Control    string // replica in use
	Polls      uint64
	Failed     uint64
	LastError  string
}

// Dump returns a copy of the state, of type Dump.
func (c *Client) Dump() any {
	addr, _ := c.address()
	c.mu.Lock()
	defer c.mu.Unlock()
	return Dump{
		Revision: c.copy.Revision, FreshUntil: c.copy.FreshUntil, Control: addr.AddrPort.String(),
		Polls: c.polls, Failed: c.failures, LastError: c.lastErr,
	}
}
