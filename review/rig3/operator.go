package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	hostName = "h.example"
	service  = "service-1"
	apiKey   = "2b9wu3fexd9dnn2ctnfz"
)

// manifest returns a manifest with one route of each kind, and one that is named after its
// version.
func manifest(version int) []byte {
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": hostName, "path_prefix": "/" + name + "/", "type": kind, "timeout_ms": 2500, "target_latency_ms": 250,
			"priority": 0, "service": service, "attempts": attempts, "public": false, "session_affinity": false, "resumable": false,
		}
	}
	stream := route("stream", "streaming", 2)
	stream["timeout_ms"], stream["resumable"], stream["target_itl_ms"] = 15000, true, 250
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": []any{stream, route("read", "idempotent", 2), route("order", "non_idempotent", 1), route(fmt.Sprintf("v%d", version), "idempotent", 2)},
		"services": []any{map[string]any{"name": service, "health_check_path": "/healthz", "max_connections": 130, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "tenant-1", "api_keys": []string{apiKey}, "priority": 1}},
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return b
}

// post sends a call to a registry replica. It waits for a second, as all callers do.
func (d *deployment) post(m *machine, path string, body []byte) (status int) {
	ctx, cancel := context.WithTimeout(d.ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", m.ip, d.control, path), bytes.NewReader(body))
	if err != nil {
		return 0
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = r.Body.Close() }()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// replace sends a manifest to the replicas in turn until one acknowledges it.
func (d *deployment) replace(version int) error {
	n := 0
	ok := until(20*time.Second, func() bool {
		m := d.core[n%len(d.core)] // the operator's list names the machines that run
		n++
		status := d.post(m, wire["replace"], manifest(version))
		d.record.linef("operator: manifest %d to %s: status %d", version, m.name, status)
		return status == http.StatusOK
	})
	if !ok {
		return fmt.Errorf("%w: no replica has acknowledged manifest %d", errNoRun, version)
	}
	return nil
}
