// Package prefix names the beginnings of prompts by hashes, so that entries and
// engines mean the same cached part of a prompt without sending its text.
package prefix
