package demo

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"papayarock/io/identity"
	"papayarock/io/operator"
)

// patience bounds the wait for any one state of the deployment.
const patience = 20 * time.Second

// connect makes the operator's client.
func (d *deployment) connect() (*operator.Client, error) {
	l, err := d.links("operator-ana", identity.Operator)
	if err != nil {
		return nil, err
	}
	c, err := identity.LoadFiles(l.Certificate, l.Key, l.Authority)
	if err != nil {
		return nil, errors.Wrap(ErrDemo, err.Error())
	}
	o := operator.Options{Credentials: c}
	for _, a := range d.operators {
		o.Addresses = append(o.Addresses, a.String())
	}
	client, err := operator.New(o)
	return client, errors.Wrap(err, "demo")
}

// await polls until ok holds.
func await(ctx context.Context, what string, ok func() bool) error {
	for until := time.Now().Add(patience); time.Now().Before(until); {
		if ok() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	return errors.Wrapf(ErrDemo, "after %s: %s", patience, what)
}

// change commits an operator's change on the newest revision and waits until it
// is in force.
func (d *deployment) change(ctx context.Context, c *operator.Client, change operator.Change) error {
	status, err := c.Configuration(ctx)
	if err != nil {
		return errors.Wrap(err, "read revision")
	}
	change.Base, change.ID = status.Revision, rand.Text()
	a, err := c.Change(ctx, change)
	if err != nil {
		return errors.Wrapf(err, "change %s", change.Action)
	}
	return await(ctx, fmt.Sprintf("revision %d is not in force", a.Revision), func() bool {
		p, err := c.Progress(ctx, a.Revision)
		return err == nil && p.InForce
	})
}

// issue gives a customer a key.
func (d *deployment) issue(ctx context.Context, c *operator.Client, customer string) (string, error) {
	var b [32]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	secret := base64.RawURLEncoding.EncodeToString(b[:])
	digest := sha256.Sum256([]byte(secret))
	err := d.change(ctx, c, operator.Change{
		Action: operator.IssueKey, Key: "key-" + customer, Customer: customer, Digest: hex.EncodeToString(digest[:]),
	})
	return secret, err
}

// ready waits until n targets are in service.
func (d *deployment) ready(ctx context.Context, c *operator.Client, n int) error {
	return await(ctx, fmt.Sprintf("not %d targets are ready", n), func() bool {
		list, err := c.Targets(ctx)
		if err != nil {
			return false
		}
		found := 0
		for _, t := range list.Items {
			if t.Phase == "ready" {
				found++
			}
		}
		return found >= n
	})
}
