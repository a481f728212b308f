// Package config holds the configuration of all nodes: customers, routes, models,
// keys and targets under one revision number.
//
// A Snapshot is a plain value. Nodes only ever replace a snapshot by one with
// a higher revision. An Index provides the lookups of the request path in constant
// time.
package config
