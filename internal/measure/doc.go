// Package measure is a discrete-event simulation in virtual time. It runs
// core/route, core/admit, core/retry and core/plan against simple engine models,
// compares them with simpler policies, and prints tables.
//
// An engine processes one batch at a time. A batch takes a fixed time, plus a time
// per prompt token, plus a time per decoding request. A batch with both prefill
// and decode takes a further fixed time, which is why separate roles can pay off.
// Load reports, cache events and control messages arrive with a delay.
//
// The code numbers data centres from 0 and calls this number a site. Each data
// centre is a region of its own.
package measure
