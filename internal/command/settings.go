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

// Settings say where control is and how the operator proves who it is.
type Settings struct {
	Control     []string // operator addresses of control replicas
	Plain       bool     // no TLS; the files are then empty
	Certificate string
	Key         string
	Authority   string
}

// LoadSettings reads an operator file. Relative paths in it are relative to its
// directory.
func LoadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(ErrInput, err.Error())
	}
	f := tomlfile.Parse(text)
	t := f.Root()
	s := Settings{
		Control: t.Strings("control"), Plain: t.Bool("plain"),
		Certificate: t.String("certificate"), Key: t.String("key"), Authority: t.String("authority"),
	}
	t.ReportUnknownKeys()
	if faults := f.Faults(); len(faults) > 0 {
		return s, &tomlfile.FileError{Kind: ErrInput, Path: path, Faults: faults}
	}
	for _, p := range []*string{&s.Certificate, &s.Key, &s.Authority} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(path), *p)
		}
	}
	return s, nil
}

// Over returns s with the settings of o that are set in their place.
func (s Settings) Over(o Settings) Settings {
	if len(o.Control) > 0 {
		s.Control = o.Control
	}
	if o.Plain {
		s.Plain, s.Certificate, s.Key, s.Authority = true, "", "", ""
	}
	for set, value := range map[*string]string{&s.Certificate: o.Certificate, &s.Key: o.Key, &s.Authority: o.Authority} {
		if value != "" {
			*set = value
		}
	}
	return s
}

// Client returns a client by the settings. Timeout bounds each call with all its
// attempts.
func (s Settings) Client(timeout time.Duration) (*operator.Client, error) {
	if timeout <= 0 {
		return nil, errors.Wrapf(ErrInput, "the timeout is %v", timeout)
	}
	o := operator.Options{Addresses: s.Control, Deadline: timeout}
	files := s.Certificate != "" || s.Key != "" || s.Authority != ""
	switch {
	case s.Plain && files:
		return nil, errors.Wrap(ErrInput, "plain is set together with certificate files")
	case !s.Plain:
		if s.Certificate == "" || s.Key == "" || s.Authority == "" {
			return nil, errors.Wrap(ErrInput, "certificate, key and authority are required unless plain is set")
		}
		c, err := identity.LoadFiles(s.Certificate, s.Key, s.Authority)
		if err != nil {
			return nil, err
		}
		o.Credentials = c
	}
	return operator.New(o)
}
