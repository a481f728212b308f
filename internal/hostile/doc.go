// Package hostile tests that clients that are not controlled can't exhaust the memory or
// the descriptors of a process. It starts a gateway and a registry replica as processes on
// loopback addresses, with a lowered memory limit and a lowered limit of descriptors, and
// opens many connections that never send a complete request, or send too much.
//
//	go test ./internal/hostile
//
// Each test checks that the process lives, that its memory and its descriptors stay below
// a bound, and that it responds to an ordinary request afterwards. The tests don't check
// times or how many requests are served. They don't run beside each other.
//
// The package has no code outside its tests.
package hostile
