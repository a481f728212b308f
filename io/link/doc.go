// Package link carries protobuf messages between the processes of the system
// over yamux sessions with mutual TLS. A Pool keeps one session for each peer
// it calls; a Server hands each incoming stream to the handler registered for
// the type of its first message. Each call uses one Stream.
//
// Both sides send heartbeats. A session without them ends although its TCP
// connection is open, and the next call dials a new one. Each Send and Receive
// has a progress deadline.
package link
