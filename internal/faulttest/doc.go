// Package faulttest holds failure tests and measurements of control that run
// real processes, sockets and files on the loopback interface. It has no code
// outside its tests: yamux keeps timers in a pool that must not be shared with
// the synctest bubbles of other packages.
package faulttest
