// Package memlink provides in-memory connections for tests under
// testing/synctest. Tests of links, which run yamux over a connection, can inject
// a fault into it after a given number of yamux frames.
package memlink
