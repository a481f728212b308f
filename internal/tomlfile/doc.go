// Package tomlfile reads TOML files key by key and reports all faults of a file,
// each with its key, its line and how to fix it.
//
// The code that reads a file calls a getter of Table for each key that it expects.
// Table.ReportUnknownKeys then reports all other keys, so that no separate schema
// is needed.
package tomlfile
