// Package authority prevents processes from acting after they have lost their
// authority.
//
// A Gate permits the holder of a quorum lease to begin an external action only
// if the action must end before the lease does. A Fence, kept by the agent next
// to a target, rejects delayed orders of earlier leaders.
package authority
