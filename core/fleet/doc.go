// Package fleet defines the domain types shared by all decision packages:
// hosts, data centres, customers, targets and the numbers that order their life
// cycle.
//
// The types have no struct tags; package papayarock/io/wire maps them to
// protobuf.
package fleet
