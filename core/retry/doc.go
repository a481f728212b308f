// Package retry decides how to proceed after a failed attempt: retry, query the
// agent for the outcome, or refuse the request. It also determines what a
// refusal may state about whether the request ran.
package retry
