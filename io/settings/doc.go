// Package settings reads the TOML settings of one process and checks them as
// a whole before anything starts.
package settings
