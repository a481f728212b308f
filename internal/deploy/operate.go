package deploy

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/io/identity"
	"papayarock/io/operator"
	"papayarock/io/settings"
)

// patience bounds the wait for any one state of the deployment.
const patience = time.Minute

// OperatorFiles issues the certificate of an operator with this name.
func (d *Deployment) OperatorFiles(name fleet.Host) (settings.Links, error) {
	return d.links(name, identity.Operator)
}

// Connect makes the operator's client.
func (d *Deployment) Connect() (*operator.Client, error) {
	l, err := d.OperatorFiles("operator-ana")
	if err != nil {
		return nil, err
	}
	o := operator.Options{}
	if !l.Plain {
		if o.Credentials, err = identity.LoadFiles(l.Certificate, l.Key, l.Authority); err != nil {
			return nil, errors.Wrap(ErrDeploy, err.Error())
		}
	}
	for _, a := range d.Operators {
		o.Addresses = append(o.Addresses, a.String())
	}
	client, err := operator.New(o)
	return client, errors.Wrap(err, "deploy")
}

// Await polls until ok holds.
func Await(ctx context.Context, what string, ok func() bool) error {
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
	return errors.Wrapf(ErrDeploy, "after %s: %s", patience, what)
}

// Change commits an operator's change on the newest revision and waits until it
// is in force.
func (d *Deployment) Change(ctx context.Context, c *operator.Client, change operator.Change) error {
	status, err := c.Configuration(ctx)
	if err != nil {
		return errors.Wrap(err, "read revision")
	}
	change.Base, change.ID = status.Revision, rand.Text()
	a, err := c.Change(ctx, change)
	if err != nil {
		return errors.Wrapf(err, "change %s", change.Action)
	}
	return Await(ctx, fmt.Sprintf("revision %d is not in force", a.Revision), func() bool {
		p, err := c.Progress(ctx, a.Revision)
		return err == nil && p.InForce
	})
}

// Issue gives a customer a key.
func (d *Deployment) Issue(ctx context.Context, c *operator.Client, customer string) (string, error) {
	var b [32]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	secret := base64.RawURLEncoding.EncodeToString(b[:])
	digest := sha256.Sum256([]byte(secret))
	err := d.Change(ctx, c, operator.Change{
		Action: operator.IssueKey, Key: "key-" + customer, Customer: customer, Digest: hex.EncodeToString(digest[:]),
	})
	return secret, err
}

// Ready waits until n targets are in service.
func (d *Deployment) Ready(ctx context.Context, c *operator.Client, n int) error {
	return Await(ctx, fmt.Sprintf("not %d targets are ready", n), func() bool {
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
