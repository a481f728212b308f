// Package disk stores the replicated log of one member in a data directory.
//
// The directory contains a lock file, an identity file (the host and the random
// identity of the directory), one write-ahead log and one snapshot. Each record has a
// checksum that covers its offset in the file, and records the length up to which the
// file was known to be synced. After a crash, invalid records beyond that length are a
// torn tail and are discarded. Invalid records below it are corruption, and Open fails.
//
// Files are created under a temporary name, synced and renamed, and then the
// directory is synced. Each Open writes the recovered log to a new file, because
// data that is visible only in the page cache after a failed sync cannot be
// trusted.
package disk
