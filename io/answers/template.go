package answers

import _ "embed" // for the template

// Template is a questionnaire with comments and sample answers.
//
//go:embed template.toml
var Template []byte
