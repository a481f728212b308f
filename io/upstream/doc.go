// Package upstream sends HTTP/1.1 requests to targets over pooled connections.
//
// A connection belongs to one run of a target, that is, to one lifetime of its
// process. It carries one request at a time and returns to the pool only after a
// complete response that no further data follows. Responses that belong to other
// requests, such as late ones, are skipped.
//
// The package never retries a request. An Error reports whether the target may
// have received it.
package upstream
