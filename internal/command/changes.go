package command

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"papayarock/io/operator"
)

// keyBytes is the length of the random part of a key, 256 bits.
const keyBytes = 32

// IssuedKey is the result of IssueKey. No other output contains the key itself.
type IssuedKey struct {
	AcceptedChange
	ID       string `json:"id"`
	Customer string `json:"customer"`
	Key      string `json:"key"`
}

// IssueKey generates a key and registers its digest. The key is shown once, after
// control has accepted it.
func (s *Session) IssueKey(ctx context.Context, c ChangeOptions, id, customer string) error {
	if customer == "" {
		return errors.Wrap(ErrInvalidInput, "customer name is empty")
	}
	if id == "" {
		id = newID("key-")
	}
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // never fails
	key := base64.RawURLEncoding.EncodeToString(secret)
	digest := sha256.Sum256([]byte(key))
	r, err := s.submit(ctx, c, operator.Change{
		Action: operator.IssueKey, Key: id, Customer: customer, Digest: hex.EncodeToString(digest[:]),
	})
	switch {
	case errors.Is(err, operator.ErrUncertain):
		return errors.Wrapf(err, "the key was discarded; if \"keys list\" shows %q, withdraw it and issue another", id)
	case err != nil:
		return err
	}
	k := IssuedKey{AcceptedChange: r, ID: id, Customer: customer, Key: key}
	err = showTable(s.Out, k, []IssuedKey{k},
		column[IssuedKey]{"ID", func(k IssuedKey) any { return k.ID }},
		column[IssuedKey]{"CUSTOMER", func(k IssuedKey) any { return k.Customer }},
		column[IssuedKey]{"REVISION", func(k IssuedKey) any { return k.Revision }},
		column[IssuedKey]{"KEY (shown once)", func(k IssuedKey) any { return k.Key }})
	if err != nil {
		return err
	}
	return s.wait(ctx, r.Revision)
}

// WithdrawKey withdraws a key. With cut, running requests with the key are
// interrupted; otherwise they end normally.
func (s *Session) WithdrawKey(ctx context.Context, c ChangeOptions, id string, cut bool) error {
	return s.submitAndWait(ctx, c, operator.Change{Action: operator.WithdrawKey, Key: id, Cut: cut})
}

// RevokeHost revokes all certificates that a host was issued so far.
func (s *Session) RevokeHost(ctx context.Context, c ChangeOptions, host string) error {
	return s.submitAndWait(ctx, c, operator.Change{Action: operator.RevokeHost, Host: host})
}

// DrainTarget stops routing new requests to a target. Its running requests may take
// drainTime. With leave the target is removed once it is drained.
func (s *Session) DrainTarget(ctx context.Context, c ChangeOptions, target string, drainTime time.Duration, leave bool) error {
	return s.submitDrain(ctx, c, drainTime, operator.Change{Action: operator.DrainTarget, Target: target, Leave: leave})
}

// ReplaceTarget orders a new target and drains the old one once the new one is
// ready. The running requests of the old one may then take drainTime.
func (s *Session) ReplaceTarget(ctx context.Context, c ChangeOptions, target string, drainTime time.Duration) error {
	return s.submitDrain(ctx, c, drainTime, operator.Change{Action: operator.ReplaceTarget, Target: target})
}

// SetRole drains an engine, whose running requests may take drainTime, and then
// changes its role.
func (s *Session) SetRole(ctx context.Context, c ChangeOptions, target, role string, drainTime time.Duration) error {
	return s.submitDrain(ctx, c, drainTime, operator.Change{Action: operator.SetRole, Target: target, Role: role})
}

// CancelDrain returns a draining target to service.
func (s *Session) CancelDrain(ctx context.Context, c ChangeOptions, target string) error {
	return s.submitAndWait(ctx, c, operator.Change{Action: operator.CancelDrain, Target: target})
}

// submitDrain submits a change that drains a target and waits until the change is in
// force. The running requests of the target may take drainTime.
func (s *Session) submitDrain(ctx context.Context, c ChangeOptions, drainTime time.Duration, change operator.Change) error {
	if drainTime < time.Second || drainTime%time.Second != 0 {
		return errors.Wrapf(ErrInvalidInput, "drain time %v is not a positive whole number of seconds", drainTime)
	}
	change.ForSeconds = int(drainTime / time.Second)
	return s.submitAndWait(ctx, c, change)
}

