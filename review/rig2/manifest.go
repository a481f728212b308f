package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// invalidManifest sends manifests that can't be read in full, as they are followed by other
// bytes.
func invalidManifest(r *rig) (int, error) {
	if err := r.prepare(); err != nil {
		return failed, err
	}
	code := held
	for _, tail := range []string{"}", "]", "}}", "} {\"version\":"} {
		r.version++
		text := manifest(r.version)
		if r.trouble {
			text = append(text, tail...)
		}
		status, err := r.put(text)
		if err != nil {
			return failed, err
		}
		time.Sleep(500 * time.Millisecond)
		var shown []byte
		for n := range replicas {
			if status, body := call(r.ctx, http.MethodGet, r.operators[n], names["show"], nil); status == http.StatusOK {
				shown = body
			}
		}
		r.printf("manifest %d is JSON: %v, acknowledged: %v; read back: %d bytes, JSON: %v", r.version, json.Valid(text), status == http.StatusOK, len(shown), json.Valid(shown))
		if !json.Valid(text) && status == http.StatusOK {
			code = broken
		}
	}
	return code, nil
}
