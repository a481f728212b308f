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

// keyBytes is the length of a key, 256 bits.
const keyBytes = 32

// IssuedKey is the answer to IssueKey. It is the only place where the key
// itself is ever shown.
type IssuedKey struct {
	Result
	ID       string `json:"id"`
	Customer string `json:"customer"`
	Key      string `json:"key"`
}

// IssueKey draws a key and registers its digest. The key is shown only once it
// is accepted.
func (s *Session) IssueKey(ctx context.Context, c Change, id, customer string) error {
	if customer == "" {
		return errors.Wrap(ErrInput, "no customer is named")
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
		return errors.Wrapf(err, "the key was thrown away; if \"keys list\" shows %q, withdraw it and issue another", id)
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

// WithdrawKey withdraws a key. Cut also interrupts its running requests.
func (s *Session) WithdrawKey(ctx context.Context, c Change, id string, cut bool) error {
	return s.commit(ctx, c, operator.Change{Action: operator.WithdrawKey, Key: id, Cut: cut})
}

// RevokeHost revokes the certificates of a host that were issued so far.
func (s *Session) RevokeHost(ctx context.Context, c Change, host string) error {
	return s.commit(ctx, c, operator.Change{Action: operator.RevokeHost, Host: host})
}

// DrainTarget keeps new requests from a target. With leave it then goes.
func (s *Session) DrainTarget(ctx context.Context, c Change, target string, within time.Duration, leave bool) error {
	return s.timed(ctx, c, within, operator.Change{Action: operator.DrainTarget, Target: target, Leave: leave})
}

// ReplaceTarget orders a new target and drains the old one once it is ready.
func (s *Session) ReplaceTarget(ctx context.Context, c Change, target string, within time.Duration) error {
	return s.timed(ctx, c, within, operator.Change{Action: operator.ReplaceTarget, Target: target})
}

// SetRole drains an engine and has it take another role.
func (s *Session) SetRole(ctx context.Context, c Change, target, role string, within time.Duration) error {
	return s.timed(ctx, c, within, operator.Change{Action: operator.SetRole, Target: target, Role: role})
}

// CancelDrain returns a draining target to service.
func (s *Session) CancelDrain(ctx context.Context, c Change, target string) error {
	return s.commit(ctx, c, operator.Change{Action: operator.CancelDrain, Target: target})
}

// timed commits a change whose drain may take a time.
func (s *Session) timed(ctx context.Context, c Change, within time.Duration, body operator.Change) error {
	if within < time.Second || within%time.Second != 0 {
		return errors.Wrapf(ErrInput, "the time %v is not in whole seconds above 0", within)
	}
	body.ForSeconds = int(within / time.Second)
	return s.commit(ctx, c, body)
}

// ChangeHosts changes the members of the log and shows them.
func (s *Session) ChangeHosts(ctx context.Context, action, host string) error {
	if action == operator.Remove {
		if err := s.checkMember(ctx, host); err != nil {
			return err
		}
	}
	a, err := s.Client.ChangeHosts(ctx, operator.HostChange{Action: action, Host: host})
	if errors.Is(err, operator.ErrNotCommitted) || errors.Is(err, operator.ErrUncertain) {
		return errors.Wrap(err, "the command may be repeated")
	}
	if err != nil {
		return err
	}
	rows := [][]string{}
	for _, h := range a.Voters {
		rows = append(rows, []string{h, "voter"})
	}
	for _, h := range a.Learners {
		rows = append(rows, []string{h, "learner"})
	}
	return s.Out.Show(a, []string{"HOST", "MEMBER"}, rows)
}

// checkMember refuses a mistyped name, which control takes for a host that was
// removed before.
func (s *Session) checkMember(ctx context.Context, host string) error {
	l, err := s.Client.Hosts(ctx)
	if err != nil {
		return err
	}
	for _, h := range l.Items {
		if h.Name == host && h.Member != "" {
			return nil
		}
	}
	return errors.Wrapf(ErrInput, "host %q is no member of the log", host)
}
