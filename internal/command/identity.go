package command

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/io/identity"
)

const directoryMode = 0o700

// IssuedCertificate is the result of a command that issues a certificate or creates
// an authority. Host and Roles are empty for an authority.
type IssuedCertificate struct {
	Host    string    `json:"host,omitempty"`
	Roles   []string  `json:"roles,omitempty"`
	Expires time.Time `json:"expires"`
	Files   []string  `json:"files"`
}

// NewAuthority creates a certificate authority in a directory. It fails if there
// is one already.
func NewAuthority(o Output, dir string, now time.Time, valid time.Duration) error {
	if valid <= 0 {
		return errors.Wrapf(ErrInvalidInput, "authority validity %v is not positive", valid)
	}
	a, err := identity.NewAuthority(now, now.Add(valid))
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return errors.Wrap(err, "make directory")
	}
	if err := a.Save(dir); err != nil {
		return err
	}
	return showIssued(o, IssuedCertificate{Expires: now.Add(valid), Files: paths(dir, identity.AuthorityFile, identity.AuthorityKeyFile)})
}

// IssueIdentity issues a certificate to a host or operator and writes it, its key
// and the certificate of the authority to a directory.
func IssueIdentity(o Output, authority, dir, host string, roles []string, now time.Time, valid time.Duration) error {
	if valid <= 0 {
		return errors.Wrapf(ErrInvalidInput, "certificate validity %v is not positive", valid)
	}
	a, err := identity.LoadAuthority(authority)
	if err != nil {
		return err
	}
	all := make([]identity.Role, len(roles))
	for i, r := range roles {
		all[i] = identity.Role(r)
	}
	c, err := a.Issue(fleet.Host(host), all, now, now.Add(valid))
	if err != nil {
		return errors.Wrap(ErrInvalidInput, err.Error())
	}
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return errors.Wrap(err, "make directory")
	}
	if err := c.Save(dir); err != nil {
		return err
	}
	return showIssued(o, IssuedCertificate{
		Host: host, Roles: roles, Expires: now.Add(valid),
		Files: paths(dir, identity.CertificateFile, identity.KeyFile, identity.AuthorityFile),
	})
}

// paths replaces file names by their paths in dir.
func paths(dir string, names ...string) []string {
	for i, n := range names {
		names[i] = filepath.Join(dir, n)
	}
	return names
}

func showIssued(o Output, i IssuedCertificate) error {
	return showTable(o, i, i.Files,
		column[string]{"FILE", func(f string) any { return f }},
		column[string]{"HOST", func(string) any { return i.Host }},
		column[string]{"ROLES", func(string) any { return strings.Join(i.Roles, ",") }},
		column[string]{"EXPIRES", func(string) any { return i.Expires }})
}
