package controller

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/core/log"
	"papayarock/core/state"
	"papayarock/io/answers"
	"papayarock/io/operator"
	"papayarock/io/replica"
)

const maxHostChangeBytes = 4 << 10

// errMembership reports a change that does not fit the members of the log.
var errMembership = errors.New("the change does not fit the members")

// serveConfiguration answers with the newest generated configuration. Operators
// base their next change on its revision: on the copy of a replica that lags,
// that change would lose to the same operator's previous one.
func (c *Controller) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	if _, ok := c.age(time.Now()); !ok {
		refuse(w, http.StatusServiceUnavailable, "stale", errStale)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	err := c.group.Read(ctx)
	var elsewhere *replica.NotLeaderError
	switch {
	case errors.As(err, &elsewhere):
		c.refuseNotLeader(w, elsewhere)
		return
	case err != nil:
		refuse(w, http.StatusServiceUnavailable, "stale", errStale)
		return
	}
	var image *state.Image
	c.machine.read(func(s *state.Machine) { image = s.Image() })
	respond(w, http.StatusOK, operator.Configuration{
		Revision: image.Config.Revision, TOML: string(answers.WriteDocument(image.Config.Document)),
	})
}

// serveHostChange changes the members of the log. Only the leader can; another
// replica names it.
func (c *Controller) serveHostChange(w http.ResponseWriter, r *http.Request) {
	var in operator.HostChange
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHostChangeBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		refuse(w, http.StatusBadRequest, "body", err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	err := c.changeHosts(ctx, in)
	var elsewhere *replica.NotLeaderError
	switch {
	case err == nil:
		respond(w, http.StatusOK, hostAnswer(c.group.Members()))
	case errors.As(err, &elsewhere):
		c.refuseNotLeader(w, elsewhere)
	case errors.Is(err, errMembership):
		refuse(w, http.StatusUnprocessableEntity, operator.ProblemInvalid, err)
	case errors.Is(err, replica.ErrNotCommitted):
		refuse(w, http.StatusServiceUnavailable, operator.ProblemNotCommitted, err)
	default:
		refuse(w, http.StatusGatewayTimeout, operator.ProblemUncertain, err)
	}
}

func (c *Controller) refuseNotLeader(w http.ResponseWriter, e *replica.NotLeaderError) {
	p := operator.Problem{
		Type: operator.ProblemNotLeader, Title: e.Error(), Status: http.StatusServiceUnavailable, Leader: string(e.Leader),
	}
	if a, ok := c.o.Operators[e.Leader]; ok {
		p.Address = a.String()
	}
	report(w, p)
}

// changeHosts makes a change unless the members are as it wants them already,
// so that it may be sent again after a lost answer.
func (c *Controller) changeHosts(ctx context.Context, in operator.HostChange) error {
	if _, _, held := c.group.Lease(); !held {
		e := &replica.NotLeaderError{Leader: c.group.Leader()}
		if e.Leader == c.self { // elected, but without a lease yet
			e.Leader = ""
		}
		return e
	}
	h := fleet.Host(in.Host)
	done, err := fits(c.group.Members(), in.Action, h)
	if done || err != nil {
		return err
	}
	switch in.Action {
	case operator.AddLearner:
		if _, ok := c.o.Addresses[h]; !ok {
			return errors.Wrapf(errMembership, "the leader has no link address of host %q in its settings", h)
		}
		return c.group.AddLearner(ctx, h)
	case operator.Promote:
		return c.group.Promote(ctx, h)
	}
	return c.group.Remove(ctx, h)
}

// fits says whether a change is done already, or why it cannot be.
func fits(members log.Membership, action string, h fleet.Host) (done bool, err error) {
	i := slices.IndexFunc(members, func(m log.Member) bool { return m.Host == h })
	voters := 0
	for _, m := range members {
		if !m.Learner {
			voters++
		}
	}
	switch {
	case h == "":
		err = errors.Wrap(errMembership, "no host is named")
	case action == operator.AddLearner && i >= 0:
		if !members[i].Learner {
			err = errors.Wrapf(errMembership, "host %q is a voter", h)
		}
		done = err == nil
	case action == operator.AddLearner:
	case action == operator.Promote && i < 0:
		err = errors.Wrapf(errMembership, "host %q is no learner", h)
	case action == operator.Promote:
		done = !members[i].Learner
	case action == operator.Remove && i < 0:
		done = true
	case action == operator.Remove && voters == 1 && !members[i].Learner:
		err = errors.Wrapf(errMembership, "host %q is the last voter", h)
	case action == operator.Remove:
	default:
		err = errors.Wrapf(errMembership, "action %q is not add-learner, promote or remove", action)
	}
	return done, err
}

func hostAnswer(members log.Membership) operator.HostAnswer {
	a := operator.HostAnswer{Voters: []string{}, Learners: []string{}}
	for _, m := range members {
		if m.Learner {
			a.Learners = append(a.Learners, string(m.Host))
		} else {
			a.Voters = append(a.Voters, string(m.Host))
		}
	}
	return a
}
