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
	Result
	ID       string `json:"id"`
	Customer string `json:"customer"`
	Key      string `json:"key"`
}

// IssueKey generates a key and registers its digest. The key is shown once, after
// control has accepted it.
func (s *Session) IssueKey(ctx context.Context, c Change, id, customer string) error {
	if customer == "" {
		return errors.Wrap(ErrInput, "customer name is empty")
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
	k := IssuedKey{Result: r, ID: id, Customer: customer, Key: key}
	err = table(s.Out, k, []IssuedKey{k},
		column[IssuedKey]{"ID", func(k IssuedKey) any { return k.ID }},
		column[IssuedKey]{"CUSTOMER", func(k IssuedKey) any { return k.Customer }},
		column[IssuedKey]{"REVISION", func(k IssuedKey) any { return k.Revision }},
		column[IssuedKey]{"KEY (shown once)", func(k IssuedKey) any { return k.Key }})
	if err != nil {
		return err
	}
	return s.wait(ctx, r.Revision)
}

// WithdrawKey withdraws a key. With cut its running requests are interrupted.
func (s *Session) WithdrawKey(ctx context.Context, c Change, id string, cut bool) error {
	return s.commit(ctx, c, operator.Change{Action: operator.WithdrawKey, Key: id, Cut: cut})
}

// RevokeHost revokes all certificates that a host was issued so far.
func (s *Session) RevokeHost(ctx context.Context, c Change, host string) error {
	return s.commit(ctx, c, operator.Change{Action: operator.RevokeHost, Host: host})
}

// DrainTarget stops routing new requests to a target. With leave the target is
// removed once it is drained.
func (s *Session) DrainTarget(ctx context.Context, c Change, target string, within time.Duration, leave bool) error {
	return s.commitDrain(ctx, c, within, operator.Change{Action: operator.DrainTarget, Target: target, Leave: leave})
}

// ReplaceTarget orders a new target and drains the old one once it is ready.
func (s *Session) ReplaceTarget(ctx context.Context, c Change, target string, within time.Duration) error {
	return s.commitDrain(ctx, c, within, operator.Change{Action: operator.ReplaceTarget, Target: target})
}

// SetRole drains an engine and then changes its role.
func (s *Session) SetRole(ctx context.Context, c Change, target, role string, within time.Duration) error {
	return s.commitDrain(ctx, c, within, operator.Change{Action: operator.SetRole, Target: target, Role: role})
}

// CancelDrain returns a draining target to service.
func (s *Session) CancelDrain(ctx context.Context, c Change, target string) error {
	return s.commit(ctx, c, operator.Change{Action: operator.CancelDrain, Target: target})
}

// commitDrain commits a change that drains a target, with a time for its running
// requests.
func (s *Session) commitDrain(ctx context.Context, c Change, within time.Duration, body operator.Change) error {
	if within < time.Second || within%time.Second != 0 {
		return errors.Wrapf(ErrInput, "drain time %v is not a positive whole number of seconds", within)
	}
	body.ForSeconds = int(within / time.Second)
	return s.commit(ctx, c, body)
}

// ChangeHosts changes the members of the replicated log and shows the result.
func (s *Session) ChangeHosts(ctx context.Context, action, host string) error {
	if action == operator.Remove {
		if err := s.checkMember(ctx, host); err != nil {
			return err
		}
	}
	a, err := s.changeHosts(ctx, action, host)
	if err != nil {
		return err
	}
	return s.showMembers(a)
}

func (s *Session) changeHosts(ctx context.Context, action, host string) (operator.HostChangeResult, error) {
	a, err := s.Client.ChangeMembers(ctx, operator.HostChange{Action: action, Host: host})
	if errors.Is(err, operator.ErrNotCommitted) || errors.Is(err, operator.ErrUncertain) {
		err = errors.Wrap(err, "the command may be repeated")
	}
	return a, err
}

func (s *Session) showMembers(a operator.HostChangeResult) error {
	rows := [][]string{}
	for _, h := range a.Voters {
		rows = append(rows, []string{h, voter})
	}
	for _, h := range a.Learners {
		rows = append(rows, []string{h, "learner"})
	}
	return s.Out.Show(a, []string{"HOST", "MEMBER"}, rows)
}

// promotePause is the pause between two attempts to promote a learner.
const promotePause = 500 * time.Millisecond

// ReplaceHost makes a new host a member of the replicated log in place of an old
// one. The new host joins as a learner first, which fails for a mistyped or unknown
// name before the old host is removed. The old host is removed before the new one
// votes, since a lost voter would otherwise still count in a larger quorum. The
// command may be repeated after a failure.
func (s *Session) ReplaceHost(ctx context.Context, old, next string, within time.Duration) error {
	members, err := s.members(ctx)
	if err != nil {
		return err
	}
	if old == next || members[old] == "" && members[next] == "" {
		return errors.Wrapf(ErrInput, "host %q is not a log member that %q can replace", old, next)
	}
	if members[next] != voter {
		if _, err := s.changeHosts(ctx, operator.AddLearner, next); err != nil {
			return err
		}
	}
	if members[old] != "" { // otherwise an earlier attempt has removed it
		if _, err := s.changeHosts(ctx, operator.Remove, old); err != nil {
			return err
		}
	}
	if members[next] == voter {
		return s.Hosts(ctx)
	}
	return s.promote(ctx, next, within)
}

// promote makes a learner a voter. Control refuses until the learner has caught up,
// so promote retries for as long as within.
func (s *Session) promote(ctx context.Context, next string, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		a, err := s.changeHosts(ctx, operator.Promote, next)
		if err == nil {
			return s.showMembers(a)
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "host %q has not caught up", next)
		case <-time.After(promotePause):
		}
	}
}

// voter is the value of operator.Host.Member for a voting member.
const voter = "voter"

// members returns the membership of each host in the replicated log; it is empty
// for a host that is not a member.
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

// checkMember returns an error for a host that is not a member. Control reports
// success for the removal of such a host, as for one that was removed before, so
// that a mistyped name would go unnoticed.
func (s *Session) checkMember(ctx context.Context, host string) error {
	members, err := s.members(ctx)
	if err != nil || members[host] != "" {
		return err
	}
	return errors.Wrapf(ErrInput, "host %q is not a member of the log", host)
}
