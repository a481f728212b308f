// Package config holds the configuration that every node serves by: customers,
// routes, models, keys and targets under one revision number.
//
// A Snapshot is a value. Nodes replace the snapshot they hold by one with a
// higher revision, never a lower one; an Index answers the lookups of the
// request path in constant time.
package config
