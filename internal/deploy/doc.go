// Package deploy runs a whole deployment in one process: control replicas,
// entries, agents and stand-ins for engines, services and the platform, on
// loopback ports and built from a questionnaire. The demo and the scenarios use
// it.
package deploy
