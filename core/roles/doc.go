// Package roles decides which engines of a pool prefill prompts and which decode.
//
// Prefill engines process prompts twice as fast as decode engines and without
// pausing streams, but the ratio of prompt to output tokens differs between
// deployments and changes within minutes. A role change makes an engine unavailable
// for seconds. The planner therefore changes roles only while one role is short of
// capacity and the other has engines to spare, and then waits until the engines have
// announced their new roles before it decides again.
//
// Gateways report cumulative counters. A Meter turns them into the load of the last
// seconds.
package roles
