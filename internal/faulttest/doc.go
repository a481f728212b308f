// Package faulttest tests and benchmarks the control replicas under faults. Each
// replica is a real process with sockets on the loopback interface and files. It is
// a package of its own, with no code outside its tests, because yamux keeps timers in
// a pool that must not be shared with the synctest bubbles of other packages.
package faulttest
