// Package answers reads the questionnaire a team fills in, lists what is wrong
// with it, and generates the configuration from it.
//
// The generated configuration is written as TOML in which each value names the
// answer it came from. Diff says what a revision changes, for whom, and which
// changes an operator must confirm.
package answers
