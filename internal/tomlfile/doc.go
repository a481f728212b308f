// Package tomlfile reads TOML files key by key and lists every fault with its
// key, its line and how to mend it.
//
// The reader asks a Table for each key it knows. Table.Close then reports the
// keys nobody asked for, so a schema is the code that reads it.
package tomlfile
