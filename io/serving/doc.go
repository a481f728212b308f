// Package serving implements the serving policy of an entry on top of the packages
// core/admit, core/route and core/retry: admission, target selection and retries.
//
// These packages do no I/O and read no clock. This package protects their state with
// one mutex and passes them the current time, the configuration and the load reports
// of the agents. It also collects the figures that an entry reports to the control
// replicas: the demand, which capacity planning uses, and the targets that the entry
// reached or failed to reach.
package serving
