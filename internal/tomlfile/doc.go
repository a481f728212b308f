// Package tomlfile reads TOML files key by key and reports all faults of a file,
// each with its key, its line and how to fix it.
//
// The code that reads a file gets the value of each key it knows from a Table.
// Table.ReportUnknownKeys then reports all other keys as unknown, so that no schema is needed
// beside this code.
package tomlfile
