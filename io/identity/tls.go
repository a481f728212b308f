package identity

import (
	"crypto/tls"
	"crypto/x509"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
)

// ServerConfig accepts peers certified by the authority of c that hold one of
// the roles. Without roles every peer is refused.
func ServerConfig(c *Credentials, roles ...Role) *tls.Config {
	config := base(c)
	config.ClientAuth = tls.RequireAnyClientCert // the chain is checked in VerifyConnection
	config.VerifyConnection = c.check("", x509.ExtKeyUsageClientAuth, roles)
	return config
}

// ClientConfig accepts a server certified by the authority of c that holds one
// of the roles and, unless host is empty, runs on host.
func ClientConfig(c *Credentials, host fleet.Host, roles ...Role) *tls.Config {
	config := base(c)
	// Peers are named by host and role, not by DNS name, so the standard check
	// is replaced by VerifyConnection.
	config.InsecureSkipVerify = true
	config.VerifyConnection = c.check(host, x509.ExtKeyUsageServerAuth, roles)
	return config
}

func base(c *Credentials) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{c.Certificate},
		SessionTicketsDisabled: true, // a resumed session would outlive a withdrawn authority
	}
}

func (c *Credentials) check(host fleet.Host, usage x509.ExtKeyUsage, roles []Role) func(tls.ConnectionState) error {
	pool := x509.NewCertPool()
	pool.AddCert(c.Authority)
	return func(s tls.ConnectionState) error {
		if len(s.PeerCertificates) == 0 {
			return errors.Wrap(ErrIdentity, "peer sent no certificate")
		}
		leaf := s.PeerCertificates[0]
		if _, err := leaf.Verify(x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{usage}}); err != nil {
			return errors.Wrap(ErrIdentity, err.Error())
		}
		p, err := PeerOf(leaf)
		if err != nil {
			return err
		}
		if host != "" && p.Host != host {
			return errors.Wrapf(ErrIdentity, "peer is host %q, want %q", p.Host, host)
		}
		if !p.Is(roles...) {
			return errors.Wrapf(ErrIdentity, "host %q has roles %v, want one of %v", p.Host, p.Roles, roles)
		}
		if c.IsRevoked(p) {
			return errors.Wrapf(ErrIdentity, "the certificate of host %q issued at %s is revoked", p.Host, p.Issued.Format(time.RFC3339))
		}
		return nil
	}
}
