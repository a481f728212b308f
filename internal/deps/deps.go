// Package deps keeps the modules that packages under construction will use in
// go.mod.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go" // measurements
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "golang.org/x/net/http2"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
