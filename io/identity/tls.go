package identity

import (
	"crypto/tls"
	"crypto/x509"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
)

// ServerConfig returns a configuration that accepts clients with a certificate of
// the authority of c and at least one of the roles. Without roles it rejects all
// clients.
func ServerConfig(c *Credentials, roles ...Role) *tls.Config {
	config := baseConfig(c)
	config.ClientAuth = tls.RequireAnyClientCert // VerifyConnection verifies the chain
	config.VerifyConnection = c.verifyPeer("", x509.ExtKeyUsageClientAuth, roles)
	return config
}

// ClientConfig returns a configuration that accepts servers with a certificate of
// the authority of c, at least one of the roles and, unless host is empty, the
// given host.
func ClientConfig(c *Credentials, host fleet.Host, roles ...Role) *tls.Config {
	config := baseConfig(c)
	// Peers are identified by host and role, not by DNS name, so VerifyConnection
	// replaces the standard verification.
	config.InsecureSkipVerify = true
	config.VerifyConnection = c.verifyPeer(host, x509.ExtKeyUsageServerAuth, roles)
	return config
}

func baseConfig(c *Credentials) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{c.Certificate},
		SessionTicketsDisabled: true, // a resumed session could outlive the trust in its authority
	}
}

// verifyPeer returns a VerifyConnection function that checks the certificate chain,
// host, roles and revocation of the peer. An empty host matches any host.
func (c *Credentials) verifyPeer(host fleet.Host, usage x509.ExtKeyUsage, roles []Role) func(tls.ConnectionState) error {
	roots := x509.NewCertPool()
	roots.AddCert(c.Authority)
	return func(s tls.ConnectionState) error {
		if len(s.PeerCertificates) == 0 {
			return errors.Wrap(ErrIdentity, "peer sent no certificate")
		}
		leaf := s.PeerCertificates[0]
		if _, err := leaf.Verify(x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{usage}}); err != nil {
			return errors.Wrapf(ErrIdentity, "verify peer certificate: %v", err)
		}
		p, err := PeerOf(leaf)
		if err != nil {
			return err
		}
		if host != "" && p.Host != host {
			return errors.Wrapf(ErrIdentity, "peer has host %q, want %q", p.Host, host)
		}
		if !p.HasAnyRole(roles...) {
			return errors.Wrapf(ErrIdentity, "host %q has roles %v, want one of %v", p.Host, p.Roles, roles)
		}
		if c.IsRevoked(p) {
			return errors.Wrapf(ErrIdentity, "certificate of host %q issued at %s is revoked", p.Host, p.Issued.Format(time.RFC3339))
		}
		return nil
	}
}
