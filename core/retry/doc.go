// Package retry decides what follows a failed attempt: another attempt, a
// question to the agent, or a refusal, and what the refusal may say.
package retry
