// Package httpconn limits what clients that are not controlled can hold in an HTTP server:
// connections, and memory for incomplete request heads. It also validates the framing of
// requests. Package connlimit decides which connections are closed.
package httpconn
