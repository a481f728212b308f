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
	keyFileMode         = 0o600
	certificateFileMode = 0o644
)

// Save writes the authority's certificate and key to dir. It fails if one of the files
// exists.
func (a *Authority) Save(dir string) error {
	if err := writeKey(filepath.Join(dir, AuthorityKeyFile), a.key); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, AuthorityFile), "CERTIFICATE", a.certificate.Raw, certificateFileMode)
}

// LoadAuthority reads an authority that Save wrote to dir.
func LoadAuthority(dir string) (*Authority, error) {
	c, err := readCertificate(filepath.Join(dir, AuthorityFile))
	if err != nil {
		return nil, err
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, AuthorityFile), filepath.Join(dir, AuthorityKeyFile))
	if err != nil {
		return nil, errors.Wrapf(ErrIdentity, "load authority from %s: %v", dir, err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !c.IsCA {
		return nil, errors.Wrapf(ErrIdentity, "%s does not contain a certificate authority", dir)
	}
	return &Authority{certificate: c, key: key}, nil
}

// Save writes the certificate, its key and the authority's certificate to dir. It
// fails if one of the files exists.
func (c *Credentials) Save(dir string) error {
	key, ok := c.Certificate.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return errors.Wrapf(ErrIdentity, "save credentials to %s: key has type %T, want ECDSA", dir, c.Certificate.PrivateKey)
	}
	if err := writeKey(filepath.Join(dir, KeyFile), key); err != nil {
		return err
	}
	if err := writePEM(filepath.Join(dir, AuthorityFile), "CERTIFICATE", c.Authority.Raw, certificateFileMode); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, CertificateFile), "CERTIFICATE", c.Certificate.Certificate[0], certificateFileMode)
}

// Load reads credentials that Save wrote to dir.
func Load(dir string) (*Credentials, error) {
	return LoadFiles(filepath.Join(dir, CertificateFile), filepath.Join(dir, KeyFile), filepath.Join(dir, AuthorityFile))
}

// LoadFiles reads credentials from the files of a certificate, its key and the
// authority's certificate.
func LoadFiles(certificate, key, authority string) (*Credentials, error) {
	authorityCertificate, err := readCertificate(authority)
	if err != nil {
		return nil, err
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Wrapf(ErrIdentity, "certificate %s: %v", certificate, err)
	}
	return &Credentials{Certificate: pair, Authority: authorityCertificate}, nil
}

// Peer returns the identity in the certificate of c.
func (c *Credentials) Peer() (Peer, error) {
	leaf, err := x509.ParseCertificate(c.Certificate.Certificate[0])
	if err != nil {
		return Peer{}, errors.Wrapf(ErrIdentity, "parse host certificate: %v", err)
	}
	return PeerOf(leaf)
}

func readCertificate(path string) (*x509.Certificate, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(ErrIdentity, err.Error())
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, errors.Wrapf(ErrIdentity, "%s does not contain a PEM block", path)
	}
	c, err := x509.ParseCertificate(block.Bytes)
	return c, errors.Wrapf(err, "parse certificate %s", path)
}

func writeKey(path string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrapf(ErrIdentity, "encode key for %s: %v", path, err)
	}
	return writePEM(path, "PRIVATE KEY", der, keyFileMode)
}

// writePEM writes a PEM block to a new file. It fails if the file exists, so that
// an authority cannot be overwritten by mistake.
func writePEM(path, blockType string, der []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.Wrap(ErrIdentity, err.Error())
	}
	if err := pem.Encode(f, &pem.Block{Type: blockType, Bytes: der}); err != nil {
		_ = f.Close()
		return errors.Wrapf(ErrIdentity, "write %s: %v", path, err)
	}
	return errors.Wrapf(f.Close(), "close %s", path)
}
