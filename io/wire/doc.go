// Package wire defines the protobuf messages that are sent between processes and
// stored in the log, and converts them to and from the domain types. The
// conversions are written by hand.
package wire

//go:generate protoc --go_out=../.. --go_opt=module=papayarock -I . path.proto cache.proto kv.proto state.proto control.proto log.proto feed.proto
