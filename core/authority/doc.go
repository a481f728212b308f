// Package authority keeps processes that have lost their authority from acting.
//
// A Gate lets the holder of a quorum lease begin an external action only if the
// action must end before the lease does. A Fence, held by the agent beside a
// target, refuses what an earlier leader may still have on the way.
package authority
