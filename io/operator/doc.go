// Package operator defines the HTTP API that control replicas offer to operators,
// and a client of it. Bodies are JSON with kebab-case member names.
//
// Operators authenticate with a client certificate that has the role operator.
//
//	POST /v1/changes                commits a Change; returns ChangeResult
//	GET  /v1/progress?revision=N    returns Progress
//	GET  /v1/configuration          returns Configuration
//	GET  /v1/targets, keys, revocations, usage, orders, audit, hosts
//	                                return List of Target, Key, Revocation, Usage, Order,
//	                                AuditEntry, Host
//	POST /v1/hosts                  commits a MemberChange; returns MemberChangeResult
//	GET  /v1/plan                   returns Plan
//	GET  /v1/status                 returns Status
//	GET  /v1/dump                   returns the state of the replica
//
// POST /v1/changes returns a ChangeResult with status 200 if the change is accepted,
// 409 if it conflicts with another change and 422 if it is invalid. All other errors
// are returned as a Problem. For a change, status 503 means that it was certainly not
// committed, and 504 that it may have been committed. After 503, 504 or a lost response
// the same change may be sent again with its ID.
package operator
