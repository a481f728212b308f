package command

import (
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"papayarock/internal/tomlfile"
	"papayarock/io/identity"
	"papayarock/io/operator"
)

// Settings are the addresses of control and the operator's credentials.
type Settings struct {
	Control     []string // operator addresses of control replicas
	Plain       bool     // no TLS; the paths below are then empty
	Certificate string
	Key         string
	Authority   string
}

// LoadSettings reads an operator file. Relative paths in it are relative to its
// directory.
func LoadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(ErrInvalidInput, err.Error())
	}
	f := tomlfile.Parse(text)
	t := f.Root()
	s := Settings{
		Control: t.Strings("control"), Plain: t.Bool("plain"),
		Certificate: t.String("certificate"), Key: t.String("key"), Authority: t.String("authority"),
	}
	t.ReportUnknownKeys()
	if faults := f.Faults(); len(faults) > 0 {
		return s, &tomlfile.FileError{Kind: ErrInvalidInput, Path: path, Faults: faults}
	}
	for _, p := range []*string{&s.Certificate, &s.Key, &s.Authority} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(path), *p)
		}
	}
	return s, nil
}

// Override returns s with the values that are set in overrides. Plain also clears
// the certificate files of s.
func (s Settings) Override(overrides Settings) Settings {
	if len(overrides.Control) > 0 {
		s.Control = overrides.Control
	}
	if overrides.Plain {
		s.Plain, s.Certificate, s.Key, s.Authority = true, "", "", ""
	}
	for field, value := range map[*string]string{&s.Certificate: overrides.Certificate, &s.Key: overrides.Key, &s.Authority: overrides.Authority} {
		if value != "" {
			*field = value
		}
	}
	return s
}

// Client returns a client with these settings. The timeout bounds each call
// including its retries.
func (s Settings) Client(timeout time.Duration) (*operator.Client, error) {
	if timeout <= 0 {
		return nil, errors.Wrapf(ErrInvalidInput, "timeout %v is not positive", timeout)
	}
	o := operator.Options{Addresses: s.Control, Deadline: timeout}
	files := s.Certificate != "" || s.Key != "" || s.Authority != ""
	switch {
	case s.Plain && files:
		return nil, errors.Wrap(ErrInvalidInput, "plain and certificate files exclude each other")
	case !s.Plain:
		if s.Certificate == "" || s.Key == "" || s.Authority == "" {
			return nil, errors.Wrap(ErrInvalidInput, "certificate, key and authority are required unless plain is set")
		}
		c, err := identity.LoadFiles(s.Certificate, s.Key, s.Authority)
		if err != nil {
			return nil, err
		}
		o.Credentials = c
	}
	return operator.New(o)
}