// ChangeMembers adds, promotes or removes a host as a member of the replicated log
// and shows the members that result. The action is that of operator.MemberChange.
func (s *Session) ChangeMembers(ctx context.Context, action, host string) error {
	if action == operator.Remove {
		if err := s.checkMember(ctx, host); err != nil {
			return err
		}
	}
	a, err := s.changeMembers(ctx, action, host)
	if err != nil {
		return err
	}
	return s.showMembers(a)
}

func (s *Session) changeMembers(ctx context.Context, action, host string) (operator.MemberChangeResult, error) {
	a, err := s.Client.ChangeMembers(ctx, operator.MemberChange{Action: action, Host: host})
	if errors.Is(err, operator.ErrNotCommitted) || errors.Is(err, operator.ErrUncertain) {
		err = errors.Wrap(err, "the command may be repeated")
	}
	return a, err
}

func (s *Session) showMembers(a operator.MemberChangeResult) error {
	rows := [][]string{}
	for _, h := range a.Voters {
		rows = append(rows, []string{h, voter})
	}
	for _, h := range a.Learners {
		rows = append(rows, []string{h, "learner"})
	}
	return s.Out.Show(a, []string{"HOST", "MEMBER"}, rows)
}

// promoteRetryInterval is the pause between two attempts to promote a learner.
const promoteRetryInterval = 500 * time.Millisecond

// ReplaceHost replaces a member of the replicated log by a new host, in three steps:
//   - It adds the new host as a learner. This fails for a mistyped or unknown name,
//     while the old host is still a member.
//   - It removes the old host. If the new host became a voter first, the quorum
//     would grow and still count the old voter, which may be lost.
//   - It promotes the learner to a voter, and retries for catchUpTime, since control
//     refuses until the learner has caught up.
//
// The command may be repeated after a failure.
func (s *Session) ReplaceHost(ctx context.Context, oldHost, newHost string, catchUpTime time.Duration) error {
	members, err := s.members(ctx)
	if err != nil {
		return err
	}
	if oldHost == newHost || members[oldHost] == "" && members[newHost] == "" {
		return errors.Wrapf(ErrInvalidInput, "host %q is not a log member that %q can replace", oldHost, newHost)
	}
	if members[newHost] != voter {
		if _, err := s.changeMembers(ctx, operator.AddLearner, newHost); err != nil {
			return err
		}
	}
	if members[oldHost] != "" { // otherwise an earlier attempt has removed it
		if _, err := s.changeMembers(ctx, operator.Remove, oldHost); err != nil {
			return err
		}
	}
	if members[newHost] == voter {
		return s.Hosts(ctx)
	}
	return s.promote(ctx, newHost, catchUpTime)
}

// promote makes a learner a voter. It retries for catchUpTime, since control refuses
// until the learner has caught up.
func (s *Session) promote(ctx context.Context, learner string, catchUpTime time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTime)
	defer cancel()
	for {
		a, err := s.changeMembers(ctx, operator.Promote, learner)
		if err == nil {
			return s.showMembers(a)
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "host %q has not caught up", learner)
		case <-time.After(promoteRetryInterval):
		}
	}
}

// voter is the value of operator.Host.Member for a voting member.
const voter = "voter"

// members returns operator.Host.Member by host: voter, learner, or empty for a host
// that is not a member of the replicated log.
func (s *Session) members(ctx context.Context) (map[string]string, error) {
	l, err := s.Client.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	members := make(map[string]string)
	for _, h := range l.Items {
		members[h.Name] = h.Member
	}
	return members, nil
}

// checkMember returns an error for a host that is not a member of the replicated
// log. Control reports success for the removal of such a host, as for a repeated
// removal; without this check a mistyped name would go unnoticed.
func (s *Session) checkMember(ctx context.Context, host string) error {
	members, err := s.members(ctx)
	if err != nil || members[host] != "" {
		return err
	}
	return errors.Wrapf(ErrInvalidInput, "host %q is not a member of the log", host)
}
