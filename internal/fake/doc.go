// Package fake provides small stand-ins for the systems around papayarock, as
// HTTP servers whose faults are set by tests.
package fake
