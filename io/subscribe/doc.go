// Package subscribe is the client of the control role on an entry or agent. It
// polls control to keep the node's copy of the configuration current, and submits
// commands.
package subscribe
