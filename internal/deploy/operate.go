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

// awaitTimeout bounds each call of Await.
const awaitTimeout = time.Minute

// IssueOperatorCertificate issues a certificate to an operator and returns the paths of its
// files. With Options.Plain it issues none.
func (d *Deployment) IssueOperatorCertificate(name fleet.Host) (settings.Links, error) {
	return d.issueCertificate(name, identity.Operator)
}

// NewOperatorClient returns a client of the control replicas that uses the certificate of an
// operator.
func (d *Deployment) NewOperatorClient() (*operator.Client, error) {
	l, err := d.IssueOperatorCertificate("operator-ana")
	if err != nil {
		return nil, err
	}
	o := operator.Options{}
	if !l.Plain {
		if o.Credentials, err = identity.LoadFiles(l.Certificate, l.Key, l.Authority); err != nil {
			return nil, errors.Wrap(ErrDeploy, err.Error())
		}
	}
	for _, a := range d.OperatorAddresses {
		o.Addresses = append(o.Addresses, a.String())
	}
	client, err := operator.New(o)
	return client, errors.Wrap(err, "create operator client")
}

// Await polls until ok returns true. If that takes longer than awaitTimeout, it
// returns an error with problem, which describes the state that is not reached.
func Await(ctx context.Context, problem string, ok func() bool) error {
	for until := time.Now().Add(awaitTimeout); time.Now().Before(until); {
		if ok() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	return errors.Wrapf(ErrDeploy, "timed out after %s: %s", awaitTimeout, problem)
}

// SubmitChange submits an operator's change based on the current revision and waits
// until it is in force.
func (d *Deployment) SubmitChange(ctx context.Context, c *operator.Client, change operator.Change) error {
	status, err := c.Configuration(ctx)
	if err != nil {
		return errors.Wrap(err, "read current revision")
	}
	change.Base, change.ID = status.Revision, rand.Text()
	a, err := c.Change(ctx, change)
	if err != nil {
		return errors.Wrapf(err, "submit change %s", change.Action)
	}
	return Await(ctx, fmt.Sprintf("revision %d is not in force", a.Revision), func() bool {
		p, err := c.Progress(ctx, a.Revision)
		return err == nil && p.InForce
	})
}

// IssueKey issues an API key to a customer and returns its secret.
func (d *Deployment) IssueKey(ctx context.Context, c *operator.Client, customer string) (string, error) {
	var b [32]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	secret := base64.RawURLEncoding.EncodeToString(b[:])
	digest := sha256.Sum256([]byte(secret))
	err := d.SubmitChange(ctx, c, operator.Change{
		Action: operator.IssueKey, Key: "key-" + customer, Customer: customer, Digest: hex.EncodeToString(digest[:]),
	})
	return secret, err
}

// AwaitReady waits until at least n targets are in the phase ready.
func (d *Deployment) AwaitReady(ctx context.Context, c *operator.Client, n int) error {
	return Await(ctx, fmt.Sprintf("fewer than %d targets are ready", n), func() bool {
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
