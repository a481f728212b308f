package identity

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Names of the files in an identity directory.
const (
	AuthorityFile    = "authority.pem"
	AuthorityKeyFile = "authority-key.pem"
	CertificateFile  = "host.pem"
	KeyFile          = "host-key.pem"
)

const (
	secretMode = 0o600
	publicMode = 0o644
)

// Save writes the authority and its key to dir.
func (a *Authority) Save(dir string) error {
	if err := writeKey(filepath.Join(dir, AuthorityKeyFile), a.key); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, AuthorityFile), "CERTIFICATE", a.certificate.Raw, publicMode)
}

// LoadAuthority reads what Save wrote to dir.
func LoadAuthority(dir string) (*Authority, error) {
	c, err := readCertificate(filepath.Join(dir, AuthorityFile))
	if err != nil {
		return nil, err
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, AuthorityFile), filepath.Join(dir, AuthorityKeyFile))
	if err != nil {
		return nil, errors.Wrapf(ErrIdentity, "authority in %s: %v", dir, err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !c.IsCA {
		return nil, errors.Wrapf(ErrIdentity, "%s holds no certificate authority", dir)
	}
	return &Authority{certificate: c, key: key}, nil
}

// Save writes the certificate, its key and the authority's certificate to dir.
func (c *Credentials) Save(dir string) error {
	key, ok := c.Certificate.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return errors.Wrap(ErrIdentity, "host key is not an ECDSA key")
	}
	if err := writeKey(filepath.Join(dir, KeyFile), key); err != nil {
		return err
	}
	if err := writePEM(filepath.Join(dir, AuthorityFile), "CERTIFICATE", c.Authority.Raw, publicMode); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, CertificateFile), "CERTIFICATE", c.Certificate.Certificate[0], publicMode)
}

// Load reads what Credentials.Save wrote to dir.
func Load(dir string) (*Credentials, error) {
	return LoadFiles(filepath.Join(dir, CertificateFile), filepath.Join(dir, KeyFile), filepath.Join(dir, AuthorityFile))
}

// LoadFiles reads a certificate, its key and the authority's certificate.
func LoadFiles(certificate, key, authority string) (*Credentials, error) {
	a, err := readCertificate(authority)
	if err != nil {
		return nil, err
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Wrapf(ErrIdentity, "certificate %s: %v", certificate, err)
	}
	return &Credentials{Certificate: pair, Authority: a}, nil
}

// Peer returns host and roles that c proves.
func (c *Credentials) Peer() (Peer, error) {
	leaf, err := x509.ParseCertificate(c.Certificate.Certificate[0])
	if err != nil {
		return Peer{}, errors.Wrap(ErrIdentity, err.Error())
	}
	return PeerOf(leaf)
}

func readCertificate(path string) (*x509.Certificate, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(ErrIdentity, err.Error())
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, errors.Wrapf(ErrIdentity, "%s holds no PEM block", path)
	}
	c, err := x509.ParseCertificate(block.Bytes)
	return c, errors.Wrapf(err, "read %s", path)
}

func writeKey(path string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(ErrIdentity, err.Error())
	}
	return writePEM(path, "PRIVATE KEY", der, secretMode)
}

// writePEM refuses to replace a file, so that a second authority cannot take
// the place of the first by mistake.
func writePEM(path, kind string, der []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.Wrap(ErrIdentity, err.Error())
	}
	if err := pem.Encode(f, &pem.Block{Type: kind, Bytes: der}); err != nil {
		_ = f.Close()
		return errors.Wrapf(ErrIdentity, "write %s: %v", path, err)
	}
	return errors.Wrapf(f.Close(), "write %s", path)
}
