// Package quota enforces the limits of customers at all gateways together.
//
// The leader of the registry (Leader) leases shares of each limit to gateways. It keeps
// what it has not leased in a bucket of its own, from which it grants amounts to gateways
// whose share does not cover a request. A gateway (Limiter) has a token bucket for each
// customer, which its share fills, and decides on each request.
//
// In any window, a customer's requests count at most (rate * window + burst) * (1 +
// overage) + slack. The levels of all buckets, including that of the leader, and the
// grants that are not spent never exceed the burst, and they fill at no more than the
// rate. The overage and the slack cover the fallback shares of gateways without a lease,
// charges that are credited, and requests that exceed the burst.
//
// Amounts are in tokens or requests, the unit of the limit.
package quota
