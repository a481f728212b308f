package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a check that does not read the document in force from the registry, or that
// reports an address without one as a finding or as passed.
func TestConfigCheckAgainstAddress(t *testing.T) {
	const document = `{"version":%,"routes":[{"name":"r","hostname":"h","path_prefix":"/","type":"idempotent","timeout_ms":9,"service":"s"}],"services":[{"name":"s"}]}`
	for name, test := range map[string]struct {
		status  int
		inForce string
		code    int
		out     string
	}{
		"older version":    {http.StatusOK, "6", 0, "changed  version  6       7"},
		"same version":     {http.StatusOK, "7", 0, "no differences from"},
		"newer version":    {http.StatusOK, "8", 1, "version 7 is not above 8"},
		"no document":      {http.StatusServiceUnavailable, "6", 2, ""},
		"invalid document": {http.StatusOK, "-1", 2, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(strings.Replace(document, "%", test.inForce, 1)))
			}))
			defer s.Close()
			path := filepath.Join(t.TempDir(), "document.json")
			is.NoErr(os.WriteFile(path, []byte(strings.Replace(document, "%", "7", 1)), 0o600))
			var stdout, stderr bytes.Buffer
			code := run([]string{"papayarock", "config", "check", "--against", s.Listener.Addr().String(), path}, &stdout, &stderr)
			is.Equal(code, test.code)
			is.True(strings.Contains(stdout.String(), test.out))
			is.Equal(stderr.Len() > 0, test.code != 0)
		})
	}
}

// Guards against a check that reports a registry that does not answer as a finding or as
// passed.
func TestConfigCheckWithoutAnswer(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.NotFoundHandler())
	address := s.Listener.Addr().String()
	s.Close()
	var stdout, stderr bytes.Buffer
	code := run([]string{"papayarock", "config", "check", "--against", address, os.DevNull}, &stdout, &stderr)
	is.Equal(code, 2)
	is.Equal(stdout.Len(), 0)
	is.True(strings.Contains(stderr.String(), address))
}
