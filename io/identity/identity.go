package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
)

const (
	uriScheme = "papayarock" // scheme of the URI names in certificates
	// backdate is how far NotBefore is set into the past, for hosts whose clock is
	// behind that of the authority.
	backdate   = time.Hour
	serialBits = 128 // length of the random serial numbers
)

// ErrIdentity is returned if a certificate cannot be issued, read or accepted.
var ErrIdentity = errors.New("invalid identity")

// Role determines the calls that a process may make and serve.
type Role string

// Roles of a process.
const (
	Entry    Role = "entry" // entries and gateways
	Agent    Role = "agent"
	Control  Role = "control" // control replicas and registry replicas
	Operator Role = "operator"
)

// Roles returns the roles that a certificate can contain.
func Roles() []Role { return []Role{Entry, Agent, Control, Operator} }

// Peer is the identity that a certificate proves: a host and the roles of its
// processes.
type Peer struct {
	Host   fleet.Host
	Roles  []Role
	Issued time.Time // when the certificate was issued; a revocation covers those issued before it
}

// HasAnyRole reports whether p has at least one of the roles.
func (p Peer) HasAnyRole(roles ...Role) bool {
	return slices.ContainsFunc(roles, func(r Role) bool { return slices.Contains(p.Roles, r) })
}

// Authority is the certificate authority of a deployment: a self-signed
// certificate and its key.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Credentials are what a process authenticates itself with, and what it verifies
// its peers against.
type Credentials struct {
	Certificate tls.Certificate   // host certificate with its key
	Authority   *x509.Certificate // must have issued the certificates of peers
	// Revoked reports whether a peer's certificate is revoked. If nil, none is. It
	// must be safe for concurrent use.
	Revoked func(Peer) bool
}

// IsRevoked reports whether the certificate of p is revoked. It returns false if c
// is nil, because plain TCP uses no certificates.
func (c *Credentials) IsRevoked(p Peer) bool { return c != nil && c.Revoked != nil && c.Revoked(p) }

// NewAuthority creates an authority that is valid from now to expires.
func NewAuthority(now, expires time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrapf(ErrIdentity, "generate authority key: %v", err)
	}
	t := certificateTemplate(now, expires)
	t.Subject = pkix.Name{CommonName: uriScheme + " authority"}
	t.IsCA, t.BasicConstraintsValid, t.MaxPathLenZero = true, true, true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return nil, errors.Wrapf(ErrIdentity, "sign authority certificate: %v", err)
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrapf(ErrIdentity, "parse authority certificate: %v", err)
	}
	return &Authority{certificate: c, key: key}, nil
}

// Issue issues a certificate for processes on host with the given roles, valid
// from now to expires.
func (a *Authority) Issue(host fleet.Host, roles []Role, now, expires time.Time) (*Credentials, error) {
	uris, err := identityURIs(host, roles)
	if err != nil {
		return nil, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrapf(ErrIdentity, "generate key of host %q: %v", host, err)
	}
	t := certificateTemplate(now, expires)
	t.Subject = pkix.Name{CommonName: string(host)}
	t.URIs = uris
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, a.certificate, key.Public(), a.key)
	if err != nil {
		return nil, errors.Wrapf(ErrIdentity, "sign certificate of host %q: %v", host, err)
	}
	return &Credentials{
		Certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key},
		Authority:   a.certificate,
	}, nil
}

func certificateTemplate(now, expires time.Time) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits)) // rand.Reader never fails
	return &x509.Certificate{SerialNumber: serial, NotBefore: now.Add(-backdate), NotAfter: expires}
}

// identityURIs returns the URI names for host and roles. Characters that delimit
// the parts of a URI are not allowed in the host name, because PeerOf would read
// back another name.
func identityURIs(host fleet.Host, roles []Role) ([]*url.URL, error) {
	if host == "" || strings.ContainsAny(string(host), "/?#@:% ") {
		return nil, errors.Wrapf(ErrIdentity, "host name %q", host)
	}
	if len(roles) == 0 {
		return nil, errors.Wrapf(ErrIdentity, "host %q has no role", host)
	}
	var uris []*url.URL
	for _, r := range roles {
		if !slices.Contains(Roles(), r) {
			return nil, errors.Wrapf(ErrIdentity, "unknown role %q", r)
		}
		uris = append(uris, &url.URL{Scheme: uriScheme, Host: string(host), Path: "/" + string(r)})
	}
	return uris, nil
}

// PeerOf returns the identity in a verified certificate.
func PeerOf(c *x509.Certificate) (Peer, error) {
	p := Peer{Issued: c.NotBefore.Add(backdate)}
	for _, u := range c.URIs {
		role := Role(strings.TrimPrefix(u.Path, "/"))
		if u.Scheme != uriScheme || !slices.Contains(Roles(), role) {
			continue
		}
		if p.Host != "" && p.Host != fleet.Host(u.Host) {
			return Peer{}, errors.Wrapf(ErrIdentity, "certificate contains two hosts, %q and %q", p.Host, u.Host)
		}
		p.Host = fleet.Host(u.Host)
		p.Roles = append(p.Roles, role)
	}
	if p.Host == "" {
		return Peer{}, errors.Wrap(ErrIdentity, "certificate contains no host and role")
	}
	return p, nil
}
