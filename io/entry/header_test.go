package entry

import (
	"testing"

	"github.com/matryer/is"
)

// Clients must not reach the order, state or cache endpoints of an engine through
// a language route.
func TestLanguagePath(t *testing.T) {
	tests := map[string]string{
		"/grades/v1/completions":      "/v1/completions",
		"/grades/v1/chat/completions": "/v1/chat/completions",
		"/v1/completions":             "/v1/completions",
		"/grades/order":               "",
		"/grades/v1/order":            "",
		"/grades/v1/completions/":     "",
		"/grades/v1/completions/x":    "",
		"/grades/v1/models":           "",
		"/grades":                     "",
	}
	for path, want := range tests {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			got, ok := languagePath(path)
			is.Equal(got, want)
			is.Equal(ok, want != "")
		})
	}
}
