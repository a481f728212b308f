// Package soak tests the product as a black box. It runs the real programs as
// processes on loopback addresses, injects a random schedule of faults, and checks
// what callers, targets, the operator and the platform observed.
//
//	go test ./internal/soak                           one seed, short run
//	go test ./internal/soak -args -seed 7 -seeds 50   seeds 7 to 56
//
// Processes are killed, paused, stopped and restarted, and a registry replica may
// lose its data directory. A proxy resets, stalls and delays connections to
// targets. Targets reject requests, reset connections, truncate responses or
// append extra data to them, and drain and are replaced. Faults may overlap.
//
// A seed determines the schedule of the faults. The processes run in real time, so
// two runs of a seed may still differ.
//
// The package has no code outside its tests.
package soak
