// Package operator defines the HTTP interface between operators and a control
// replica, as JSON with kebab-case members, and a client of it.
//
// Operators prove themselves by a client certificate with the role operator.
//
//	POST /v1/changes                commits a Change; answers ChangeAnswer
//	GET  /v1/progress?revision=N    answers Progress
//	GET  /v1/configuration          answers Configuration
//	GET  /v1/targets, keys, usage, orders, audit, hosts
//	                                answer List of Target, Key, Usage, Order, Audit, Host
//	POST /v1/hosts                  changes the members of the log; answers HostAnswer
//	GET  /v1/status                 answers Status
//	GET  /v1/dump                   answers the state of the replica
//
// A refusal is a Problem. A change is answered with status 200 if accepted, 409
// if another change won, 422 if it is invalid, 503 if it was certainly not
// committed and 504 if it may have been. After 503, 504 or a lost answer the
// same change may be sent again under its id.
package operator
