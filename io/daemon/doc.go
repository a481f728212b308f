// Package daemon assembles a process from its settings. The process is a kratos
// app: its HTTP servers serve callers and operators, and the services of its
// roles run under a supervisor tree.
package daemon
