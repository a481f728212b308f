// Package deploy runs a complete deployment in one process: control replicas,
// entries, agents and fakes of the engines, the services and the platform, on
// loopback ports, as a questionnaire describes it. The demo and the scenario
// scripts use it.
package deploy
