package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"papayarock/io/operator"
)

const (
	// progressPeriod is the interval at which a waiting command polls the progress
	// of a change. It is short beside the 4 s within which a change is in force.
	progressPeriod = 200 * time.Millisecond
	// idBytes is the length of the random part of a change or key ID.
	idBytes = 16
)

// Session is the client and the input and output of an operator's command.
type Session struct {
	Client *operator.Client
	Out    Output
	Err    io.Writer     // progress and questions
	In     io.Reader     // the operator's replies; nil if there is no terminal
	Wait   time.Duration // limit of the wait for a change to be in force; 0 means not to wait
}

// ChangeOptions are the ID and the base of a change. They are set to repeat a
// change. An empty ID is replaced by a random one, and a zero base by the current
// revision.
type ChangeOptions struct {
	ID   string
	Base uint64 // revision that the change is based on
}

// AcceptedChange is the result of a command whose change control has accepted.
type AcceptedChange struct {
	Change   string `json:"change"` // ID of the change
	Base     uint64 `json:"base"`
	Revision uint64 `json:"revision"` // revision that the change created
}

// submit sets the ID and base of a change, sends it and returns its result once
// control has accepted it.
func (s *Session) submit(ctx context.Context, c ChangeOptions, body operator.Change) (AcceptedChange, error) {
	if c.ID == "" {
		c.ID = newID("change-")
	}
	if c.Base == 0 {
		status, err := s.Client.Configuration(ctx)
		if err != nil {
			return AcceptedChange{}, errors.Wrap(err, "read current revision")
		}
		c.Base = status.Revision
	}
	body.ID, body.Base = c.ID, c.Base
	a, err := s.Client.Change(ctx, body)
	if errors.Is(err, operator.ErrUncertain) || errors.Is(err, operator.ErrNotCommitted) {
		err = errors.Wrapf(err, "send it again with --change-id %s --base %d", c.ID, c.Base)
	}
	return AcceptedChange{Change: c.ID, Base: c.Base, Revision: a.Revision}, err
}

func newID(prefix string) string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b) // never fails
	return prefix + hex.EncodeToString(b)
}

// submitAndWait submits a change, shows the result and waits until the change is in
// force.
func (s *Session) submitAndWait(ctx context.Context, c ChangeOptions, body operator.Change) error {
	r, err := s.submit(ctx, c, body)
	if err != nil {
		return err
	}
	if err := s.showResult(r); err != nil {
		return err
	}
	return s.wait(ctx, r.Revision)
}

func (s *Session) showResult(r AcceptedChange) error {
	return showTable(s.Out, r, []AcceptedChange{r},
		column[AcceptedChange]{"CHANGE", func(r AcceptedChange) any { return r.Change }},
		column[AcceptedChange]{"REVISION", func(r AcceptedChange) any { return r.Revision }})
}

// wait reports progress until a revision is in force everywhere, for at most
// Session.Wait.
func (s *Session) wait(ctx context.Context, revision uint64) error {
	if s.Wait <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.Wait)
	defer cancel()
	var last operator.Progress
	for reported := false; ; reported = true {
		p, err := s.Client.Progress(ctx, revision)
		switch {
		case err != nil:
			return errors.Wrapf(ErrNotInForce, "revision %d: %v", revision, err)
		case p.InForce:
			_, err := fmt.Fprintf(s.Err, "revision %d is in force everywhere\n", revision)
			return errors.Wrap(err, "write progress")
		case !reported || p != last:
			_, _ = fmt.Fprintf(s.Err, "revision %d: %d nodes have it, %d may have an earlier one\n", revision, p.UpToDate, p.Waiting)
		}
		last = p
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrNotInForce, "revision %d: %d nodes have it, %d may have an earlier one", revision, p.UpToDate, p.Waiting)
		case <-time.After(progressPeriod):
		}
	}
}
