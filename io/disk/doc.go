// Package disk keeps the replicated log of one member under one data
// directory.
//
// The directory holds a lock file, an identity file, one write-ahead log and
// one snapshot. A record carries a checksum that covers its place in the file,
// and the length up to which the file was known to be synced. After a crash,
// bad records beyond that length are a torn tail and are dropped; bad records
// below it are damage, and the directory is refused.
//
// A file is written under a temporary name, synced, renamed, and the directory
// synced. Each Open writes the recovered log to a new file: data that is only
// visible in the page cache after a failed sync is never trusted.
package disk
