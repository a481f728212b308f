// Package place decides at one gateway where a request goes: to a target now,
// into a queue, or back to the caller.
//
// Placing. A long prompt goes to a prefill engine, whose KV cache a decode
// engine then takes; when the prefill engines are busy a decode engine reads it.
// Requests that share a prompt prefix go to the same target, chosen by
// rendezvous hashing, so that gateways agree without messages and a prefix is
// read once; a busy target is passed over for the second in that order. Other
// requests go where the expected wait, from the distance and the work in flight,
// is shortest.
//
// Waiting. A target has a limit of requests from this gateway that have not
// begun to be answered. The limit follows the time to the first event: it grows
// while that is close to its floor, the least of late, and shrinks when it is not,
// so that all gateways together keep the queue at the target short. The other requests
// wait at the gateway, the most urgent rank first and within a rank the earliest
// deadline, so that later decisions and lost targets do not strand them.
//
// Turning away. A request that cannot be in time by the rate at which places
// become free, and by what its targets take to answer, is refused at once with the
// time at which a place is expected.
//
// Health. A target is judged by the outcomes of this gateway's own requests.
// After failures in a row it is left alone for a while that doubles, then one
// request tries it.
package place
