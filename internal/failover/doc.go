// Package failover tests how the replicas of the registry bear the loss, the replacement
// and the shutdown of hosts. They run in one process, connected in memory, and in a
// synctest bubble, so that the times between the faults are exact.
//
// The package has no code outside its tests. They are apart from those of package
// papayarock/io/registry, which use real connections: yamux keeps timers in a global pool,
// and a timer of a bubble must not be used outside it.
package failover
