// Package memlink provides in-memory connections for tests of the request path
// under testing/synctest. Faults can be injected at a given yamux frame.
package memlink
