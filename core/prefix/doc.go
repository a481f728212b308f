// Package prefix identifies prompt prefixes by hashes, so that entries and
// engines can refer to the same cached part of a prompt without sending its
// text.
package prefix
