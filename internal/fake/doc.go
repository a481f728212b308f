// Package fake simulates the systems around papayarock for tests: engines,
// services, the platform and the weight store as HTTP servers, and the network
// between them. Tests inject faults into each.
package fake
