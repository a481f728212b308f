// Package demo runs a complete deployment in one process: control replicas,
// entries, agents and fakes of the engines, the services and the platform, on
// loopback ports, as a shipped questionnaire describes it. It sends requests
// through the deployment while targets are drained, keys withdrawn and the leader
// stopped, and checks the system's promises against the counts of the fakes.
package demo
