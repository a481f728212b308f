// Package logstream transports replicated log messages between the members of a
// group, over one papayarock/io/link stream per peer.
package logstream
