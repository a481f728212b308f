// Package place schedules requests at one gateway: each request is sent to a
// target, queued, or refused.
//
// Target selection. A long prompt is prefilled by a prefill engine, whose KV
// cache is then transferred to a decode engine; if the prefill engines are
// busy, a decode engine prefills it. Requests with the same prompt prefix go to
// the same target, which is chosen by rendezvous hashing. Gateways thus agree
// without communication and each prefix is prefilled once. If that target is
// busy, a long prompt goes to the first prefill engine in the rendezvous order,
// and a short one is queued. Requests without a shared prefix go to the target
// with the shortest expected wait, given network distance and requests in
// flight.
//
// Backlogs. Where prompts are long, the gateways tell each other of their backlogs at
// the engines and of the engines that have prefixes cached. The engine is then chosen
// by the expected wait, in which prompts that other gateways have sent since their last
// report are estimated.
//
// Queueing. For each target the gateway limits the number of its requests that
// are still waiting for their first event. The limit adapts to the time to
// first event: it grows while that stays close to its recent minimum, and
// shrinks otherwise, so that all gateways together keep the queue at the target
// short. Further requests are queued at the gateway, by rank, then by the work done
// for their customers, and then by deadline. They are not bound to a target there, so the loss of a target does not
// affect them and more urgent requests that arrive later can go first.
//
// Refusal. A request that cannot meet its objective, given the rate at which
// capacity becomes free and the recent latency of its targets, is refused at
// once together with the time at which capacity is expected.
//
// Health. Targets are assessed by the outcomes of this gateway's own requests.
// After consecutive failures a target is ejected for a period that doubles each
// time, and then probed with a single request.
package place
