// Package action provides the connections for actions: calls with an effect outside this
// process that only the holder of an authority may make, such as reports and orders of the
// leader. The next holder waits until the actions of the former one have ended, so that none
// may have an effect after its deadline.
//
// A call that its caller has given up is not ended by that: what was written to its
// connection is delivered after an ordinary close, also when a network partition ends
// seconds later. The connections of this package are reset when they are closed, or when
// their process ends, which discards such data.
package action
