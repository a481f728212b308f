// Package entry serves callers over HTTP. It authenticates each request,
// chooses a target, sends the request to the agent beside it and streams the
// answer back.
package entry
