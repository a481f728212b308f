// Package settings parses and validates the TOML settings file of a process.
// Validation reports all faults in a file, each with its key, its line and a
// suggested correction.
package settings
