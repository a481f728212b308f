package answers

import _ "embed" // embeds the template

// Template is a questionnaire with sample answers and a comment on each.
//
//go:embed template.toml
var Template []byte
