// Package answers reads and validates the TOML questionnaire in which a team
// describes its deployment, and generates the configuration from it.
//
// Check returns the Answers to a questionnaire. Generate turns them into a
// config.Document, and into TOML in which a comment after each value names the answer
// that it comes from. Diff lists the differences between two configurations,
// who is affected by them and which of them an operator must confirm.
package answers
