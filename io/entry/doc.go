// Package entry implements the HTTP entry point for clients. It authenticates
// each request, selects a target, sends the request to the agent of that target
// and streams the response back.
package entry
