// Package demo runs a whole deployment in one process: control replicas,
// entries, agents and stand-ins for engines, services and the platform on
// loopback ports, built from a shipped questionnaire. It sends requests through
// it while targets are drained, keys withdrawn and the leader stopped, and judges
// the outcome by what the stand-ins have counted.
package demo
