// Package memlink provides connections in memory for tests of the request path
// under testing/synctest, with faults that begin at a chosen yamux frame.
package memlink
