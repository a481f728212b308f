// Package logstream transports the messages of the replicated log, of package
// papayarock/core/log, between the members of a group. Each member sends to each
// peer over one papayarock/io/link stream.
package logstream
