package daemon

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// maxDumpBytes bounds the size of a response to GET /dump.
const maxDumpBytes = 16 << 20

// addStatus serves state dumps, expvar variables and liveness probes on the status
// address, and sets the log level there.
func (p *process) addStatus(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dump", p.serveDump)
	mux.Handle("GET /vars", p.expvars)
	mux.HandleFunc("GET /live", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("PUT /log-level", p.serveLogLevel)
	l, err := p.listen(ctx, p.settings.Status.String())
	if err != nil {
		return errors.Wrapf(ErrStart, "status: %v", err)
	}
	p.servers = append(p.servers, p.newHTTPServer(l, "status", p.sideLimits(p.memoryBytes()), mux))
	return nil
}

// serveDump writes the state dumps of all parts as JSON; ?part=NAME selects one part.
func (p *process) serveDump(w http.ResponseWriter, r *http.Request) {
	out := make(map[string]any)
	part := r.URL.Query().Get("part")
	for _, name := range slices.Sorted(maps.Keys(p.dumps)) {
		if part == "" || part == name {
			out[name] = p.dumps[name]()
		}
	}
	if len(out) == 0 {
		http.Error(w, "part "+part+" does not exist", http.StatusNotFound)
		return
	}
	b, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if len(b) > maxDumpBytes {
		http.Error(w, "the dump is too large; ask for one part with ?part=NAME", http.StatusInsufficientStorage)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

// serveLogLevel sets the log level of the running process.
func (p *process) serveLogLevel(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("level")
	level := hclog.LevelFromString(name)
	if level == hclog.NoLevel {
		http.Error(w, "level must be trace, debug, info, warn or error", http.StatusBadRequest)
		return
	}
	p.log.SetLevel(level)
	p.log.Info("log level changed", "level", level)
}
