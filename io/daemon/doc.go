// Package daemon assembles one process: a kratos app whose HTTP transport
// faces callers, with the roles as children of a supervisor tree.
package daemon
