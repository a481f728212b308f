// Package settings parses and validates the TOML settings file of a process. The
// file has a table for each role that the process runs.
package settings
