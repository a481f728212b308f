// Package gateway implements the HTTP front end: it accepts requests from callers
// and forwards them directly to targets.
//
// Routing uses the catalog and the target announcements received from the
// registry. While the registry is unreachable, the gateway keeps serving with the
// last known state. A HeaderCodec encodes and decodes the header fields; this package
// acts on their meaning.
//
// A non-idempotent request is sent again only if the first target is known not to
// have executed it. Status 503 states that no target has executed the request;
// with 502 and 504 it may have been executed.
package gateway
