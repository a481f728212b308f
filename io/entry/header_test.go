package entry

import (
	"testing"

	"github.com/matryer/is"
)

// Callers must not reach endpoints of an engine other than those of the completion
// API through a language route.
func TestCompletionPath(t *testing.T) {
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
			got, ok := completionPath(path)
			is.Equal(got, want)
			is.Equal(ok, want != "")
		})
	}
}
