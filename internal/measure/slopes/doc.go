// Package slopes measures how the costs of papayarock grow with its size, in
// one process on one machine over TCP on the loopback interface with mutual TLS
// and synced files. It prints raw figures and a straight line fitted to them, from
// which docs/CAPACITY.md works out the size of two years.
//
// A figure of CPU or memory covers both ends of a link where both are in this
// process, which the table says.
package slopes
