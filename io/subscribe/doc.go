// Package subscribe connects an entry or agent to control: it keeps the node's
// copy of the configuration current and submits commands.
package subscribe
