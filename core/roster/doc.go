// Package roster tracks the announcements of targets: which run of which target
// serves which pool at which address, and whether it is draining or has left.
//
// Announcements may be late, reordered or duplicated, and may come from runs
// that have since ended. They are ordered by the start time of the run, then by
// the sequence number within the run. A run that has left does not return.
package roster
