// Package entry implements the HTTP entry point for callers. It authenticates
// each request, selects a target, sends the request to the agent of that target
// and streams the response back to the caller.
//
// A refusal is an error response of the entry itself. It tells the caller
// whether the request is known not to have run. A non-idempotent request with an
// Idempotency-Key runs only if the control plane has granted it a claim, the
// exclusive right to run a request with this key.
package entry
