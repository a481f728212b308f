// Package config holds the configuration of all nodes: customers, routes, models,
// keys, targets and revoked certificates under one revision number.
//
// A Snapshot is a plain value. Nodes replace a snapshot only by one with a higher
// revision. An Index provides the lookups of the request path in constant
// time.
package config
