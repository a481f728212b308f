package controller

import (
	"context"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/core/log"
	"papayarock/io/answers"
	"papayarock/io/operator"
	"papayarock/io/replica"
)

const maxMemberChangeBytes = 4 << 10

// errMembership reports a membership change that is malformed or that the current
// members do not allow.
var errMembership = errors.New("the change does not fit the members")

// serveConfiguration answers with the current generated configuration.
func (c *Controller) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	snapshot, ok := c.currentSnapshot(w, r)
	if !ok {
		return
	}
	writeJSON(w, http.StatusOK, operator.Configuration{
		Revision: snapshot.Config.Revision, TOML: string(answers.EncodeDocument(snapshot.Config.Document)),
	})
}

// serveMemberChange changes the members of the log. Only the leader can do so; other
// replicas answer with the leader's name.
func (c *Controller) serveMemberChange(w http.ResponseWriter, r *http.Request) {
	var in operator.MemberChange
	if err := decodeBody(http.MaxBytesReader(w, r.Body, maxMemberChangeBytes), &in); err != nil {
		writeError(w, http.StatusBadRequest, "body", err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	err := c.changeMembers(ctx, in)
	var notLeader *replica.NotLeaderError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, memberChangeResult(c.member.Members()))
	case errors.As(err, &notLeader):
		c.refuseNotLeader(w, notLeader)
	case errors.Is(err, errMembership):
		writeError(w, http.StatusUnprocessableEntity, operator.ProblemInvalid, err)
	case errors.Is(err, replica.ErrNotCommitted):
		writeError(w, http.StatusServiceUnavailable, operator.ProblemNotCommitted, err)
	default:
		writeError(w, http.StatusGatewayTimeout, operator.ProblemUncertain, err)
	}
}

// refuseNotLeader answers with the leader's name and operator address, if known.
func (c *Controller) refuseNotLeader(w http.ResponseWriter, e *replica.NotLeaderError) {
	p := operator.Problem{
		Type: operator.ProblemNotLeader, Title: e.Error(), Status: http.StatusServiceUnavailable, Leader: string(e.Leader),
	}
	if a, ok := c.o.OperatorAddresses[e.Leader]; ok {
		p.Address = a.String()
	}
	writeProblem(w, p)
}

// changeMembers applies a membership change. It succeeds without effect if the change
// has been made already, so that a request can be repeated after a lost response.
func (c *Controller) changeMembers(ctx context.Context, in operator.MemberChange) error {
	if _, _, held := c.member.Lease(); !held {
		e := &replica.NotLeaderError{Leader: c.member.Leader()}
		if e.Leader == c.self { // elected, but without a lease yet
			e.Leader = ""
		}
		return e
	}
	h := fleet.Host(in.Host)
	done, err := checkMemberChange(c.member.Members(), in.Action, h)
	if done || err != nil {
		return err
	}
	switch in.Action {
	case operator.AddLearner:
		if _, ok := c.o.Addresses[h]; !ok {
			return errors.Wrapf(errMembership, "the leader has no link address of host %q in its settings", h)
		}
		return c.member.AddLearner(ctx, h)
	case operator.Promote:
		return c.member.Promote(ctx, h)
	}
	return c.member.Remove(ctx, h)
}

// checkMemberChange reports whether a change has been made already, or why it is
// not allowed.
func checkMemberChange(members log.Membership, action string, h fleet.Host) (done bool, err error) {
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
		err = errors.Wrapf(errMembership, "host %q is not a learner", h)
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

func memberChangeResult(members log.Membership) operator.MemberChangeResult {
	a := operator.MemberChangeResult{Voters: []string{}, Learners: []string{}}
	for _, m := range members {
		if m.Learner {
			a.Learners = append(a.Learners, string(m.Host))
		} else {
			a.Voters = append(a.Voters, string(m.Host))
		}
	}
	return a
}
