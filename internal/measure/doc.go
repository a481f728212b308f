// Package measure steps the decisions of core/route, core/admit, core/retry
// and core/plan against simple engine models under virtual time, side by side
// with simpler policies, and prints tables.
//
// An engine processes one batch after the other. A batch takes a fixed time,
// plus a time per prompt token, plus a time per decoding request; a batch that
// mixes both phases takes longer by a further fixed time, which is what makes
// roles matter. Load reports, cache events and control messages arrive late.
package measure
