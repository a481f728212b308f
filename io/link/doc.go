// Package link carries protobuf messages between the processes of the system
// over yamux sessions with mutual TLS. A Pool keeps one session to each peer
// that it calls. A Server dispatches each incoming stream to the handler that is
// registered for the type of its first message. Each call uses one Stream.
//
// Both sides send heartbeats. A session whose heartbeats are not answered is
// closed even if its TCP connection is still open, and the next call dials a new
// one. Each Send and Receive has a deadline.
package link
