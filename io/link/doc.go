// Package link carries protobuf messages between the processes of the system
// over yamux sessions. A Pool keeps one session for each peer; a Server hands
// each incoming stream to a handler. Each call uses one Stream.
package link
