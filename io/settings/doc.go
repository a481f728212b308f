// Package settings reads and checks the settings of one process, a TOML file.
// A check lists all faults of a file with key, line and how to mend them.
package settings
