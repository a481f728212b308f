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
	scheme = "papayarock"
	// backdate tolerates hosts whose clock is behind that of the authority.
	backdate   = time.Hour
	serialBits = 128
)

// ErrIdentity reports a certificate that cannot be issued, read or accepted.
var ErrIdentity = errors.New("identity is not valid")

// Role is what a process is allowed to be towards its peers.
type Role string

// Roles of a process.
const (
	Entry    Role = "entry"
	Agent    Role = "agent"
	Control  Role = "control"
	Operator Role = "operator"
)

// Roles lists all roles.
func Roles() []Role { return []Role{Entry, Agent, Control, Operator} }

// Peer is what a certificate proves about its holder.
type Peer struct {
	Host   fleet.Host
	Roles  []Role
	Issued time.Time
}

// Is reports whether p holds at least one of the roles.
func (p Peer) Is(roles ...Role) bool {
	return slices.ContainsFunc(roles, func(r Role) bool { return slices.Contains(p.Roles, r) })
}

// Authority issues certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Credentials are a host certificate with its key, and the authority that
// peers must be certified by.
type Credentials struct {
	Certificate tls.Certificate
	Authority   *x509.Certificate
	// Revoked says whether a peer's certificate is revoked; nil means none is.
	// It must be safe for concurrent use.
	Revoked func(Peer) bool
}

// IsRevoked reports whether the certificate of p is revoked. Without
// credentials there are no certificates.
func (c *Credentials) IsRevoked(p Peer) bool { return c != nil && c.Revoked != nil && c.Revoked(p) }

// NewAuthority makes an authority that is valid from now to expires.
func NewAuthority(now, expires time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrapf(ErrIdentity, "make authority key: %v", err)
	}
	t := template(now, expires)
	t.Subject = pkix.Name{CommonName: scheme + " authority"}
	t.IsCA, t.BasicConstraintsValid, t.MaxPathLenZero = true, true, true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return nil, errors.Wrapf(ErrIdentity, "sign authority: %v", err)
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrapf(ErrIdentity, "read authority: %v", err)
	}
	return &Authority{certificate: c, key: key}, nil
}

// Issue makes a certificate for a process on host with the given roles, valid
// from now to expires.
func (a *Authority) Issue(host fleet.Host, roles []Role, now, expires time.Time) (*Credentials, error) {
	names, err := uris(host, roles)
	if err != nil {
		return nil, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrapf(ErrIdentity, "make key of host %q: %v", host, err)
	}
	t := template(now, expires)
	t.Subject = pkix.Name{CommonName: string(host)}
	t.URIs = names
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

func template(now, expires time.Time) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits)) // rand.Reader never fails
	return &x509.Certificate{SerialNumber: serial, NotBefore: now.Add(-backdate), NotAfter: expires}
}

func uris(host fleet.Host, roles []Role) ([]*url.URL, error) {
	if host == "" || strings.ContainsAny(string(host), "/?#@:% ") {
		return nil, errors.Wrapf(ErrIdentity, "host %q", host)
	}
	if len(roles) == 0 {
		return nil, errors.Wrapf(ErrIdentity, "host %q has no role", host)
	}
	var names []*url.URL
	for _, r := range roles {
		if !slices.Contains(Roles(), r) {
			return nil, errors.Wrapf(ErrIdentity, "role %q", r)
		}
		names = append(names, &url.URL{Scheme: scheme, Host: string(host), Path: "/" + string(r)})
	}
	return names, nil
}

// PeerOf returns host and roles that a verified certificate proves.
func PeerOf(c *x509.Certificate) (Peer, error) {
	p := Peer{Issued: c.NotBefore.Add(backdate)}
	for _, u := range c.URIs {
		role := Role(strings.TrimPrefix(u.Path, "/"))
		if u.Scheme != scheme || !slices.Contains(Roles(), role) {
			continue
		}
		if p.Host != "" && p.Host != fleet.Host(u.Host) {
			return Peer{}, errors.Wrapf(ErrIdentity, "certificate names hosts %q and %q", p.Host, u.Host)
		}
		p.Host = fleet.Host(u.Host)
		p.Roles = append(p.Roles, role)
	}
	if p.Host == "" {
		return Peer{}, errors.Wrap(ErrIdentity, "certificate names no host and role")
	}
	return p, nil
}
