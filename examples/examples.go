// Package examples embeds the completed questionnaires of the two current users.
package examples

import _ "embed" // for the questionnaires

// Terengganu is the questionnaire of the Terengganu coastal conservation
// department.
//
//go:embed terengganu/answers.toml
var Terengganu []byte

// Association is the questionnaire of the Northeastern Brazilian association
// of roof snow removers.
//
//go:embed association/answers.toml
var Association []byte
