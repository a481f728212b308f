package settings

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
)

// watchPeriod is the interval at which the settings file is polled, because a
// change of the file need not be followed by a signal.
const watchPeriod = time.Second

// Watch reloads the settings file at path when a signal arrives or its content
// changes, and sends the new settings to changed if they are valid. It logs
// invalid settings and does not send them. It returns when ctx is cancelled.
func Watch(ctx context.Context, path string, signals <-chan os.Signal, log hclog.Logger, changed chan<- Settings) {
	last, err := os.ReadFile(path)
	if err != nil {
		log.Warn("reading settings file failed at start; the next content read counts as a change", "path", path, "error", err)
	}
	tick := time.NewTicker(watchPeriod)
	defer tick.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-tick.C:
		}
		text, err := os.ReadFile(path)
		if err != nil {
			log.Warn("reading settings file failed", "path", path, "error", err)
			continue
		}
		if bytes.Equal(text, last) {
			if signalled {
				log.Info("settings unchanged", "path", path)
			}
			continue
		}
		last = text
		s, err := Load(path)
		if err != nil {
			log.Error("ignoring invalid settings", "path", path, "error", err)
			continue
		}
		log.Info("settings changed", "path", path, "signalled", signalled)
		select {
		case changed <- s:
		case <-ctx.Done():
			return
		}
	}
}
