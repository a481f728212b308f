// Package serving implements the serving policy of an entry on top of the packages
// core/admit, core/route and core/retry: admission, target selection and retries.
//
// It guards their state with one mutex, feeds them the current time, the
// configuration and the load reports of the agents, and collects the demand
// figures that control uses for planning.
package serving
