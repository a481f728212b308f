// Package daemon assembles a process from its settings, which enable one or more of
// the roles control, agent, entry, registry and gateway. The process is a kratos app:
// its HTTP servers serve callers, operators, metrics and state dumps, and the services
// of its roles run under a supervisor tree.
package daemon
