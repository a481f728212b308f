// Package slopes measures how the resource use of papayarock grows with its size.
// It runs all components in one process, over TCP on the loopback interface, with
// mutual TLS and files synced to disk. It prints the measurements and, for each
// figure, the intercept and slope of a straight line fitted to them, from which
// docs/CAPACITY.md extrapolates to the size expected in two years.
//
// CPU and memory figures cover both ends of a link where both run in this process;
// the title of the table says so.
package slopes
