// Package bubble runs tests in synctest bubbles with the race detector.
//
// The runtime of Go 1.26 runs the timers of a bubble in one race context. Two
// goroutines that receive from timer channels of a bubble at the same time use this
// context concurrently, which corrupts the state of the race detector: the test binary
// crashes in __tsan functions or fails one of their checks. Bubbles therefore run on
// one processor in race builds, where only one goroutine runs at a time.
package bubble
