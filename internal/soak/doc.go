// Package soak runs the real programs as processes on loopback addresses,
// injects faults drawn from a seed from outside, and checks what callers,
// targets, the operator and the platform observed.
//
//	go test ./internal/soak                           one seed, short run
//	go test ./internal/soak -args -seed 7 -seeds 50   seeds 7 to 56
//
// Processes are killed, paused, stopped and restarted, and a registry replica may
// lose its data directory. A proxy resets, stalls and delays connections to
// targets. Targets reject requests, reset connections, truncate responses or
// append extra data to them, and drain and are replaced. Faults follow each other
// and overlap. A seed always draws the same schedule.
//
// The package has no code outside its tests.
package soak
